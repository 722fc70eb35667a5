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

/// @brief The whole events of an item that has no result yet.
struct item_events
{
    /// Rises whenever the item starts anew; events of two attempts don't fit
    /// together.
    std::uint32_t attempt = 0;
    /// Data of the events, in order.
    std::vector<std::string> data;
    /// The id of the last event, to resume behind it.
    std::string last_id;
};

/// @brief Events of one item behind those that a copy has.
struct progress_delta
{
    std::string job;
    std::uint32_t item = 0;
    /// The owner's epoch; a later owner's events replace an earlier one's.
    std::uint64_t epoch = 0;
    std::uint32_t attempt = 0;
    /// Events that the copy must have already.
    std::uint64_t offset = 0;
    std::vector<std::string> data;
    std::string last_id;
};

/// @brief How many events of an item a copy has.
struct progress_mark
{
    std::string job;
    std::uint32_t item = 0;
    std::uint64_t epoch = 0;
    std::uint32_t attempt = 0;
    std::uint64_t count = 0;
};

/// @brief What owners have told of their open items.
///
/// A new owner resumes items with it, and starts those anew of which nothing
/// is known. What callers may read lies in the jobs' logs alone.
class progress_copies
{
public:
    /// @brief Adds events, if they go on from what is here or replace it.
    progress_mark store(const progress_delta& delta);

    /// @brief An item's events, or null where nothing was told.
    const item_events* find(std::string_view job, std::uint32_t item) const;

    /// @brief Everything, to be stored again from the front.
    std::vector<progress_delta> all_deltas() const;

    /// @brief Forgets the items of which the caller says so.
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

/// @brief What one copy is known to have of this host's open items.
class progress_marks
{
public:
    /// @brief The events that the copy lacks, or nothing.
    std::optional<progress_delta> missing(const std::string& job,
                                          std::uint32_t item,
                                          std::uint64_t epoch,
                                          const item_events& all) const;

    /// @brief Notes the copy's answer.
    void set_mark(const progress_mark& stored);

    /// @brief Forgets the items of which the caller says so.
    void erase_if(const std::function<bool(const std::string& job,
                                           std::uint32_t item)>& done);

private:
    using key = std::pair<std::string, std::uint32_t>;

    std::map<key, progress_mark> marks;
};

} // namespace amaranthhatch::core::batches
