#include "batches/partition_owner.hpp"

#include <algorithm>

#include "batches/disk_call.hpp"
#include "batches/timing.hpp"
#include "host/boot_clock.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::batches
{

namespace model = core::batches;

namespace
{

// One append carries about this much, so that a copy that catches up does not
// hold up new records behind one long call.
constexpr std::size_t append_bytes = 512u << 10;
constexpr core::milliseconds append_limit{2000};
constexpr core::milliseconds reconcile_limit{1000};
constexpr core::milliseconds retry_pause{100};

std::size_t record_bytes(const model::record& one)
{
    std::size_t bytes = one.text.size() + 64;
    if (one.accepted)
        for (const auto& item : one.accepted->items)
            bytes += item.body.size() + 256;
    return bytes;
}

} // namespace

partition_owner::partition_owner(host::host_runtime& runtime, job_store& jobs,
                                 std::size_t partition,
                                 model::partition_place place,
                                 commit_callback committed)
    : runtime(runtime), jobs(jobs), partition(partition),
      place(std::move(place)), on_commit(std::move(committed)),
      replication(jobs.disk_identity(), this->place.copies)
{
}

void partition_owner::start()
{
    this->started = host::boot_now();
    this->jobs.raise_epoch(this->partition, this->place.epoch);
    for (const auto& disk : this->place.copies)
        if (disk != this->jobs.disk_identity())
            this->copies[disk];
    this->tick();
}

void partition_owner::stop()
{
    this->stopped = true;
    this->accepts = false;
}

bool partition_owner::holds_lease() const
{
    auto now = host::boot_now();
    for (const auto& disk : this->place.copies)
    {
        if (disk == this->jobs.disk_identity())
            continue;
        const auto* peer = this->runtime.peers().live_disk_host(disk, now);
        if (peer == nullptr || now - peer->last_echoed > lease_time)
            return false;
    }
    return !this->stopped;
}

std::uint64_t partition_owner::committed(std::string_view job) const
{
    return this->replication.committed(job);
}

void partition_owner::add(const std::string& job,
                          std::vector<model::record_ptr> records)
{
    if (!this->serving())
        return;
    auto self = this->shared_from_this();
    this->jobs.add(job, std::move(records),
                   [self, job]
                   {
                       if (!self->stopped)
                           self->check_committed(job);
                   });
    this->note_behind(job);
}

void partition_owner::note_behind(const std::string& job)
{
    std::vector<std::string> disks;
    for (auto& [disk, copy] : this->copies)
    {
        copy.behind.insert(job);
        disks.push_back(disk);
    }
    for (const auto& disk : disks)
        this->send(disk);
}

void partition_owner::expire(const std::string& job)
{
    this->jobs.forget(job);
    this->replication.forget_job(job);
    for (auto& [disk, copy] : this->copies)
    {
        copy.behind.erase(job);
        copy.expired.insert(job);
    }
}

void partition_owner::teach(const std::string& disk)
{
    if (this->learning_disk == disk)
        return;
    if (!this->learning_disk.empty() &&
        !this->place.holds_copy(this->learning_disk))
        this->copies.erase(this->learning_disk);
    this->learning_disk = disk;
    this->replication.set_copies(this->place.copies);
    if (!disk.empty())
        this->copies[disk];
    this->tick();
}

bool partition_owner::learner_ready() const
{
    auto found = this->copies.find(this->learning_disk);
    return found != this->copies.end() && this->accepts &&
           found->second.phase == copy_phase::known &&
           found->second.behind.empty() && !found->second.sending;
}

void partition_owner::require_learner()
{
    auto required = this->place.copies;
    required.push_back(this->learning_disk);
    this->replication.set_copies(std::move(required));
}

void partition_owner::set_copies(std::vector<std::string> listed)
{
    this->place.copies = std::move(listed);
    this->replication.set_copies(this->place.copies);
    if (this->place.holds_copy(this->learning_disk))
        this->learning_disk.clear();
    std::erase_if(this->copies,
                  [this](const auto& each)
                  {
                      return !this->place.holds_copy(each.first) &&
                             each.first != this->learning_disk;
                  });
    for (const auto& disk : this->place.copies)
        if (disk != this->jobs.disk_identity())
            this->copies[disk];
    this->check_all_committed();
    this->tick();
}

bool partition_owner::idle() const
{
    bool even = std::all_of(this->copies.begin(), this->copies.end(),
                            [](const auto& each)
                            {
                                return each.second.phase == copy_phase::known &&
                                       each.second.behind.empty() &&
                                       !each.second.sending;
                            });
    if (!even || !this->recovered())
        return false;
    auto known = this->jobs.jobs_of(this->partition);
    return std::all_of(known.begin(), known.end(),
                       [this](const auto& id)
                       {
                           const auto* log = this->jobs.find(id);
                           return log->submitted() != nullptr &&
                                  log->closed() &&
                                  this->committed(id) == log->records().size();
                       });
}

core::milliseconds partition_owner::served_for() const
{
    return host::boot_now() - this->started;
}

void partition_owner::tick()
{
    if (this->stopped)
        return;
    if (this->jobs.epoch(this->partition) > this->place.epoch)
        return this->stop();
    auto now = host::boot_now();
    std::vector<std::string> disks;
    for (const auto& [disk, copy] : this->copies)
        disks.push_back(disk);
    for (const auto& disk : disks)
    {
        auto found = this->copies.find(disk);
        if (found == this->copies.end() || now < found->second.retry_at)
            continue;
        if (found->second.phase == copy_phase::unknown)
            this->ask(disk);
        else if (found->second.phase == copy_phase::known)
            this->send(disk);
    }
    if (!this->accepts &&
        (this->all_copies_heard() || now - this->started > reconcile_time))
        this->begin_serving();
}

void partition_owner::ask(const std::string& disk)
{
    auto& copy = this->copies[disk];
    copy.phase = copy_phase::asking;
    reconcile_call question;
    question.partition = this->partition;
    question.epoch = this->place.epoch;
    question.copy_disk = disk;
    for (const auto& id : this->jobs.jobs_of(this->partition))
        question.jobs.push_back({id, this->jobs.find(id)->mark(), false});
    auto self = this->shared_from_this();
    call_disk(this->runtime, disk, "/batches/reconcile", pack(question),
              reconcile_limit,
              [self, disk](const std::optional<std::string>& body)
              {
                  auto found = self->copies.find(disk);
                  if (self->stopped || found == self->copies.end())
                      return;
                  auto answer =
                      body ? unpack_reconcile_answer(*body) : std::nullopt;
                  bool usable = answer && answer->state.result ==
                                              append_answer::verdict::stored;
                  if (usable)
                      return self->on_marks(disk, *answer);
                  found->second.phase = copy_phase::unknown;
                  found->second.retry_at = host::boot_now() + retry_pause;
              });
}

void partition_owner::on_marks(const std::string& disk,
                               const reconcile_answer& answer)
{
    auto& copy = this->copies[disk];
    copy.phase = copy_phase::known;
    // What a copy has beyond our log may be committed only while nothing was
    // added in this epoch.
    if (!this->accepts && this->place.holds_copy(disk))
        for (const auto& each : answer.further)
        {
            // What other copies have was counted against the log before.
            for (const auto& other : this->place.copies)
                this->replication.note_stored(other, each.job, 0);
            auto self = this->shared_from_this();
            this->jobs.take(each,
                            [self, job = each.job]
                            {
                                if (!self->stopped)
                                    self->check_committed(job);
                            });
        }
    this->replication.forget_disk(disk);
    for (const auto& each : answer.state.jobs)
    {
        const auto* log = this->jobs.find(each.job);
        if (log == nullptr)
        {
            copy.expired.insert(each.job);
            continue;
        }
        this->replication.note_stored(disk, each.job,
                                      model::common_prefix(*log, each.mark));
    }
    for (const auto& id : this->jobs.jobs_of(this->partition))
        if (this->replication.stored(disk, id) <
            this->jobs.find(id)->records().size())
            copy.behind.insert(id);
    this->check_all_committed();
    this->tick();
}

// A committed record lies on every copy, so that a new owner misses nothing
// that was shown when it doesn't hear from one. It waits for live copies only
// to keep what was on its way.
bool partition_owner::lost(const std::string& disk) const
{
    const auto* peer = this->runtime.peers().last_disk_host(disk);
    return peer == nullptr ||
           host::boot_now() - peer->last_received > replace_time;
}

bool partition_owner::all_copies_heard() const
{
    for (const auto& disk : this->place.copies)
    {
        if (disk == this->jobs.disk_identity() || this->lost(disk))
            continue;
        auto found = this->copies.find(disk);
        if (found == this->copies.end() ||
            found->second.phase != copy_phase::known)
            return false;
    }
    return true;
}

void partition_owner::begin_serving()
{
    this->accepts = true;
    auto known = this->jobs.jobs_of(this->partition);
    for (const auto& id : known)
    {
        auto count = this->jobs.find(id)->records().size();
        this->replication.require_committed(id, count);
        for (auto& [disk, copy] : this->copies)
            if (this->replication.stored(disk, id) < count)
                copy.behind.insert(id);
    }
    logging::event(logging::level::info, "partition_served")
        .with("partition", static_cast<std::int64_t>(this->partition))
        .with("epoch", static_cast<std::int64_t>(this->place.epoch))
        .with("jobs", static_cast<std::int64_t>(known.size()))
        .with("after_ms", (host::boot_now() - this->started).count());
    this->check_all_committed();
    this->tick();
}

job_append partition_owner::next_append(const std::string& job,
                                        std::uint64_t stored) const
{
    const auto* log = this->jobs.find(job);
    auto records = log->records();
    job_append out{job, stored, log->epoch_before(stored), {}, records.size()};
    std::size_t bytes = 0;
    for (auto place = stored; place < records.size(); place++)
    {
        out.records.push_back(records[place]);
        bytes += record_bytes(*records[place]);
        if (bytes > append_bytes)
            break;
    }
    return out;
}

void partition_owner::send(const std::string& disk)
{
    auto found = this->copies.find(disk);
    if (found == this->copies.end() || this->stopped || !this->accepts)
        return;
    auto& copy = found->second;
    bool nothing = copy.behind.empty() && copy.expired.empty();
    if (copy.phase != copy_phase::known || copy.sending || nothing ||
        host::boot_now() < copy.retry_at)
        return;
    append_call out;
    out.partition = this->partition;
    out.epoch = this->place.epoch;
    out.owner_disk = this->jobs.disk_identity();
    out.copy_disk = disk;
    out.expired.assign(copy.expired.begin(), copy.expired.end());
    std::size_t bytes = 0;
    for (const auto& id : copy.behind)
    {
        if (this->jobs.find(id) == nullptr)
            continue;
        auto next = this->next_append(id, this->replication.stored(disk, id));
        for (const auto& one : next.records)
            bytes += record_bytes(*one);
        out.jobs.push_back(std::move(next));
        if (bytes > append_bytes)
            break;
    }
    copy.sending = true;
    auto self = this->shared_from_this();
    call_disk(this->runtime, disk, "/batches/append", pack(out), append_limit,
              [self, disk,
               expired = out.expired](const std::optional<std::string>& body)
              {
                  auto at = self->copies.find(disk);
                  if (self->stopped || at == self->copies.end())
                      return;
                  at->second.sending = false;
                  auto answer =
                      body ? unpack_append_answer(*body) : std::nullopt;
                  if (!answer)
                  {
                      at->second.retry_at = host::boot_now() + retry_pause;
                      return;
                  }
                  for (const auto& id : expired)
                      at->second.expired.erase(id);
                  self->on_stored(disk, *answer);
              });
}

void partition_owner::on_stored(const std::string& disk,
                                const append_answer& answer)
{
    auto& copy = this->copies[disk];
    if (answer.result == append_answer::verdict::stale_epoch)
    {
        logging::event(logging::level::warning, "ownership_lost")
            .with("partition", static_cast<std::int64_t>(this->partition))
            .with("epoch", static_cast<std::int64_t>(this->place.epoch))
            .with("later", static_cast<std::int64_t>(answer.epoch));
        return this->stop();
    }
    if (answer.result == append_answer::verdict::wrong_disk)
    {
        copy.phase = copy_phase::unknown;
        copy.retry_at = host::boot_now() + retry_pause;
        return;
    }
    for (const auto& each : answer.jobs)
    {
        const auto* log = this->jobs.find(each.job);
        if (log == nullptr)
        {
            copy.behind.erase(each.job);
            continue;
        }
        auto count = each.mismatch ? 0 : model::common_prefix(*log, each.mark);
        this->replication.note_stored(disk, each.job, count);
        if (count >= log->records().size())
            copy.behind.erase(each.job);
        this->check_committed(each.job);
    }
    this->send(disk);
}

void partition_owner::check_committed(const std::string& job)
{
    if (!this->accepts || this->stopped)
        return;
    this->replication.note_stored(this->jobs.disk_identity(), job,
                                  this->jobs.synced(job));
    if (this->replication.advance(job))
        this->on_commit(job);
}

void partition_owner::check_all_committed()
{
    for (const auto& id : this->jobs.jobs_of(this->partition))
        this->check_committed(id);
}

} // namespace amaranthhatch::batches
