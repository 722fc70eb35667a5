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

// Partitions are the units of ownership; two dozen spread evenly over the
// three to fourteen hosts with a disk.
constexpr std::size_t partition_count = 24;
// A pause between two ticks of this length shows that this host was frozen.
constexpr core::milliseconds frozen_gap{500};
// After a lost answer the store's copy shows what became of the write.
constexpr core::milliseconds commit_pause{300};
// Hosts start within a third of a second of each other.
constexpr core::milliseconds gather_time{1500};
// Copies claim one after the other, so that two seldom race.
constexpr core::milliseconds claim_step{400};
// An owner moves nothing to even out the disks before it has served this
// long, a few beacons of every host: until then what it knows of the others
// may date from the disturbance that made it the owner.
constexpr core::milliseconds settle_time{1000};

} // namespace

placement_agent::placement_agent(host::host_runtime& runtime, job_store& jobs,
                                 partition_owner::commit_callback committed)
    : runtime(runtime), jobs(jobs), on_commit(std::move(committed)),
      started(host::boot_now()), last_tick(started), listening_since(started)
{
}

std::string placement_agent::key() const
{
    return this->runtime.own_prefix() + "placement";
}

void placement_agent::set_retiring(std::set<std::string> hosts)
{
    this->retiring = std::move(hosts);
}

std::shared_ptr<partition_owner>
placement_agent::owner_of(std::string_view job) const
{
    if (!this->current)
        return nullptr;
    auto found = this->owners.find(this->current->partition_of(job));
    return found == this->owners.end() ? nullptr : found->second;
}

bool placement_agent::emptied() const
{
    if (!this->current)
        return false;
    return std::none_of(this->current->partitions.begin(),
                        this->current->partitions.end(),
                        [this](const auto& each) {
                            return each.holds_copy(this->jobs.disk_identity());
                        });
}

std::vector<model::disk_host> placement_agent::disk_hosts() const
{
    auto now = host::boot_now();
    const auto& own = this->runtime.settings();
    std::vector<model::disk_host> out;
    out.push_back({this->jobs.disk_identity(), own.zone, own.region,
                   this->runtime.incarnation(),
                   !this->retiring.contains(own.name)});
    for (const auto& [name, peer] : this->runtime.peers().all())
        if (!peer.disk.empty() && this->runtime.peers().alive(peer, now) &&
            !peer.leaving)
            out.push_back({peer.disk, peer.zone, peer.region, peer.incarnation,
                           !this->retiring.contains(name)});
    std::sort(out.begin(), out.end(),
              [](const auto& left, const auto& right)
              { return left.disk < right.disk; });
    return out;
}

bool placement_agent::silent(std::string_view disk,
                             core::milliseconds limit) const
{
    auto now = host::boot_now();
    auto heard = this->listening_since;
    for (const auto& [name, peer] : this->runtime.peers().all())
        if (peer.disk == disk)
            heard = std::max(heard, peer.last_received);
    return now - heard > limit;
}

bool placement_agent::retires(std::string_view disk) const
{
    if (disk == this->jobs.disk_identity())
        return this->retiring.contains(this->runtime.settings().name);
    for (const auto& [name, peer] : this->runtime.peers().all())
        if (peer.disk == disk && this->retiring.contains(name))
            return true;
    return false;
}

void placement_agent::tick()
{
    auto now = host::boot_now();
    if (now - this->last_tick > frozen_gap)
    {
        logging::event(logging::level::warning, "process_paused")
            .with("ms", (now - this->last_tick).count());
        this->listening_since = now;
    }
    this->last_tick = now;
    this->adopt_copy();
    if (!this->current)
        return this->propose_first();
    this->follow();
    for (const auto& [partition, owner] : this->owners)
        owner->tick();
    this->drop_strays();
    if (this->committing || now < this->commit_after)
        return;
    if (this->unsettled)
        return this->commit(model::placement(*this->unsettled));
    this->consider(this->disk_hosts());
}

void placement_agent::consider(const std::vector<model::disk_host>& hosts)
{
    plan of{*this->current, hosts, {*this->current, hosts}};
    bool changed = false;
    for (std::size_t at = 0; at < of.next.partitions.size(); at++)
    {
        const auto& place = this->current->partitions[at];
        bool here = false;
        if (place.owner_disk == this->jobs.disk_identity())
            here = this->consider_owned(at, of);
        else if (place.holds_copy(this->jobs.disk_identity()))
            here = this->consider_copy(at, of);
        if (!here)
            continue;
        of.balance = {of.next, hosts};
        changed = true;
    }
    if (changed)
        this->commit(of.next);
}

