#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "batches/disk_log.hpp"
#include "batches/records.hpp"
#include "core/batches/job_log.hpp"
#include "core/instant.hpp"

namespace amaranthhatch::batches
{

/// @brief All job logs on this host's disk, of partitions that it owns and of
/// partitions that it holds a copy of.
///
/// A record counts as stored only after the disk has synced it.
class job_store
{
public:
    /// @brief Restores the job logs, epochs and item progress from the disk.
    ///
    /// partitions is 0 until the host has read a placement.
    job_store(disk_log& disk, std::size_t partitions);

    /// @brief Sets the number of partitions; called when the host has read a
    /// placement.
    void set_partitions(std::size_t count);

    const std::string& disk_identity() const { return this->disk.identity(); }

    const core::batches::job_log* find(std::string_view job) const;

    /// @brief Number of a job's records that are synced on this disk.
    std::uint64_t synced(std::string_view job) const;

    /// @brief Ids of the jobs of a partition.
    std::vector<std::string> jobs_of(std::size_t partition) const;
    std::size_t partition_of(std::string_view job) const;

    /// @brief Adds records at the end of a job's log, and creates the log if
    /// there is none.
    void add(std::string_view job,
             std::vector<core::batches::record_ptr> records,
             std::function<void()> on_synced);

    /// @brief Merges records of another host's log into this host's log of the
    /// job.
    ///
    /// If they come from an owner, owner_epoch is its epoch, and records of
    /// earlier epochs beyond the length of the owner's log are dropped. 0 drops
    /// none.
    core::batches::append_result accept(const job_append& append,
                                        std::function<void()> on_synced,
                                        std::uint64_t owner_epoch = 0);

    void forget(std::string_view job);

    /// @brief The highest epoch seen of a partition; requests of earlier epochs
    /// are rejected.
    std::uint64_t epoch(std::size_t partition) const;
    void raise_epoch(std::size_t partition, std::uint64_t epoch);

    /// @brief When an owner last sent a request for a partition.
    core::instant last_contact(std::size_t partition) const;

    /// @brief Stores the records of an owner's append and responds once they
    /// are synced.
    void handle(const append_request& request,
                std::function<void(const append_response&)> on_synced);

    /// @brief Responds to a new owner with the marks of this host's logs, or
    /// with no_placement until the number of partitions is known.
    reconcile_response handle(const reconcile_request& request);

    /// @brief Stores events of open items, without waiting for the disk.
    std::vector<core::batches::progress_mark>
    store_progress(const std::vector<core::batches::progress_delta>& deltas);

    /// @brief The events of open items that owners have replicated to this
    /// host, including those restored from the disk.
    const core::batches::progress_copies& replicated_progress() const
    {
        return this->progress;
    }

    void forget_progress_if(const std::function<bool(const std::string& job,
                                                     std::uint32_t item)>& done)
    {
        this->progress.erase_if(done);
    }

    /// @brief Rewrites the log on the disk without the data of removed jobs, if
    /// it is large and has at least doubled since the last compaction.
    ///
    /// limit_bytes is the disk space that the log may use; 0 means no limit.
    void compact_if_large(std::uint64_t limit_bytes);

    /// @brief True if the log is too large to accept new jobs before it is
    /// compacted.
    bool full(std::uint64_t limit_bytes) const;

    std::size_t size() const { return this->jobs.size(); }

private:
    struct stored_job
    {
        explicit stored_job(std::string id) : log(std::move(id)) {}
        core::batches::job_log log;
        std::uint64_t synced = 0;
        /// Number of times that records were dropped from the log. A write that
        /// completes after such a change doesn't count as a sync of the records
        /// that replaced the dropped ones.
        std::uint64_t rewrites = 0;
    };

    void replay_frame(std::string_view bytes);
    stored_job& find_or_create(std::string_view job);
    job_mark mark_of(const std::string& job, bool mismatch) const;
    void write(const job_append& append, std::function<void()> on_synced);
    bool refuses(std::uint64_t partition, std::uint64_t epoch,
                 std::string_view copy_disk, append_response& response);

    disk_log& disk;
    std::size_t partitions;
    std::map<std::string, stored_job, std::less<>> jobs;
    std::map<std::size_t, std::uint64_t> epochs;
    std::map<std::size_t, core::instant> contact_times;
    core::batches::progress_copies progress;
    /// Bytes of job records that the last compaction wrote; 0 before the first.
    std::uint64_t live_bytes = 0;
};

} // namespace amaranthhatch::batches
