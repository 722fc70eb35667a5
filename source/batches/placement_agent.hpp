#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "batches/partition_owner.hpp"
#include "core/batches/placement_balance.hpp"
#include "host/host_runtime.hpp"

namespace amaranthhatch::batches
{

/// @brief Assigns the owner and the copies of each partition, together with the
/// agents on the other hosts that have a disk.
///
/// All changes are written to the store by compare-and-swap on one key. An
/// agent takes over partitions whose owner is unresponsive, resumes this host's
/// partitions after a restart, replaces copies on lost or retiring disks, and
/// balances copies and ownership over the disks, so that the loss of one host
/// affects few partitions.
class placement_agent
{
public:
    placement_agent(host::host_runtime& runtime, job_store& jobs,
                    partition_owner::commit_callback committed);

    /// @brief Applies the current placement and changes it where a host is
    /// unresponsive, retiring or overloaded with partitions; called
    /// periodically.
    void tick();

    /// @brief Sets the names of the hosts whose disks are to be emptied.
    void set_retiring(std::set<std::string> hosts);

    /// @brief The owner of a job's partition on this host, or null.
    std::shared_ptr<partition_owner> owner_of(std::string_view job) const;

    /// @brief The number of disks that own partitions; at least 1.
    std::size_t owner_count() const;

    /// @brief All partitions that this host owns.
    const std::map<std::size_t, std::shared_ptr<partition_owner>>& owned() const
    {
        return this->owners;
    }

    /// @brief True if the placement assigns no copy to this host's disk.
    bool emptied() const;

    bool has_placement() const { return this->current.has_value(); }

private:
    /// @brief The last epoch seen of a partition and when this host first saw
    /// it.
    struct seen_epoch
    {
        std::uint64_t epoch = 0;
        core::instant since{};
    };

    /// @brief The next placement while its changes are being collected.
    struct placement_plan
    {
        core::batches::placement next;
        const std::vector<core::batches::disk_host>& hosts;
        core::batches::placement_balance balance;
    };

    /// @brief A changed placement and the revision that it was derived from.
    ///
    /// Its write can take effect only at that revision. Once a later one has
    /// been read, the proposal is void: written at the later revision, it would
    /// undo the changes of other hosts.
    struct proposal
    {
        core::batches::placement next;
        std::uint64_t base_revision = 0;
    };

    /// @brief The one copy that this host is moving to balance the disks.
    struct active_move
    {
        std::size_t partition = 0;
        core::batches::copy_move move;
    };

    bool all_disks_heard() const;
    void read_placement();
    void set_partner_disks();
    void update_owners();
    void propose_initial();
    void plan_changes(const std::vector<core::batches::disk_host>& hosts);
    bool plan_owned_partition(std::size_t partition, placement_plan& plan);
    bool plan_takeover(std::size_t partition, placement_plan& plan);
    std::optional<core::batches::copy_move>
    next_copy_move(std::size_t partition, partition_owner& owner,
                   const placement_plan& plan);
    std::optional<core::batches::copy_move>
    next_balancing_move(std::size_t partition, const partition_owner& owner,
                        const placement_plan& plan);
    void choose_learner(partition_owner& owner,
                        const core::batches::copy_move& next_move,
                        const placement_plan& plan);
    bool replace_copy(std::size_t partition, partition_owner& owner,
                      const std::string& replaced, placement_plan& plan);
    bool transfer_ownership(std::size_t partition, partition_owner& owner,
                            placement_plan& plan);
    void propose(core::batches::placement next);
    void commit(const proposal& proposed);
    void on_commit_result(const proposal& proposed,
                          const store::change_result& result);
    void resume_owners();
    void drop_orphaned_jobs();
    bool may_drop_orphan(const std::string& job,
                         core::milliseconds without_copy,
                         core::milliseconds without_contact) const;
    bool unresponsive(std::string_view disk, core::milliseconds limit) const;
    bool is_retiring(std::string_view disk) const;
    std::vector<core::batches::disk_host> disk_hosts() const;
    std::string key() const;

    host::host_runtime& runtime;
    job_store& jobs;
    partition_owner::commit_callback on_commit;
    std::optional<core::batches::placement> current;
    std::uint64_t revision = 0;
    std::map<std::size_t, std::shared_ptr<partition_owner>> owners;
    std::map<std::size_t, core::instant> orphaned_since;
    std::map<std::size_t, seen_epoch> epochs_seen;
    std::set<std::string> retiring_hosts;
    core::instant started{};
    core::instant last_tick{};
    /// Start of the time in which this process has run without a pause. Missing
    /// beacons of other hosts are counted from here at the earliest, as a
    /// paused process receives none.
    core::instant awake_since{};
    bool committing = false;
    core::instant commit_after{};
    std::optional<active_move> balancing_move;
    /// A proposal that transfers ownership or moves copies and whose write to
    /// the store has an unknown outcome. Until a placement after its base
    /// revision is known, the owners on this host stay suspended, as their
    /// successors may already serve requests, and records are committed only on
    /// the disks of both placements.
    std::optional<proposal> unconfirmed_change;
};

} // namespace amaranthhatch::batches
