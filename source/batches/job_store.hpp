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

/// @brief All job logs on this host's disk, as owner and as copy.
///
/// Nothing counts as stored before the disk has synced it.
class job_store
{
public:
    /// @brief Reads everything back from the disk.
    job_store(disk_log& disk, std::size_t partitions);

    /// @brief Sets the number of partitions once the placement is known.
    void set_partitions(std::size_t count);

    const std::string& disk_identity() const { return this->disk.identity(); }

    const core::batches::job_log* find(std::string_view job) const;

    /// @brief Records of a job that are synced on this disk.
    std::uint64_t synced(std::string_view job) const;

    /// @brief Names of the jobs of a partition.
    std::vector<std::string> jobs_of(std::size_t partition) const;
    std::size_t partition_of(std::string_view job) const;

    /// @brief Adds records at the end of a job's log, or starts it.
    void add(std::string_view job,
             std::vector<core::batches::record_ptr> records,
             std::function<void()> stored);

    /// @brief Takes records of another host's log.
    ///
    /// With the epoch of an owner its log's length counts too.
    core::batches::append_result take(const job_append& from,
                                      std::function<void()> stored,
                                      std::uint64_t owner_epoch = 0);

    void forget(std::string_view job);

    /// @brief The epoch below which nothing of a partition is accepted.
    std::uint64_t epoch(std::size_t partition) const;
    void raise_epoch(std::size_t partition, std::uint64_t epoch);

    /// @brief When an owner last sent something of a partition.
    core::instant touched(std::size_t partition) const;

    /// @brief Answers an owner's append once its records are synced.
    void answer(const append_call& call,
                std::function<void(const append_answer&)> done);

    /// @brief Answers a new owner that asks for marks.
    reconcile_answer answer(const reconcile_call& call);

    /// @brief Keeps events of open items; nobody waits for the disk.
    std::vector<core::batches::progress_mark>
    store_progress(const std::vector<core::batches::progress_delta>& told);

    /// @brief What is known of open items, also from before a restart.
    const core::batches::progress_copies& told_progress() const
    {
        return this->progress;
    }

    void forget_progress_if(const std::function<bool(const std::string& job,
                                                     std::uint32_t item)>& done)
    {
        this->progress.erase_if(done);
    }

    /// @brief Rewrites the log when most of it belongs to forgotten jobs.
    ///
    /// The limit is what the log may take of the disk; 0: none is known.
    void compact_if_large(std::uint64_t limit_bytes);

    /// @brief True where new jobs must wait for a compaction.
    bool full(std::uint64_t limit_bytes) const;

    std::size_t size() const { return this->jobs.size(); }

private:
    struct stored_job
    {
        explicit stored_job(std::string id) : log(std::move(id)) {}
        core::batches::job_log log;
        std::uint64_t synced = 0;
        /// Changes when records were dropped, so that an older write's end
        /// doesn't count for what replaced them.
        std::uint64_t rewrites = 0;
    };

    void replay_frame(std::string_view bytes);
    stored_job& make(std::string_view job);
    job_mark mark_of(const std::string& job, bool mismatch) const;
    void write(const job_append& from, std::function<void()> stored);
    bool refuses(std::uint64_t partition, std::uint64_t epoch,
                 std::string_view copy_disk, append_answer& answer);

    disk_log& disk;
    std::size_t partitions;
    std::map<std::string, stored_job, std::less<>> jobs;
    std::map<std::size_t, std::uint64_t> epochs;
    std::map<std::size_t, core::instant> touch_times;
    core::batches::progress_copies progress;
    std::uint64_t live_bytes = 0;
};

} // namespace amaranthhatch::batches
