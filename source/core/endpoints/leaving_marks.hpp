#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace amaranthhatch::core::endpoints
{

/// @brief One start of an endpoint. Its id may be that of an earlier start.
struct incarnation
{
    /// When it started, by its own clock, in Unix milliseconds. 0: not known.
    std::int64_t started_ms = 0;
    /// Tells incarnations apart where the start isn't known.
    std::string address;
};

/// @brief The endpoints that have said in their own answers that they leave.
///
/// Kept apart from the list of endpoints: an entry may vanish, come back from
/// an older copy or still say that the endpoint is ready.
class leaving_marks
{
public:
    /// At most that many endpoints are remembered; beyond them the one that
    /// was marked first is forgotten.
    explicit leaving_marks(std::size_t limit);

    /// @brief Marks an incarnation. Returns false if it, or a later one of the
    /// same id, was marked before.
    bool add(std::string_view id, incarnation marked);

    /// @brief True if an incarnation, or a later one of the same id, was
    /// marked.
    ///
    /// An earlier one counts as well, as the entry that names it is older than
    /// the answer that set the mark. Where the start of either isn't known, the
    /// same address means the same incarnation.
    bool covers(std::string_view id, const incarnation& asked) const;

    std::size_t size() const { return this->marks.size(); }

private:
    struct mark
    {
        incarnation marked;
        std::uint64_t order = 0;
    };

    void forget_first();

    std::size_t limit;
    std::uint64_t next_order = 0;
    std::map<std::string, mark, std::less<>> marks;
};

} // namespace amaranthhatch::core::endpoints
