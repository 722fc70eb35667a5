#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/batches/job_log.hpp"
#include "core/batches/placement.hpp"
#include "core/batches/replication_state.hpp"

namespace amaranthhatch::tests
{

/// @brief Which rule of ownership a replay breaks, to show that the check
/// detects it.
enum class ownership_fault
{
    none,
    /// A copy accepts appends of any epoch.
    accept_stale_epoch,
    /// Records count as committed before all copies have synced them.
    commit_alone,
    /// An owner continues to serve after it has seen a later epoch.
    serve_after_later_epoch,
    /// A lost copy is removed from the placement before its replacement has
    /// all records.
    drop_copy_early,
    /// An owner goes on with the copies that it knows after a write of other
    /// copies whose outcome it doesn't know.
    forget_unknown_write
};

/// @brief Replays one partition's owners, copies, crashes, power losses,
/// wiped disks, pauses and takeovers with delayed and lost calls and with
/// writes to the store whose outcome is unknown, from a seed.
///
/// lost_disks disks are wiped at once: as many as the deployment promises to
/// tolerate.
class ownership_schedule
{
public:
    ownership_schedule(std::uint64_t seed, ownership_fault fault,
                       std::size_t lost_disks = 1);

    /// @brief Runs the schedule; returns the failure found, or an empty string.
    std::string run();

    std::size_t committed() const { return this->shown.size(); }

private:
    struct owner_state
    {
        core::batches::partition_place place;
        core::batches::replication_state replication;
        bool serving = false;
        std::string learner;
        /// Disk of a live copy that is being moved to balance the disks, or
        /// empty.
        std::string moving;
        /// The store's revision that the owner has read.
        std::uint64_t revision = 0;
        /// Written copies whose write's outcome the owner doesn't know.
        std::optional<core::batches::partition_place> unconfirmed;
    };

    /// @brief A write that takes effect after its caller has given it up.
    struct late_write
    {
        std::uint64_t due = 0;
        std::uint64_t revision = 0;
        core::batches::partition_place place;
    };

    struct host
    {
        std::string disk;
        std::uint64_t incarnation = 1;
        bool alive = true;
        std::uint64_t epoch = 0;
        core::batches::job_log log{"job"};
        std::uint64_t synced = 0;
        std::optional<owner_state> owner;
    };

    struct append_message
    {
        std::uint64_t due = 0;
        std::string from;
        std::uint64_t incarnation = 0;
        std::string to_disk;
        std::uint64_t epoch = 0;
        std::uint64_t place = 0;
        std::uint64_t previous_epoch = 0;
        std::uint64_t total = 0;
        std::vector<core::batches::record_ptr> records;
    };

    std::uint64_t pick(std::uint64_t below);
    host* by_disk(const std::string& disk);
    bool swap(std::uint64_t revision,
              const core::batches::partition_place& next);
    void take_late_writes();
    void write_copies(host& by, const core::batches::partition_place& next);
    void read_placement(host& by);
    void become_owner(host& by);
    void reconcile(host& by);
    void produce(host& by);
    void send(host& by, const std::string& disk);
    void deliver(const append_message& message);
    void note_commits(host& by);
    void sync_disk(host& on);
    void restart(host& which, bool power_loss, bool wiped);
    void consider_takeover();
    void consider_replacement(host& by);
    std::string choose_replaced(host& by);
    void check_final();
    bool may_lose_disks() const;
    std::string pick_host();

    std::mt19937_64 random;
    ownership_fault fault;
    std::size_t lost_disks;
    std::uint64_t now = 0;
    std::map<std::string, host> hosts;
    core::batches::partition_place stored;
    std::uint64_t stored_revision = 1;
    std::vector<late_write> late_writes;
    std::vector<append_message> in_flight;
    /// Every record that any owner has shown as committed, by its index in the
    /// log.
    std::vector<core::batches::record_ptr> shown;
    std::uint64_t wiped_until = 0;
    std::uint32_t next_item = 0;
    std::uint64_t next_disk = 10;
    std::string failure;
};

} // namespace amaranthhatch::tests