void placement_agent::adopt_copy()
{
    const auto* found =
        this->runtime.copy(host::copied_part::own).find(this->key());
    if (found == nullptr || found->revision <= this->revision)
        return;
    auto parsed = parse_placement(found->value);
    if (!parsed)
        return;
    this->current = std::move(parsed);
    this->revision = found->revision;
    this->jobs.set_partitions(this->current->partitions.size());
    this->release_owners();
}

// With a newer revision no earlier write can take effect any more.
void placement_agent::release_owners()
{
    this->unsettled.reset();
    for (const auto& [partition, owner] : this->owners)
        owner->release();
}

void placement_agent::follow()
{
    for (std::size_t at = 0; at < this->current->partitions.size(); at++)
    {
        const auto& place = this->current->partitions[at];
        bool ours = place.owner_disk == this->jobs.disk_identity() &&
                    place.owner_incarnation == this->runtime.incarnation();
        auto known = this->owners.find(at);
        if (known != this->owners.end() &&
            (!ours || known->second->epoch() != place.epoch))
        {
            known->second->stop();
            this->owners.erase(known);
            known = this->owners.end();
        }
        if (!ours)
            continue;
        if (known == this->owners.end())
        {
            auto owner = std::make_shared<partition_owner>(
                this->runtime, this->jobs, at, place, this->on_commit);
            this->owners[at] = owner;
            owner->start();
        }
        else if (known->second->placed().copies != place.copies)
            known->second->set_copies(place.copies);
    }
}

void placement_agent::propose_first()
{
    const auto& copy = this->runtime.copy(host::copied_part::own);
    bool gathered = host::boot_now() - this->started > gather_time;
    if (copy.as_of() == 0 || !gathered || this->committing)
        return;
    auto hosts = this->disk_hosts();
    // The host that sorts first proposes; the others wait for its write.
    if (hosts.empty() || hosts.front().disk != this->jobs.disk_identity())
        return;
    auto first = model::first_placement(
        partition_count, this->runtime.settings().lost_disks + 1, hosts);
    if (first)
        this->commit(*first);
}

bool placement_agent::consider_owned(std::size_t partition, plan& of)
{
    auto& place = of.next.partitions[partition];
    if (place.owner_incarnation != this->runtime.incarnation())
    {
        // This process was started anew and finds its disk named as owner.
        place.epoch++;
        place.owner_incarnation = this->runtime.incarnation();
        return true;
    }
    auto found = this->owners.find(partition);
    if (found == this->owners.end() || !found->second->serving())
        return false;
    auto& owner = *found->second;
    auto wanted = this->wanted_move(partition, owner, of);
    if (!wanted)
    {
        owner.teach({});
        return this->hand_over(partition, owner, of);
    }
    const auto& learner = owner.learner();
    bool usable = !learner.empty() && !this->silent(learner, replace_time) &&
                  !this->retires(learner) &&
                  (wanted->to_disk.empty() || wanted->to_disk == learner);
    if (!usable)
    {
        this->teach(owner, *wanted, of);
        return false;
    }
    return owner.learner_ready() &&
           this->replace_copy(partition, owner, wanted->from_disk, of);
}

// A copy that is lost or to be emptied goes before one that only moves to
// even out the disks; its new place isn't chosen yet.
std::optional<model::copy_move>
placement_agent::wanted_move(std::size_t partition, partition_owner& owner,
                             const plan& of)
{
    std::optional<model::copy_move> retired;
    for (const auto& disk : of.next.partitions[partition].copies)
    {
        bool lost = disk != this->jobs.disk_identity() &&
                    this->silent(disk, replace_time);
        if (lost)
            return model::copy_move{disk, {}};
        if (!retired && this->retires(disk))
            retired = model::copy_move{disk, {}};
    }
    return retired ? retired : this->even_out(partition, owner, of);
}

std::optional<model::copy_move>
placement_agent::even_out(std::size_t partition, const partition_owner& owner,
                          const plan& of)
{
    if (this->moving && this->moving->partition != partition)
        return std::nullopt;
    this->moving.reset();
    if (owner.served_for() < settle_time || !owner.holds_lease())
        return std::nullopt;
    auto wanted = of.balance.choose_move(of.next.partitions[partition]);
    if (wanted)
        this->moving = running_move{partition, *wanted};
    return wanted;
}

void placement_agent::teach(partition_owner& owner,
                            const model::copy_move& wanted, const plan& of)
{
    if (!wanted.to_disk.empty())
        return owner.teach(wanted.to_disk);
    const auto* host = of.balance.choose_replacement(
        owner.placed(), wanted.from_disk, this->runtime.settings().region);
    owner.teach(host == nullptr ? "" : host->disk);
}

