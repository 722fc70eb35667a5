#pragma once

#include <functional>
#include <map>
#include <memory>
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

/// @brief One partition that this host owns in one epoch.
///
/// A record is committed once every copy has synced it. A copy that has seen
/// a later epoch refuses, so that an owner that was replaced commits nothing.
class partition_owner : public std::enable_shared_from_this<partition_owner>
{
public:
    /// @brief Hears that more records of a job are committed.
    using commit_callback = std::function<void(const std::string& job)>;

    partition_owner(host::host_runtime& runtime, job_store& jobs,
                    std::size_t partition,
                    core::batches::partition_place initial_placement,
                    commit_callback committed);

    /// @brief Asks the copies how far they are; owning starts after that.
    void start();

    /// @brief Ends all calls; the place has another owner.
    void stop();

    std::uint64_t epoch() const { return this->current_placement.epoch; }

    /// @brief True while records may be added: not before the copies have
    /// been asked, not on hold, and not after another owner's epoch was seen
    /// here.
    bool serving() const
    {
        return this->accepting && !this->is_suspended &&
               this->jobs.epoch(this->partition) ==
                   this->current_placement.epoch;
    }

    /// @brief True once everything that an earlier owner can have shown is
    /// committed again.
    bool recovered() const
    {
        return this->serving() && this->replication.recovered();
    }

    /// @brief True while no other host can have taken the partition over.
    bool holds_lease() const;

    /// @brief Records of a job that every copy has synced.
    std::uint64_t committed(std::string_view job) const;

    /// @brief Adds records to a job's log and sends them to the copies.
    void add(const std::string& job,
             std::vector<core::batches::record_ptr> records);

    /// @brief Forgets a job here and at the copies.
    void expire(const std::string& job);

    /// @brief Brings another disk up to date, to become a copy.
    void set_learner(const std::string& disk);

    /// @brief The disk that is being taught, if any.
    const std::string& learner() const { return this->learner_disk; }
    bool learner_ready() const;

    /// @brief Commits nothing any more that the learner hasn't stored.
    void require_learner();

    /// @brief Takes over a changed list of copies of the same epoch.
    void set_copies(std::vector<std::string> disks);

    /// @brief Serves nothing until released, as an heir may serve already.
    void suspend() { this->is_suspended = true; }
    void resume() { this->is_suspended = false; }
    bool suspended() const { return this->is_suspended; }

    /// @brief True where no job is open and every copy has every record.
    bool idle() const;

    /// @brief How long this host has owned the partition.
    core::milliseconds owned_for() const;

    /// @brief Sends what waits; to be called often.
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
        std::set<std::string> expired_jobs;
    };

    void request_marks(const std::string& disk);
    void on_marks(const std::string& disk, const reconcile_response& response);
    void send(const std::string& disk);
    void on_stored(const std::string& disk, const append_response& response);
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
    bool accepting = false;
    bool stopped = false;
    bool is_suspended = false;
};

} // namespace amaranthhatch::batches
