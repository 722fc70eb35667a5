#include "batches/placement_agent.hpp"

#include <algorithm>

#include "batches/timing.hpp"
#include "core/hash.hpp"
#include "host/boot_clock.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::batches
{

namespace model = core::batches;

namespace
{

// Partitions are the units of ownership; 24 of them spread evenly over the 3 to
// 14 hosts that have a disk.
constexpr std::size_t partition_count = 24;
// A gap between two ticks longer than this shows that the process was paused.
constexpr core::milliseconds pause_threshold{500};
// Wait after a write that failed or whose response was lost, in which this
// host's copy of the store receives the outcome of that write.
constexpr core::milliseconds commit_retry_delay{300};
// Wait before the first placement is proposed, so that all hosts are
// discovered; they start within a third of a second of each other.
constexpr core::milliseconds discovery_time{1500};
// Longest wait for registered hosts whose beacons haven't arrived. In a large
// fleet beacons between disks are seldom, and each copy that is placed before
// all disks are known is moved later, by a write that every disk's host reads.
constexpr core::milliseconds longest_discovery{4000};
// The hosts of the third and later copies of a partition wait this much longer
// than the others before they take it over from an unresponsive owner, so that
// two hosts seldom try at once.
constexpr core::milliseconds takeover_step{400};
// An owner starts to balance copies and ownership only after it has owned the
// partition for this time, in which every host sends a few beacons. Until then
// its view of the other hosts may date from the failure that made it the owner.
constexpr core::milliseconds min_ownership_time{1000};
// Time in which the placement that names a later owner usually arrives at the
// owner that it replaces.
constexpr core::milliseconds superseded_wait{1000};

} // namespace

placement_agent::placement_agent(host::host_runtime& runtime, job_store& jobs,
                                 partition_owner::commit_callback committed)
    : runtime(runtime), jobs(jobs), on_commit(std::move(committed)),
      started(host::boot_now()), last_tick(started), awake_since(started)
{
}

std::string placement_agent::key() const
{
    return this->runtime.placement_key();
}

void placement_agent::set_retiring(std::set<std::string> hosts)
{
    this->retiring_hosts = std::move(hosts);
}

std::shared_ptr<partition_owner>
placement_agent::owner_of(std::string_view job) const
{
    if (!this->current)
        return nullptr;
    auto found = this->owners.find(this->current->partition_of(job));
    return found == this->owners.end() ? nullptr : found->second;
}

std::size_t placement_agent::owner_count() const
{
    std::set<std::string_view> disks;
    if (this->current)
        for (const auto& place : this->current->partitions)
            disks.insert(place.owner_disk);
    return std::max<std::size_t>(disks.size(), 1);
}

bool placement_agent::emptied() const
{
    if (!this->current)
        return false;
    return std::none_of(
        this->current->partitions.begin(), this->current->partitions.end(),
        [this](const auto& partition)
        { return partition.holds_copy(this->jobs.disk_identity()); });
}

std::vector<model::disk_host> placement_agent::disk_hosts() const
{
    auto now = host::boot_now();
    const auto& own = this->runtime.settings();
    std::vector<model::disk_host> hosts;
    hosts.push_back({this->jobs.disk_identity(), own.zone, own.region,
                     this->runtime.incarnation(),
                     !this->retiring_hosts.contains(own.name)});
    for (const auto& [name, peer] : this->runtime.peers().all())
        if (!peer.disk.empty() && this->runtime.peers().alive(peer, now) &&
            !peer.leaving)
            hosts.push_back({peer.disk, peer.zone, peer.region,
                             peer.incarnation,
                             !this->retiring_hosts.contains(name)});
    std::sort(hosts.begin(), hosts.end(),
              [](const auto& left, const auto& right)
              { return left.disk < right.disk; });
    return hosts;
}

bool placement_agent::unresponsive(std::string_view disk,
                                   core::milliseconds limit) const
{
    auto now = host::boot_now();
    auto last_beacon = this->awake_since;
    for (const auto& [name, peer] : this->runtime.peers().all())
        if (peer.disk == disk)
            last_beacon = std::max(last_beacon, peer.last_received);
    return now - last_beacon > limit;
}

bool placement_agent::is_retiring(std::string_view disk) const
{
    if (disk == this->jobs.disk_identity())
        return this->retiring_hosts.contains(this->runtime.settings().name);
    for (const auto& [name, peer] : this->runtime.peers().all())
        if (peer.disk == disk && this->retiring_hosts.contains(name))
            return true;
    return false;
}

void placement_agent::tick()
{
    auto now = host::boot_now();
    if (now - this->last_tick > pause_threshold)
    {
        logging::event(logging::level::warning, "process_paused")
            .with("ms", (now - this->last_tick).count());
        this->awake_since = now;
    }
    this->last_tick = now;
    this->read_placement();
    if (!this->current)
        return this->propose_initial();
    this->update_owners();
    for (const auto& [partition, owner] : this->owners)
        owner->tick();
    this->drop_orphaned_jobs();
    if (this->committing || now < this->commit_after)
        return;
    if (this->unconfirmed_change)
        return this->commit(proposal(*this->unconfirmed_change));
    this->plan_changes(this->disk_hosts());
}

void placement_agent::plan_changes(const std::vector<model::disk_host>& hosts)
{
    placement_plan plan{*this->current, hosts, {*this->current, hosts}};
    bool changed = false;
    for (std::size_t partition = 0; partition < plan.next.partitions.size();
         partition++)
    {
        const auto& place = this->current->partitions[partition];
        bool partition_changed = false;
        if (place.owner_disk == this->jobs.disk_identity())
            partition_changed = this->plan_owned_partition(partition, plan);
        else if (place.holds_copy(this->jobs.disk_identity()))
            partition_changed = this->plan_takeover(partition, plan);
        if (!partition_changed)
            continue;
        plan.balance = {plan.next, hosts};
        changed = true;
    }
    if (changed)
        this->propose(std::move(plan.next));
}

void placement_agent::read_placement()
{
    const auto* found = this->runtime.mirror_of(host::mirrored_part::placement)
                            .find(this->key());
    if (found == nullptr || found->revision <= this->revision)
        return;
    auto parsed = parse_placement(found->value);
    if (!parsed)
        return;
    this->current = std::move(parsed);
    this->revision = found->revision;
    this->jobs.set_partitions(this->current->partitions.size());
    this->set_partner_disks();
    this->resume_owners();
}

// Hosts that share a partition hear each other often enough for leases.
void placement_agent::set_partner_disks()
{
    std::set<std::string, std::less<>> partners;
    for (const auto& place : this->current->partitions)
        if (place.holds_copy(this->jobs.disk_identity()))
            partners.insert(place.copies.begin(), place.copies.end());
    partners.erase(this->jobs.disk_identity());
    this->runtime.peers().set_partner_disks(std::move(partners));
}

// Called when no change of this host can be pending any more: this host has a
// newer revision of the placement, so that earlier compare-and-swap writes
// can't take effect, or the store has refused the write.
void placement_agent::resume_owners()
{
    this->unconfirmed_change.reset();
    for (const auto& [partition, owner] : this->owners)
        owner->resume();
}

void placement_agent::update_owners()
{
    for (std::size_t partition = 0;
         partition < this->current->partitions.size(); partition++)
    {
        const auto& place = this->current->partitions[partition];
        bool owned_here =
            place.owner_disk == this->jobs.disk_identity() &&
            place.owner_incarnation == this->runtime.incarnation();
        auto found = this->owners.find(partition);
        if (found != this->owners.end() &&
            (!owned_here || found->second->epoch() != place.epoch))
        {
            found->second->stop();
            this->owners.erase(found);
            found = this->owners.end();
        }
        if (!owned_here)
            continue;
        if (found == this->owners.end())
        {
            auto owner = std::make_shared<partition_owner>(
                this->runtime, this->jobs, partition, place, this->on_commit);
            this->owners[partition] = owner;
            owner->start();
        }
        else if (found->second->placement().copies != place.copies)
            found->second->set_copies(place.copies);
    }
}

bool placement_agent::all_disks_heard() const
{
    auto now = host::boot_now();
    const auto& peers = this->runtime.peers();
    return std::all_of(peers.all().begin(), peers.all().end(),
                       [&](const auto& named)
                       {
                           const auto& peer = named.second;
                           return peer.disk.empty() || !peer.registered ||
                                  peers.alive(peer, now);
                       });
}

void placement_agent::propose_initial()
{
    const auto& mirror =
        this->runtime.mirror_of(host::mirrored_part::placement);
    auto elapsed = host::boot_now() - this->started;
    bool discovery_done = elapsed > longest_discovery ||
                          (elapsed > discovery_time && this->all_disks_heard());
    if (mirror.as_of() == 0 || !discovery_done || this->committing)
        return;
    auto hosts = this->disk_hosts();
    // Only the host whose disk identity sorts first proposes a placement.
    if (hosts.empty() || hosts.front().disk != this->jobs.disk_identity())
        return;
    auto initial = model::first_placement(
        partition_count, this->runtime.settings().lost_disks + 1, hosts);
    if (initial)
        this->propose(std::move(*initial));
}

bool placement_agent::plan_owned_partition(std::size_t partition,
                                           placement_plan& plan)
{
    auto& place = plan.next.partitions[partition];
    if (place.owner_incarnation != this->runtime.incarnation())
    {
        // This host owned the partition before it restarted; it starts a new
        // epoch under the incarnation of this process.
        place.epoch++;
        place.owner_incarnation = this->runtime.incarnation();
        return true;
    }
    auto found = this->owners.find(partition);
    if (found == this->owners.end())
        return false;
    auto& owner = *found->second;
    // The placement still names this host, so that no other host takes over.
    // If that placement is outdated, the write fails.
    if (owner.superseded_for() > superseded_wait)
    {
        place.epoch = owner.latest_epoch() + 1;
        return true;
    }
    if (!owner.serving())
        return false;
    auto next_move = this->next_copy_move(partition, owner, plan);
    if (!next_move)
    {
        owner.set_learner({});
        return this->transfer_ownership(partition, owner, plan);
    }
    const auto& learner = owner.learner();
    // A learner isn't among the hosts that send beacons often, so it counts as
    // lost only by the interval that its own beacons name.
    bool usable = !learner.empty() &&
                  this->runtime.peers().live_disk_host(
                      learner, host::boot_now()) != nullptr &&
                  !this->is_retiring(learner) &&
                  (next_move->to_disk.empty() || next_move->to_disk == learner);
    if (!usable)
    {
        this->choose_learner(owner, *next_move, plan);
        return false;
    }
    return owner.learner_ready() &&
           this->replace_copy(partition, owner, next_move->from_disk, plan);
}

// Moves a copy off an unresponsive disk first, then off a retiring disk, and
// only then a copy to balance the disks. The target of the first two kinds of
// moves is left empty; choose_learner() selects it.
std::optional<model::copy_move>
placement_agent::next_copy_move(std::size_t partition, partition_owner& owner,
                                const placement_plan& plan)
{
    std::optional<model::copy_move> retired_move;
    for (const auto& disk : plan.next.partitions[partition].copies)
    {
        bool unavailable = disk != this->jobs.disk_identity() &&
                           this->unresponsive(disk, replacement_timeout);
        if (unavailable)
            return model::copy_move{disk, {}};
        if (!retired_move && this->is_retiring(disk))
            retired_move = model::copy_move{disk, {}};
    }
    return retired_move ? retired_move
                        : this->next_balancing_move(partition, owner, plan);
}

std::optional<model::copy_move>
placement_agent::next_balancing_move(std::size_t partition,
                                     const partition_owner& owner,
                                     const placement_plan& plan)
{
    if (this->balancing_move && this->balancing_move->partition != partition)
        return std::nullopt;
    this->balancing_move.reset();
    if (owner.owned_for() < min_ownership_time || !owner.holds_lease())
        return std::nullopt;
    auto next_move = plan.balance.choose_move(plan.next.partitions[partition]);
    if (next_move)
        this->balancing_move = active_move{partition, *next_move};
    return next_move;
}

void placement_agent::choose_learner(partition_owner& owner,
                                     const model::copy_move& next_move,
                                     const placement_plan& plan)
{
    if (!next_move.to_disk.empty())
        return owner.set_learner(next_move.to_disk);
    const auto* host =
        plan.balance.choose_replacement(owner.placement(), next_move.from_disk,
                                        this->runtime.settings().region);
    owner.set_learner(host == nullptr ? "" : host->disk);
}

bool placement_agent::replace_copy(std::size_t partition,
                                   partition_owner& owner,
                                   const std::string& replaced,
                                   placement_plan& plan)
{
    auto& place = plan.next.partitions[partition];
    // The write may take effect even if its response is lost, so from now on
    // records are committed only after the learner has synced them.
    owner.require_learner();
    std::replace(place.copies.begin(), place.copies.end(), replaced,
                 owner.learner());
    if (replaced == this->jobs.disk_identity())
    {
        // This owner's own disk is being emptied: ownership is transferred to a
        // host whose copy has all records.
        auto successor = std::find_if(plan.hosts.begin(), plan.hosts.end(),
                                      [&](const auto& host)
                                      { return place.holds_copy(host.disk); });
        if (successor == plan.hosts.end())
        {
            place = this->current->partitions[partition];
            return false;
        }
        owner.suspend();
        place.epoch++;
        place.owner_disk = successor->disk;
        place.owner_incarnation = successor->incarnation;
    }
    logging::event(logging::level::info, "copy_replaced")
        .with("partition", static_cast<std::int64_t>(partition))
        .with("lost", replaced)
        .with("by", owner.learner());
    return true;
}

// Transfers ownership only of partitions without open items, so that no item
// has to be run again because of the transfer.
bool placement_agent::transfer_ownership(std::size_t partition,
                                         partition_owner& owner,
                                         placement_plan& plan)
{
    auto& place = plan.next.partitions[partition];
    if (owner.owned_for() < min_ownership_time || !owner.holds_lease() ||
        !owner.idle())
        return false;
    const auto* successor = plan.balance.choose_successor(place);
    if (successor == nullptr)
        return false;
    owner.suspend();
    place.epoch++;
    place.owner_disk = successor->disk;
    place.owner_incarnation = successor->incarnation;
    logging::event(logging::level::info, "owner_changed")
        .with("partition", static_cast<std::int64_t>(partition))
        .with("heir", successor->disk)
        .with("epoch", static_cast<std::int64_t>(place.epoch));
    return true;
}

bool placement_agent::plan_takeover(std::size_t partition, placement_plan& plan)
{
    auto& place = plan.next.partitions[partition];
    auto rank = std::find(place.copies.begin(), place.copies.end(),
                          this->jobs.disk_identity()) -
                place.copies.begin();
    auto limit = takeover_timeout + takeover_step * (rank > 1 ? 1 : 0);
    // A new owner gets the same time to send a beacon. Otherwise two hosts that
    // don't receive each other's beacons would take over a partition from each
    // other at every tick.
    auto& observed = this->epochs_seen[partition];
    auto now = host::boot_now();
    if (observed.epoch != place.epoch)
        observed = {place.epoch, now};
    if (now - observed.since < limit ||
        !this->unresponsive(place.owner_disk, limit))
        return false;
    logging::event(logging::level::warning, "owner_silent")
        .with("partition", static_cast<std::int64_t>(partition))
        .with("owner", place.owner_disk)
        .with("epoch", static_cast<std::int64_t>(place.epoch));
    place.epoch++;
    place.owner_disk = this->jobs.disk_identity();
    place.owner_incarnation = this->runtime.incarnation();
    return true;
}

void placement_agent::propose(model::placement next)
{
    this->commit({std::move(next), this->revision});
}

void placement_agent::commit(const proposal& proposed)
{
    this->committing = true;
    store::change change;
    change.conditions.push_back({this->key(), proposed.base_revision});
    change.writes.push_back({this->key(), placement_text(proposed.next), 0});
    this->runtime.shared_store().commit(
        change, [this, proposed](const store::change_result& result)
        { this->on_commit_result(proposed, result); });
}

void placement_agent::on_commit_result(const proposal& proposed,
                                       const store::change_result& result)
{
    this->committing = false;
    logging::event(logging::level::info, "placement_proposed")
        .with("result", store::outcome_name(result.result))
        .with("base", static_cast<std::int64_t>(proposed.base_revision))
        .with("known", static_cast<std::int64_t>(this->revision))
        .with("revision", static_cast<std::int64_t>(result.revision));
    if (result.result == store::outcome::done &&
        result.revision > this->revision)
    {
        this->current = proposed.next;
        this->revision = result.revision;
        this->jobs.set_partitions(this->current->partitions.size());
        this->set_partner_disks();
        this->resume_owners();
        return this->update_owners();
    }
    this->commit_after = host::boot_now() + commit_retry_delay;
    // read_placement() has resumed the owners if the base revision has passed.
    if (proposed.base_revision != this->revision)
        return;
    bool any_waiting = std::any_of(this->owners.begin(), this->owners.end(),
                                   [](const auto& entry) {
                                       return entry.second->suspended() ||
                                              entry.second->learner_required();
                                   });
    if (result.result == store::outcome::unknown && any_waiting)
        this->unconfirmed_change = proposed;
    else if (result.result == store::outcome::refused &&
             !this->unconfirmed_change)
        this->resume_owners();
}

bool placement_agent::may_drop_orphan(const std::string& job,
                                      core::milliseconds without_copy,
                                      core::milliseconds without_contact) const
{
    const auto* submitted = this->jobs.find(job)->submitted();
    if (submitted == nullptr)
        return false;
    core::milliseconds age(host::wall_now_ms() - submitted->submitted_ms);
    return model::may_delete_orphaned(
        {without_copy, without_contact,
         age - this->runtime.settings().job_status});
}

void placement_agent::drop_orphaned_jobs()
{
    auto now = host::boot_now();
    for (std::size_t partition = 0;
         partition < this->current->partitions.size(); partition++)
    {
        bool copy_here = this->current->partitions[partition].holds_copy(
            this->jobs.disk_identity());
        if (copy_here)
        {
            this->orphaned_since.erase(partition);
            continue;
        }
        auto since = this->orphaned_since.emplace(partition, now).first->second;
        for (const auto& id : this->jobs.jobs_of(partition))
            if (this->may_drop_orphan(id, now - since,
                                      now - this->jobs.last_contact(partition)))
                this->jobs.forget(id);
    }
}

} // namespace amaranthhatch::batches
