#include "ownership_schedule.hpp"

#include <algorithm>

namespace amaranthhatch::tests
{

using namespace core::batches;

namespace
{

constexpr unsigned step_count = 400;
constexpr std::uint64_t max_delay = 15;
constexpr std::uint64_t quiet_steps = 120;
// Steps after the loss of a disk in which no other disk is lost, so that the
// copies of the lost one are replicated again.
constexpr std::uint64_t wipe_pause = 150;

} // namespace

ownership_schedule::ownership_schedule(std::uint64_t seed,
                                       ownership_fault fault,
                                       std::size_t lost_disks)
    : random(seed), fault(fault), lost_disks(lost_disks)
{
    this->stored = {1, "disk-a", 1, {}};
    for (std::size_t index = 0; index < 2 * lost_disks + 1; index++)
    {
        std::string name(1, static_cast<char>('a' + index));
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
    for (auto& [name, current] : this->hosts)
        if (current.disk == disk)
            return &current;
    return nullptr;
}

bool ownership_schedule::swap(std::uint64_t revision,
                              const partition_place& next)
{
    if (revision != this->stored_revision)
        return false;
    this->stored = next;
    this->stored_revision++;
    return true;
}

void ownership_schedule::take_late_writes()
{
    std::erase_if(this->late_writes,
                  [this](const auto& write)
                  {
                      if (write.due > this->now)
                          return false;
                      this->swap(write.revision, write.place);
                      return true;
                  });
}

void ownership_schedule::write_copies(host& by, const partition_place& next)
{
    auto& owned = *by.owner;
    auto required = owned.place.copies;
    required.push_back(owned.learner);
    owned.replication.set_copies(required);
    owned.unconfirmed = next;
    enum : std::uint64_t
    {
        answer_lost,
        taken_late,
        outcomes = 4
    };
    auto outcome = this->now > step_count ? outcomes : this->pick(outcomes);
    if (outcome == taken_late)
        this->late_writes.push_back(
            {this->now + 1 + this->pick(max_delay), owned.revision, next});
    else
        this->swap(owned.revision, next);
    if (outcome > taken_late)
        return this->read_placement(by);
    if (this->fault != ownership_fault::forget_unknown_write)
        return;
    owned.unconfirmed.reset();
    owned.replication.set_copies(owned.place.copies);
    owned.learner.clear();
}

void ownership_schedule::read_placement(host& by)
{
    auto& owned = *by.owner;
    if (owned.revision == this->stored_revision)
        return;
    owned.place = this->stored;
    owned.revision = this->stored_revision;
    owned.replication.set_copies(owned.place.copies);
    owned.unconfirmed.reset();
    owned.learner.clear();
    this->note_commits(by);
}

void ownership_schedule::become_owner(host& by)
{
    by.owner = owner_state{this->stored,
                           replication_state(by.disk, this->stored.copies),
                           false,
                           {},
                           {},
                           this->stored_revision,
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
        bool reachable = disk != by.disk && other != nullptr && other->alive;
        if (!reachable || other->epoch > owned.place.epoch)
            continue;
        other->epoch = std::max(other->epoch, owned.place.epoch);
        log_mark theirs{other->log.epoch_before(other->synced), other->synced};
        if (theirs > by.log.mark())
        {
            auto records = other->log.records().first(other->synced);
            std::vector<record_ptr> copied(records.begin(), records.end());
            by.log.append(0, 0, copied);
            by.log.truncate(copied.size());
            by.synced = std::min<std::uint64_t>(by.synced, copied.size());
            for (const auto& listed_disk : owned.place.copies)
                owned.replication.note_stored(listed_disk, "job", 0);
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
    auto position = std::min<std::uint64_t>(
        by.owner->replication.stored(disk, "job"), by.log.records().size());
    append_message message;
    message.due = this->now + 1 + this->pick(max_delay);
    message.from = by.disk;
    message.incarnation = by.incarnation;
    message.to_disk = disk;
    message.epoch = by.owner->place.epoch;
    message.place = position;
    message.previous_epoch = by.log.epoch_before(position);
    message.total = by.log.records().size();
    auto records = by.log.records().subspan(position);
    message.records.assign(records.begin(), records.end());
    constexpr std::uint64_t lost_one_in = 8;
    if (this->pick(lost_one_in) != 0)
        this->in_flight.push_back(std::move(message));
}

void ownership_schedule::deliver(const append_message& message)
{
    auto* receiver = this->by_disk(message.to_disk);
    if (receiver == nullptr || !receiver->alive)
        return;
    bool stale = message.epoch < receiver->epoch &&
                 this->fault != ownership_fault::accept_stale_epoch;
    if (stale)
        return;
    receiver->epoch = std::max(receiver->epoch, message.epoch);
    std::vector<record_ptr> before(receiver->log.records().begin(),
                                   receiver->log.records().end());
    auto result = receiver->log.append(message.place, message.previous_epoch,
                                       message.records);
    if (result == append_result::appended)
        receiver->log.truncate_stale_tail(message.total, message.epoch);
    std::uint64_t same = 0;
    auto after = receiver->log.records();
    while (same < before.size() && same < after.size() &&
           before[same] == after[same])
        same++;
    receiver->synced = std::min(receiver->synced, same);
    // The copy responds only once the records are synced, so all of them count.
    receiver->synced = receiver->log.records().size();
    auto* sender = this->by_disk(message.from);
    bool acknowledged = sender != nullptr && sender->alive && sender->owner &&
                        sender->epoch == message.epoch &&
                        sender->incarnation == message.incarnation &&
                        sender->owner->place.epoch == message.epoch &&
                        this->pick(8) != 0;
    if (!acknowledged)
        return;
    auto count = result == append_result::mismatch
                     ? 0
                     : common_prefix(sender->log, receiver->log.mark());
    sender->owner->replication.note_stored(message.to_disk, "job", count);
    this->note_commits(*sender);
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
    for (std::uint64_t position = 0; position < count; position++)
    {
        const auto& committed_record = by.log.records()[position];
        if (position < this->shown.size() &&
            this->shown[position] != committed_record)
            this->failure = "place " + std::to_string(position) +
                            " shows another record than before";
        if (position >= this->shown.size())
            this->shown.push_back(committed_record);
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
    for (auto& [name, current] : this->hosts)
    {
        if (!current.alive || !this->stored.holds_copy(current.disk))
            continue;
        auto* owner = this->by_disk(this->stored.owner_disk);
        bool own_restart =
            this->stored.owner_disk == current.disk &&
            this->stored.owner_incarnation != current.incarnation;
        bool unresponsive = owner == nullptr || !owner->alive;
        // Occasionally a copy treats a paused owner as dead.
        bool mistaken = this->now <= step_count && this->pick(60) == 0;
        bool other = this->stored.owner_disk != current.disk;
        if (!own_restart && !(other && (unresponsive || mistaken)))
            continue;
        auto next = this->stored;
        next.epoch++;
        next.owner_disk = current.disk;
        next.owner_incarnation = current.incarnation;
        this->swap(this->stored_revision, next);
        this->become_owner(current);
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
    constexpr std::uint64_t read_one_in = 20;
    if (this->now > step_count || this->pick(read_one_in) == 0)
        this->read_placement(by);
    if (owned.unconfirmed)
        return this->write_copies(by, partition_place(*owned.unconfirmed));
    auto replaced = this->choose_replaced(by);
    if (replaced.empty())
    {
        owned.learner.clear();
        return;
    }
    if (this->fault == ownership_fault::drop_copy_early)
    {
        auto next = owned.place;
        std::erase(next.copies, replaced);
        this->swap(owned.revision, next);
        return this->read_placement(by);
    }
    auto* learner = this->by_disk(owned.learner);
    if (learner == nullptr || !learner->alive)
    {
        owned.learner.clear();
        for (auto& [name, current] : this->hosts)
            if (current.alive && !owned.place.holds_copy(current.disk))
                owned.learner = current.disk;
        return;
    }
    bool ready = owned.replication.stored(owned.learner, "job") ==
                 by.log.records().size();
    if (!ready)
        return;
    auto next = owned.place;
    std::replace(next.copies.begin(), next.copies.end(), replaced,
                 owned.learner);
    this->write_copies(by, next);
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
                               [&](const auto& current)
                               { return current.second.disk == disk; });
        });
    return copies && std::all_of(this->hosts.begin(), this->hosts.end(),
                                 [](const auto& current)
                                 { return current.second.alive; });
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
            for (auto& [other, current] : this->hosts)
                this->restart(current, true, false);
        else if (!calm && roll < 4 && may_wipe)
        {
            // All other hosts lose power at the same moment.
            for (auto& [other, current] : this->hosts)
                this->restart(current, true, &current == &any);
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
        this->take_late_writes();
        this->consider_takeover();
        for (auto& [other, current] : this->hosts)
        {
            // An owner stops once it has seen a later epoch.
            if (current.owner && current.owner->place.epoch < current.epoch &&
                this->fault != ownership_fault::serve_after_later_epoch)
                current.owner.reset();
            if (!current.alive || !current.owner)
                continue;
            if (!calm && this->pick(3) == 0)
                this->produce(current);
            for (const auto& disk : current.owner->place.copies)
                this->send(current, disk);
            if (!current.owner->learner.empty())
                this->send(current, current.owner->learner);
            this->consider_replacement(current);
        }
        for (std::size_t index = 0; index < this->in_flight.size();)
        {
            if (this->in_flight[index].due > this->now)
            {
                index++;
                continue;
            }
            auto message = this->in_flight[index];
            this->in_flight.erase(this->in_flight.begin() +
                                  static_cast<std::ptrdiff_t>(index));
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
    for (auto& [name, current] : this->hosts)
        this->sync_disk(current);
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
    for (std::size_t position = 0; position < this->shown.size(); position++)
        if (position >= records.size() ||
            records[position] != this->shown[position])
        {
            this->failure = "place " + std::to_string(position) + " of " +
                            std::to_string(this->shown.size()) +
                            " was shown and is lost";
            return;
        }
}

} // namespace amaranthhatch::tests
