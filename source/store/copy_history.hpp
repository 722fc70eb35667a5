#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace amaranthhatch::store
{

/// @brief The latest revisions of a copy and the keys removed between them.
///
/// Tells whether a copy of an earlier revision can be brought up to date by the
/// entries that changed and the keys that were removed since. Bounded: copies
/// from before the history have to be fetched whole.
class copy_history
{
public:
    /// @brief Records that the copy advanced and which keys it lost.
    ///
    /// every_removal tells whether these are all keys removed in between. A
    /// listing doesn't show a key that was written and removed since the one
    /// before; a watch does.
    void record(std::uint64_t from, std::uint64_t until,
                std::vector<std::string> removed, bool every_removal);

    /// @brief True where removed_after() is complete for a copy of a revision.
    bool covers(std::uint64_t revision) const;

    /// @brief Keys that were removed after a revision; may contain some that
    /// were removed before it or were written again.
    std::vector<std::string> removed_after(std::uint64_t revision) const;

private:
    struct step
    {
        std::uint64_t from = 0;
        std::uint64_t until = 0;
        std::vector<std::string> removed;
        bool every_removal = false;
    };

    std::deque<step> steps;
    std::size_t key_count = 0;
};

} // namespace amaranthhatch::store