bool placement_agent::replace_copy(std::size_t partition,
                                   partition_owner& owner,
                                   const std::string& replaced, plan& of)
{
    auto& place = of.next.partitions[partition];
    // From here on the learner counts, whichever placement the write leaves.
    owner.require_learner();
    std::replace(place.copies.begin(), place.copies.end(), replaced,
                 owner.learner());
    if (replaced == this->jobs.disk_identity())
    {
        // The owner itself is emptied: a copy that has all goes on.
        auto heir = std::find_if(of.hosts.begin(), of.hosts.end(),
                                 [&](const auto& each)
                                 { return place.holds_copy(each.disk); });
        if (heir == of.hosts.end())
        {
            place = this->current->partitions[partition];
            return false;
        }
        owner.hold();
        place.epoch++;
        place.owner_disk = heir->disk;
        place.owner_incarnation = heir->incarnation;
    }
    logging::event(logging::level::info, "copy_replaced")
        .with("partition", static_cast<std::int64_t>(partition))
        .with("lost", replaced)
        .with("by", owner.learner());
    return true;
}

// Only partitions without open work change hands, so that no item starts
// anew for it.
bool placement_agent::hand_over(std::size_t partition, partition_owner& owner,
                                plan& of)
{
    auto& place = of.next.partitions[partition];
    if (owner.served_for() < settle_time || !owner.holds_lease() ||
        !owner.idle())
        return false;
    const auto* heir = of.balance.choose_successor(place);
    if (heir == nullptr)
        return false;
    owner.hold();
    place.epoch++;
    place.owner_disk = heir->disk;
    place.owner_incarnation = heir->incarnation;
    logging::event(logging::level::info, "owner_changed")
        .with("partition", static_cast<std::int64_t>(partition))
        .with("heir", heir->disk)
        .with("epoch", static_cast<std::int64_t>(place.epoch));
    return true;
}

bool placement_agent::consider_copy(std::size_t partition, plan& of)
{
    auto& place = of.next.partitions[partition];
    auto rank = std::find(place.copies.begin(), place.copies.end(),
                          this->jobs.disk_identity()) -
                place.copies.begin();
    auto limit = takeover_time + claim_step * (rank > 1 ? 1 : 0);
    // A new owner is given the same time, so that two hosts that don't hear
    // each other don't take a partition from each other at every tick.
    auto& known = this->epochs_seen[partition];
    auto now = host::boot_now();
    if (known.epoch != place.epoch)
        known = {place.epoch, now};
    if (now - known.since < limit || !this->silent(place.owner_disk, limit))
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

void placement_agent::commit(const model::placement& next)
{
    this->committing = true;
    store::change wanted;
    wanted.conditions.push_back({this->key(), this->revision});
    wanted.writes.push_back({this->key(), placement_text(next), 0});
    this->runtime.shared_store().commit(
        wanted, [this, next](const store::change_result& got)
        { this->on_commit_end(next, got); });
}

void placement_agent::on_commit_end(const model::placement& next,
                                    const store::change_result& got)
{
    this->committing = false;
    logging::event(logging::level::info, "placement_proposed")
        .with("result", store::outcome_name(got.result))
        .with("revision", static_cast<std::int64_t>(got.revision));
    if (got.result == store::outcome::done && got.revision > this->revision)
    {
        this->current = next;
        this->revision = got.revision;
        this->jobs.set_partitions(next.partitions.size());
        this->release_owners();
        return this->follow();
    }
    this->commit_after = host::boot_now() + commit_pause;
    bool holding =
        std::any_of(this->owners.begin(), this->owners.end(),
                    [](const auto& each) { return each.second->held(); });
    if (got.result == store::outcome::unknown && holding)
        this->unsettled = next;
    else if (got.result == store::outcome::refused && !this->unsettled)
        this->release_owners();
}

bool placement_agent::is_stray(const std::string& job,
                               core::milliseconds unheld,
                               core::milliseconds untouched) const
{
    const auto* submitted = this->jobs.find(job)->submitted();
    if (submitted == nullptr)
        return false;
    core::milliseconds age(host::wall_now_ms() - submitted->submitted_ms);
    return model::may_delete_orphaned(
        {unheld, untouched, age - this->runtime.settings().job_status});
}

void placement_agent::drop_strays()
{
    auto now = host::boot_now();
    for (std::size_t at = 0; at < this->current->partitions.size(); at++)
    {
        bool ours = this->current->partitions[at].holds_copy(
            this->jobs.disk_identity());
        if (ours)
        {
            this->stray_since.erase(at);
            continue;
        }
        auto since = this->stray_since.emplace(at, now).first->second;
        for (const auto& id : this->jobs.jobs_of(at))
            if (this->is_stray(id, now - since, now - this->jobs.touched(at)))
                this->jobs.forget(id);
    }
}

} // namespace amaranthhatch::batches
