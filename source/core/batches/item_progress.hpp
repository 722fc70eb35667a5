#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace amaranthhatch::core::batches
{

/// @brief Numbers of attempts: those that the item failed are counted in the
/// low bits, and restarts that it doesn't answer for above them.
inline constexpr std::uint32_t restart_step = 1u << 16;

/// @brief How many attempts of the item have failed.
constexpr std::uint32_t failed_attempts(std::uint32_t attempt)
{
    return attempt % restart_step;
}

/// @brief The complete stream events received so far for an item that has no
/// result yet.
struct item_events
{
    /// Incremented whenever the item restarts from the beginning; events of
    /// different attempts must not be mixed.
    std::uint32_t attempt = 0;
    /// Data of the events, in order.
    std::vector<std::string> data;
    /// The id of the last event; a resumed stream continues after it.
    std::string last_id;

    /// @brief The memory that the events take.
    std::size_t bytes() const;

    /// @brief Drops all events, as they may not be the item's output.
    void restart();
};

/// @brief Events of one item that a copy lacks, sent by the owner.
struct progress_delta
{
    std::string job;
    std::uint32_t item = 0;
    /// The owner's epoch; events of a later epoch replace those of an earlier
    /// one.
    std::uint64_t epoch = 0;
    std::uint32_t attempt = 0;
    /// Number of events that the copy must have stored before this delta.
    std::uint64_t offset = 0;
    std::vector<std::string> data;
    std::string last_id;
};

/// @brief How many events of an item a copy has stored; its response to a
/// delta.
struct progress_mark
{
    std::string job;
    std::uint32_t item = 0;
    std::uint64_t epoch = 0;
    std::uint32_t attempt = 0;
    std::uint64_t count = 0;
};

/// @brief Progress of unfinished items, replicated to this host by the owners.
///
/// A new owner resumes items from their stored events and restarts items that
/// have none. Callers never read this data: they read results from the job
/// logs only.
class progress_copies
{
public:
    /// @brief Stores events that continue the stored ones, or that replace them
    /// because they belong to a later epoch or another attempt.
    ///
    /// Returns how many events of the item are stored now.
    progress_mark store(const progress_delta& delta);

    /// @brief An item's stored events, or null where there are none.
    const item_events* find(std::string_view job, std::uint32_t item) const;

    /// @brief All stored events, as deltas that start at offset 0.
    std::vector<progress_delta> all_deltas() const;

    /// @brief Removes the items for which the predicate returns true.
    void erase_if(const std::function<bool(const std::string& job,
                                           std::uint32_t item)>& done);

    std::size_t size() const { return this->items.size(); }

private:
    struct copied_item
    {
        std::uint64_t epoch = 0;
        item_events events;
    };

    using key = std::pair<std::string, std::uint32_t>;

    std::map<key, copied_item> items;
};

/// @brief The owner's record of how many events of its unfinished items one
/// copy has stored.
class progress_marks
{
public:
    /// @brief The events that the copy lacks, or nothing where it has all.
    std::optional<progress_delta> missing(const std::string& job,
                                          std::uint32_t item,
                                          std::uint64_t epoch,
                                          const item_events& all) const;

    /// @brief Records the mark that the copy returned.
    void set_mark(const progress_mark& stored);

    /// @brief Removes the items for which the predicate returns true.
    void erase_if(const std::function<bool(const std::string& job,
                                           std::uint32_t item)>& done);

private:
    using key = std::pair<std::string, std::uint32_t>;

    std::map<key, progress_mark> marks;
};

} // namespace amaranthhatch::core::batches
