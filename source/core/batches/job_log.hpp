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

/// @brief One request of a batch job.
struct item
{
    std::string id;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Tokens of the prompt plus the longest allowed response.
    std::uint64_t tokens = 0;
};

/// @brief A batch job as its caller submitted it.
struct job
{
    std::string id;
    std::string authority;
    std::string path;
    /// Milliseconds since 1970, by the clock of the first host that accepted
    /// the job.
    std::int64_t submitted_ms = 0;
    std::vector<item> items;
    /// Version of the configuration that the entry matched the job's route in;
    /// 0 in jobs of releases that didn't record it.
    std::uint64_t configuration_version = 0;
    /// The workspace that the job belongs to; empty: none, so that any caller
    /// may see it.
    std::string workspace;
};

/// @brief Type of a record in a job's log.
enum class record_kind : std::uint8_t
{
    /// The job itself; always the first record.
    accepted,
    /// An item has its final result; results are numbered in log order.
    result,
    /// The caller ended the job before all items had a result.
    ended
};

/// @brief How an item ended.
enum class item_state : std::uint8_t
{
    done,
    given_up
};

/// @brief One record of a job's log; immutable.
struct record
{
    record_kind kind = record_kind::accepted;
    /// Epoch of the owner that wrote the record.
    std::uint64_t epoch = 0;
    std::shared_ptr<const job> accepted;
    std::uint32_t item = 0;
    item_state state = item_state::done;
    std::string text;
};

using record_ptr = std::shared_ptr<const record>;

/// @brief Epoch of a log's last record and its number of records.
///
/// A log with a greater mark contains every record that a log with a smaller
/// mark can have committed.
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

/// @brief Result of an append.
enum class append_result : std::uint8_t
{
    appended,
    /// The preceding records are missing or differ; the owner must resend the
    /// log from the start.
    mismatch
};

/// @brief One job's log, with an index of its results and its end.
class job_log
{
public:
    explicit job_log(std::string id);

    const std::string& id() const { return this->job_id; }
    std::span<const record_ptr> records() const { return this->log; }
    log_mark mark() const;

    /// @brief The epoch of the record that precedes an index of the log; 0 at
    /// the start of the log and beyond its end.
    std::uint64_t epoch_before(std::uint64_t position) const;

    /// @brief Writes records into the log, the first at index position.
    ///
    /// Records that are already there are retained. From the first one that
    /// differs, the log is truncated and replaced. previous_epoch must be the
    /// epoch of the record before that position.
    append_result append(std::uint64_t position, std::uint64_t previous_epoch,
                         std::span<const record_ptr> added);

    /// @brief Truncates the records that exceed the length of the owner's log.
    ///
    /// Only records of earlier epochs are removed: they were never committed,
    /// else the owner's log would contain them. A delayed call of the owner
    /// that wrote the records removes nothing.
    void truncate_stale_tail(std::uint64_t owner_count,
                             std::uint64_t owner_epoch);

    /// @brief Removes all records from an index on; used when a log is read
    /// from disk.
    void truncate(std::uint64_t position);

    /// @brief The job, or null while the first record is missing.
    const job* submitted() const;

    bool ended() const { return this->end_position != 0; }
    bool finished(std::uint32_t item) const;
    std::uint32_t finished_count() const
    {
        return static_cast<std::uint32_t>(this->result_positions.size());
    }

    /// @brief True where every item has a result or the caller ended the job.
    bool closed() const;

    /// @brief Number of results among the given number of first records.
    std::uint32_t results_within(std::uint64_t records) const;
    const record& result_at(std::uint32_t result_index) const;

    /// @brief Tokens of the items without a result; 0 once the caller
    /// ended the job.
    std::uint64_t open_tokens() const;

private:
    void apply_record(const record& added, std::uint64_t position);
    void rebuild();

    std::string job_id;
    std::vector<record_ptr> log;
    std::vector<std::uint64_t> result_positions;
    std::vector<bool> has_result;
    std::uint64_t end_position = 0;
};

} // namespace amaranthhatch::core::batches
