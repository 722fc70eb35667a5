#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace amaranthhatch::core::batches
{

/// @brief One call of a batch job.
struct item
{
    std::string id;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Tokens of the prompt and the longest answer.
    std::uint64_t tokens = 0;
};

/// @brief A batch job as its caller submitted it.
struct job
{
    std::string id;
    std::string authority;
    std::string path;
    /// Milliseconds since 1970 at the first host that took it.
    std::int64_t submitted_ms = 0;
    std::vector<item> items;
};

/// @brief What a record of a job's log says.
enum class record_kind : std::uint8_t
{
    /// The job itself; always the first record.
    accepted,
    /// An item has its final result; its place in the log is its position.
    result,
    /// The job was ended by its caller.
    ended
};

/// @brief How an item ended.
enum class item_state : std::uint8_t
{
    done,
    given_up
};

/// @brief One record of a job's log; never changed once it is made.
struct record
{
    record_kind kind = record_kind::accepted;
    /// The ownership under which the record was made.
    std::uint64_t epoch = 0;
    std::shared_ptr<const job> accepted;
    std::uint32_t item = 0;
    item_state state = item_state::done;
    std::string text;
};

using record_ptr = std::shared_ptr<const record>;

/// @brief How far a log goes: logs with a greater mark hold all that logs with
/// a smaller one can have committed.
struct log_mark
{
    std::uint64_t epoch = 0;
    std::uint64_t count = 0;

    bool operator==(const log_mark&) const = default;
    bool operator>(const log_mark& other) const
    {
        return this->epoch != other.epoch ? this->epoch > other.epoch
                                          : this->count > other.count;
    }
};

/// @brief Whether an append fits.
enum class append_result : std::uint8_t
{
    appended,
    /// The records before it are missing or differ; send from the start.
    mismatch
};

/// @brief One job's log and what follows from it.
class job_log
{
public:
    explicit job_log(std::string id);

    const std::string& id() const { return this->job_id; }
    std::span<const record_ptr> records() const { return this->log; }
    log_mark mark() const;

    /// @brief The epoch of the record before a place; 0 at the start.
    std::uint64_t epoch_before(std::uint64_t place) const;

    /// @brief Puts records at a place, dropping what differs behind it.
    ///
    /// Records that are already there are kept; previous_epoch must be that of
    /// the record before the place.
    append_result append(std::uint64_t place, std::uint64_t previous_epoch,
                         std::span<const record_ptr> added);

    /// @brief Drops what an owner's log of this length doesn't have.
    ///
    /// Only records of earlier epochs go: they were never committed, as the
    /// owner would have them. A late call of the same owner drops nothing.
    void truncate_stale_tail(std::uint64_t owner_count,
                             std::uint64_t owner_epoch);

    /// @brief Drops all records from a place on; for reading a log back.
    void truncate(std::uint64_t place);

    /// @brief The job, or null while the first record is missing.
    const job* submitted() const;

    bool ended() const { return this->end_place != 0; }
    bool finished(std::uint32_t item) const;
    std::uint32_t finished_count() const
    {
        return static_cast<std::uint32_t>(this->result_places.size());
    }

    /// @brief True where every item has its result, or the job was ended.
    bool closed() const;

    /// @brief Results among the first records, in the order of positions.
    std::uint32_t results_within(std::uint64_t records) const;
    const record& result_at(std::uint32_t position) const;

    /// @brief Tokens of items without a result; none after the end.
    std::uint64_t open_tokens() const;

private:
    void apply_record(const record& added, std::uint64_t place);
    void rebuild();

    std::string job_id;
    std::vector<record_ptr> log;
    std::vector<std::uint64_t> result_places;
    std::vector<bool> has_result;
    std::uint64_t end_place = 0;
};

} // namespace amaranthhatch::core::batches
