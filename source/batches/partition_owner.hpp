#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "batches/job_store.hpp"
#include "core/batches/placement.hpp"
#include "core/batches/replication_state.hpp"
#include "host/host_runtime.hpp"

namespace amaranthhatch::batches
{

/// @brief Replicates the job logs of one partition that this host owns in one
/// epoch.
///
/// A record is committed once every copy has synced it to its disk. A copy that
/// has seen a later epoch rejects appends, so that a superseded owner can't
/// commit anything.
class partition_owner : public std::enable_shared_from_this<partition_owner>
{
public:
    /// @brief Called whenever more records of a job have been committed.
    using commit_callback = std::function<void(const std::string& job)>;

    partition_owner(host::host_runtime& runtime, job_store& jobs,
                    std::size_t partition,
                    core::batches::partition_place initial_placement,
                    commit_callback committed);

    /// @brief Requests from each copy the mark of every job's log: the number
    /// of its records and the epoch of the last one.
    ///
    /// Records can be added after the copies have responded or
    /// reconcile_timeout has passed.
    void start();

    /// @brief Stops replication and ignores outstanding responses, as the
    /// partition has another owner.
    void stop();

    std::uint64_t epoch() const { return this->current_placement.epoch; }

    /// @brief The latest epoch of the partition that this host or a copy has
    /// seen. It is later than epoch() once another owner has superseded this
    /// one.
    std::uint64_t latest_epoch() const;

    /// @brief How long ago this owner learned of a later epoch; nothing while
    /// it knows of none.
    std::optional<core::milliseconds> superseded_for() const;

    /// @brief True while records may be added.
    ///
    /// False until the copies are reconciled, while this owner is suspended,
    /// and after this host has seen a later owner's epoch.
    bool serving() const
    {
        return this->accepting && !this->is_suspended &&
               this->jobs.epoch(this->partition) ==
                   this->current_placement.epoch;
    }

    /// @brief True once every record that an earlier owner may have returned to
    /// readers is committed in this epoch.
    bool recovered() const
    {
        return this->serving() && this->replication.recovered();
    }

    /// @brief True while no other host can have taken over the partition:
    /// every copy's host has echoed a beacon within lease_duration.
    bool holds_lease() const;

    /// @brief Number of a job's records that every copy has synced.
    std::uint64_t committed(std::string_view job) const;

    /// @brief Adds records to a job's log and sends them to the copies.
    void add(const std::string& job,
             std::vector<core::batches::record_ptr> records);

    /// @brief Removes a job from this host and from the copies.
    void expire(const std::string& job);

    /// @brief Starts replicating to another disk, so that it can become a copy.
    ///
    /// An empty name stops this replication.
    void set_learner(const std::string& disk);

    /// @brief The disk that is being brought up to date to become a copy; empty
    /// if there is none.
    const std::string& learner() const { return this->learner_disk; }

    /// @brief True if the learner has every record of every job, so that it can
    /// become a copy.
    bool learner_ready() const;

    /// @brief Requires from now on that the learner, too, has synced a record
    /// before the record is committed.
    void require_learner();
    bool learner_required() const;

    /// @brief Applies a changed list of copies within the same epoch.
    void set_copies(std::vector<std::string> disks);

    /// @brief Serves no requests until resume(), as a successor to which
    /// ownership is being transferred may already serve them.
    void suspend() { this->is_suspended = true; }
    void resume() { this->is_suspended = false; }
    bool suspended() const { return this->is_suspended; }

    /// @brief True if no job has open items and every copy has every record.
    bool idle() const;

    /// @brief How long this host has owned the partition.
    core::milliseconds owned_for() const;

    /// @brief Sends pending records to the copies, and requests marks from
    /// copies that haven't reported them; called periodically.
    void tick();

    const core::batches::partition_place& placement() const
    {
        return this->current_placement;
    }

private:
    enum class copy_phase : std::uint8_t
    {
        unreconciled,
        reconciling,
        reconciled
    };

    struct copy_state
    {
        copy_phase phase = copy_phase::unreconciled;
        bool sending = false;
        core::instant retry_at{};
        std::set<std::string> lagging_jobs;
        /// Jobs that the copy removes, with the mark up to which it does.
        std::map<std::string, core::batches::log_mark> expired_jobs;
    };

    void request_marks(const std::string& disk);
    void on_marks(const std::string& disk, const reconcile_response& response);
    void send(const std::string& disk);
    void on_stored(const std::string& disk, const append_response& response);
    void on_later_epoch(std::uint64_t later);
    void begin_serving();
    bool all_copies_reconciled() const;
    bool unresponsive(const std::string& disk) const;
    void check_committed(const std::string& job);
    void check_all_committed();
    void mark_copies_behind(const std::string& job);
    job_append next_append(const std::string& job, std::uint64_t stored) const;

    host::host_runtime& runtime;
    job_store& jobs;
    std::size_t partition;
    core::batches::partition_place current_placement;
    commit_callback on_commit;
    std::map<std::string, copy_state, std::less<>> copies;
    core::batches::replication_state replication;
    std::string learner_disk;
    core::instant started{};
    /// The latest epoch in the copies' responses, and when the first later one
    /// than this owner's became known.
    std::uint64_t copies_epoch = 0;
    std::optional<core::instant> superseded_at;
    bool accepting = false;
    bool stopped = false;
    bool is_suspended = false;
};

} // namespace amaranthhatch::batches
