#include "ownership_schedule.hpp"

#include <algorithm>

namespace amaranthhatch::tests
{

using namespace core::batches;

namespace
{

constexpr unsigned step_count = 400;
constexpr std::uint64_t most_delay = 15;
constexpr std::uint64_t quiet_steps = 120;
// Pause after a lost disk, in which its copies are replicated again.
constexpr std::uint64_t wipe_pause = 150;

} // namespace

ownership_schedule::ownership_schedule(std::uint64_t seed,
                                       ownership_fault fault,
                                       std::size_t lost_disks)
    : random(seed), fault(fault), lost_disks(lost_disks)
{
    this->stored = {1, "disk-a", 1, {}};
    for (std::size_t at = 0; at < 2 * lost_disks + 1; at++)
    {
        std::string name(1, static_cast<char>('a' + at));
        this->hosts[name].disk = "disk-" + name;
        if (this->stored.copies.size() <= lost_disks)
            this->stored.copies.push_back("disk-" + name);
    }
    this->become_owner(this->hosts["a"]);
    auto first = std::make_shared<record>();
    first->epoch = 1;
    auto content = std::make_shared<job>();
    content->id = "job";
    content->items.resize(step_count);
    first->accepted = content;
    auto& log = this->hosts["a"].log;
    log.append(0, 0, std::vector<record_ptr>{first});
}

std::uint64_t ownership_schedule::pick(std::uint64_t below)
{
    return this->random() % below;
}

ownership_schedule::host* ownership_schedule::by_disk(const std::string& disk)
{
    for (auto& [name, each] : this->hosts)
        if (each.disk == disk)
            return &each;
    return nullptr;
}

bool ownership_schedule::swap(const partition_place& next)
{
    this->stored = next;
    return true;
}

void ownership_schedule::become_owner(host& by)
{
    by.owner = owner_state{this->stored,
                           replication_state(by.disk, this->stored.copies),
                           false,
                           {},
                           {}};
    by.epoch = std::max(by.epoch, this->stored.epoch);
    this->reconcile(by);
}

void ownership_schedule::reconcile(host& by)
{
    auto& owned = *by.owner;
    for (const auto& disk : owned.place.copies)
    {
        auto* other = this->by_disk(disk);
        bool asked = disk != by.disk && other != nullptr && other->alive;
        if (!asked || other->epoch > owned.place.epoch)
            continue;
        other->epoch = std::max(other->epoch, owned.place.epoch);
        log_mark theirs{other->log.epoch_before(other->synced), other->synced};
        if (theirs > by.log.mark())
        {
            auto records = other->log.records().first(other->synced);
            std::vector<record_ptr> whole(records.begin(), records.end());
            by.log.append(0, 0, whole);
            by.log.truncate(whole.size());
            by.synced = std::min<std::uint64_t>(by.synced, whole.size());
            for (const auto& each : owned.place.copies)
                owned.replication.note_stored(each, "job", 0);
        }
        owned.replication.note_stored(disk, "job",
                                      common_prefix(by.log, theirs));
    }
    owned.replication.require_committed("job", by.log.records().size());
    owned.serving = true;
}

void ownership_schedule::produce(host& by)
{
    auto made = std::make_shared<record>();
    made->kind = record_kind::result;
    made->epoch = by.owner->place.epoch;
    made->item = this->next_item++;
    by.log.append(by.log.records().size(), by.log.mark().epoch,
                  std::vector<record_ptr>{made});
}

void ownership_schedule::send(host& by, const std::string& disk)
{
    if (disk == by.disk)
        return;
    auto from = std::min<std::uint64_t>(
        by.owner->replication.stored(disk, "job"), by.log.records().size());
    append_message message;
    message.due = this->now + 1 + this->pick(most_delay);
    message.from = by.disk;
    message.incarnation = by.incarnation;
    message.to_disk = disk;
    message.epoch = by.owner->place.epoch;
    message.place = from;
    message.previous_epoch = by.log.epoch_before(from);
    message.total = by.log.records().size();
    auto records = by.log.records().subspan(from);
    message.records.assign(records.begin(), records.end());
    constexpr std::uint64_t lost_one_in = 8;
    if (this->pick(lost_one_in) != 0)
        this->in_flight.push_back(std::move(message));
}

void ownership_schedule::deliver(const append_message& message)
{
    auto* to = this->by_disk(message.to_disk);
    if (to == nullptr || !to->alive)
        return;
    bool stale = message.epoch < to->epoch &&
                 this->fault != ownership_fault::accept_stale_epoch;
    if (stale)
        return;
    to->epoch = std::max(to->epoch, message.epoch);
    std::vector<record_ptr> before(to->log.records().begin(),
                                   to->log.records().end());
    auto result =
        to->log.append(message.place, message.previous_epoch, message.records);
    if (result == append_result::appended)
        to->log.truncate_stale_tail(message.total, message.epoch);
    std::uint64_t same = 0;
    auto after = to->log.records();
    while (same < before.size() && same < after.size() &&
           before[same] == after[same])
        same++;
    to->synced = std::min(to->synced, same);
    // The copy responds once the records are synced.
    to->synced = to->log.records().size();
    auto* from = this->by_disk(message.from);
    bool acknowledged = from != nullptr && from->alive && from->owner &&
                        from->epoch == message.epoch &&
                        from->incarnation == message.incarnation &&
                        from->owner->place.epoch == message.epoch &&
                        this->pick(8) != 0;
    if (!acknowledged)
        return;
    auto count = result == append_result::mismatch
                     ? 0
                     : common_prefix(from->log, to->log.mark());
    from->owner->replication.note_stored(message.to_disk, "job", count);
    this->note_commits(*from);
}

void ownership_schedule::note_commits(host& by)
{
    auto& owned = *by.owner;
    if (by.epoch > owned.place.epoch &&
        this->fault != ownership_fault::serve_after_later_epoch)
        return;
    owned.replication.note_stored(by.disk, "job", by.synced);
    owned.replication.advance("job");
    auto count = owned.replication.committed("job");
    if (this->fault == ownership_fault::commit_alone)
        count = by.synced;
    // Results are shown only once all records of the log that the owner took
    // over are committed.
    if (!owned.replication.recovered() &&
        this->fault != ownership_fault::commit_alone)
        return;
    count = std::min<std::uint64_t>(count, by.log.records().size());
    for (std::uint64_t place = 0; place < count; place++)
    {
        const auto& one = by.log.records()[place];
        if (place < this->shown.size() && this->shown[place] != one)
            this->failure = "place " + std::to_string(place) +
                            " shows another record than before";
        if (place >= this->shown.size())
            this->shown.push_back(one);
    }
}

void ownership_schedule::sync_disk(host& on)
{
    on.synced = on.log.records().size();
    if (on.owner)
        this->note_commits(on);
}

void ownership_schedule::restart(host& which, bool power_loss, bool wiped)
{
    which.alive = true;
    which.incarnation++;
    which.owner.reset();
    if (power_loss || wiped)
    {
        // A random number of the unsynced records is lost from the end.
        auto kept = which.synced +
                    this->pick(which.log.records().size() - which.synced + 1);
        which.log.truncate(kept);
    }
    which.synced = which.log.records().size();
    if (!wiped)
        return;
    which.log = job_log("job");
    which.synced = 0;
    which.epoch = 0;
    which.disk = "disk-" + std::to_string(this->next_disk++);
}

void ownership_schedule::consider_takeover()
{
    for (auto& [name, each] : this->hosts)
    {
        if (!each.alive || !this->stored.holds_copy(each.disk))
            continue;
        auto* owner = this->by_disk(this->stored.owner_disk);
        bool own_restart = this->stored.owner_disk == each.disk &&
                           this->stored.owner_incarnation != each.incarnation;
        bool silent = owner == nullptr || !owner->alive;
        // Occasionally a copy treats a paused owner as dead.
        bool mistaken = this->now <= step_count && this->pick(60) == 0;
        bool other = this->stored.owner_disk != each.disk;
        if (!own_restart && !(other && (silent || mistaken)))
            continue;
        auto next = this->stored;
        next.epoch++;
        next.owner_disk = each.disk;
        next.owner_incarnation = each.incarnation;
        this->swap(next);
        this->become_owner(each);
        return;
    }
}

std::string ownership_schedule::choose_replaced(host& by)
{
    auto& owned = *by.owner;
    for (const auto& disk : owned.place.copies)
    {
        auto* other = this->by_disk(disk);
        if (disk != by.disk && (other == nullptr || !other->alive))
            return disk;
    }
    constexpr std::uint64_t move_one_in = 40;
    if (owned.moving.empty() && this->pick(move_one_in) == 0)
        for (const auto& disk : owned.place.copies)
            if (disk != by.disk)
                owned.moving = disk;
    if (!owned.place.holds_copy(owned.moving))
        owned.moving.clear();
    return owned.moving;
}

void ownership_schedule::consider_replacement(host& by)
{
    auto& owned = *by.owner;
    if (owned.place.epoch != this->stored.epoch)
        return;
    auto lost = this->choose_replaced(by);
    if (lost.empty())
    {
        owned.learner.clear();
        return;
    }
    if (this->fault == ownership_fault::drop_copy_early)
    {
        auto next = this->stored;
        std::erase(next.copies, lost);
        this->swap(next);
        owned.place = next;
        owned.replication.set_copies(next.copies);
        return;
    }
    auto* learner = this->by_disk(owned.learner);
    if (learner == nullptr || !learner->alive)
    {
        owned.learner.clear();
        for (auto& [name, each] : this->hosts)
            if (each.alive && !owned.place.holds_copy(each.disk))
                owned.learner = each.disk;
        return;
    }
    bool ready = owned.replication.stored(owned.learner, "job") ==
                 by.log.records().size();
    if (!ready)
        return;
    auto next = this->stored;
    std::replace(next.copies.begin(), next.copies.end(), lost, owned.learner);
    this->swap(next);
    owned.place = next;
    owned.replication.set_copies(next.copies);
    owned.learner.clear();
    this->note_commits(by);
}

std::string ownership_schedule::pick_host()
{
    return std::string(1,
                       static_cast<char>('a' + this->pick(this->hosts.size())));
}

bool ownership_schedule::may_lose_disks() const
{
    // The deployment tolerates the loss of a disk only once the previous loss
    // is repaired: all copies lie on disks that exist.
    bool copies = std::all_of(
        this->stored.copies.begin(), this->stored.copies.end(),
        [this](const auto& disk)
        {
            return std::any_of(this->hosts.begin(), this->hosts.end(),
                               [&](const auto& each)
                               { return each.second.disk == disk; });
        });
    return copies &&
           std::all_of(this->hosts.begin(), this->hosts.end(),
                       [](const auto& each) { return each.second.alive; });
}

std::string ownership_schedule::run()
{
    for (unsigned step = 0; step < step_count + quiet_steps; step++)
    {
        this->now++;
        bool calm = step >= step_count;
        auto& any = this->hosts[this->pick_host()];
        auto roll = this->pick(100);
        bool may_wipe = this->now > this->wiped_until && this->may_lose_disks();
        if (!calm && roll < 2)
            for (auto& [other, each] : this->hosts)
                this->restart(each, true, false);
        else if (!calm && roll < 4 && may_wipe)
        {
            // All other hosts lose power at the same moment.
            for (auto& [other, each] : this->hosts)
                this->restart(each, true, &each == &any);
            auto& second = this->hosts[this->pick_host()];
            if (this->lost_disks > 1)
                this->restart(second, true, true);
            this->wiped_until = this->now + wipe_pause;
        }
        else if (!calm && roll < 7)
            any.alive = false;
        else if (!any.alive && (calm || roll < 40))
            this->restart(any, roll % 2 == 0, false);
        else if (roll < 60)
            this->sync_disk(any);
        this->consider_takeover();
        for (auto& [other, each] : this->hosts)
        {
            // An owner stops once it has seen a later epoch.
            if (each.owner && each.owner->place.epoch < each.epoch &&
                this->fault != ownership_fault::serve_after_later_epoch)
                each.owner.reset();
            if (!each.alive || !each.owner)
                continue;
            if (!calm && this->pick(3) == 0)
                this->produce(each);
            for (const auto& disk : each.owner->place.copies)
                this->send(each, disk);
            if (!each.owner->learner.empty())
                this->send(each, each.owner->learner);
            this->consider_replacement(each);
        }
        for (std::size_t at = 0; at < this->in_flight.size();)
        {
            if (this->in_flight[at].due > this->now)
            {
                at++;
                continue;
            }
            auto message = this->in_flight[at];
            this->in_flight.erase(this->in_flight.begin() +
                                  static_cast<std::ptrdiff_t>(at));
            this->deliver(message);
        }
        if (!this->failure.empty())
            return this->failure;
    }
    this->check_final();
    return this->failure;
}

void ownership_schedule::check_final()
{
    for (auto& [name, each] : this->hosts)
        this->sync_disk(each);
    auto* owner = this->by_disk(this->stored.owner_disk);
    if (owner == nullptr || !owner->owner)
    {
        this->failure = "no owner at the end";
        return;
    }
    auto records = owner->log.records();
    // After the quiet steps every record must be committed.
    if (owner->owner->replication.committed("job") < records.size())
        this->failure = "records of the last owner are not committed";
    for (std::size_t place = 0; place < this->shown.size(); place++)
        if (place >= records.size() || records[place] != this->shown[place])
        {
            this->failure = "place " + std::to_string(place) + " of " +
                            std::to_string(this->shown.size()) +
                            " was shown and is lost";
            return;
        }
}

} // namespace amaranthhatch::tests
