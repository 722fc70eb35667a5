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

// Approximate size of one append request. It is limited so that new records
// don't wait behind one long request to a copy that is catching up.
constexpr std::size_t append_target_bytes = 512u << 10;
// An answer holds a mark for each job of its request.
constexpr std::size_t append_answer_bytes = 4u << 20;
constexpr core::milliseconds append_timeout{2000};
constexpr core::milliseconds reconcile_request_timeout{1000};
constexpr core::milliseconds retry_delay{100};

std::size_t record_bytes(const model::record& record)
{
    std::size_t bytes = record.text.size() + 64;
    if (record.accepted)
        for (const auto& item : record.accepted->items)
            bytes += item.body.size() + 256;
    return bytes;
}

} // namespace

partition_owner::partition_owner(host::host_runtime& runtime, job_store& jobs,
                                 std::size_t partition,
                                 model::partition_place initial_placement,
                                 commit_callback committed)
    : runtime(runtime), jobs(jobs), partition(partition),
      current_placement(std::move(initial_placement)),
      on_commit(std::move(committed)),
      replication(jobs.disk_identity(), this->current_placement.copies)
{
}

void partition_owner::start()
{
    this->started = host::boot_now();
    this->jobs.raise_epoch(this->partition, this->current_placement.epoch);
    for (const auto& disk : this->current_placement.copies)
        if (disk != this->jobs.disk_identity())
            this->copies[disk];
    this->tick();
}

void partition_owner::stop()
{
    this->stopped = true;
    this->accepting = false;
}

std::uint64_t partition_owner::latest_epoch() const
{
    return std::max({this->current_placement.epoch, this->copies_epoch,
                     this->jobs.epoch(this->partition)});
}

std::optional<core::milliseconds> partition_owner::superseded_for() const
{
    if (!this->superseded_at)
        return std::nullopt;
    return host::boot_now() - *this->superseded_at;
}

void partition_owner::on_later_epoch(std::uint64_t later)
{
    logging::event(logging::level::warning, "ownership_lost")
        .with("partition", static_cast<std::int64_t>(this->partition))
        .with("epoch", static_cast<std::int64_t>(this->current_placement.epoch))
        .with("later", static_cast<std::int64_t>(later));
    this->copies_epoch = std::max(this->copies_epoch, later);
    if (!this->superseded_at)
        this->superseded_at = host::boot_now();
    this->stop();
}

bool partition_owner::holds_lease() const
{
    auto now = host::boot_now();
    for (const auto& disk : this->current_placement.copies)
    {
        if (disk == this->jobs.disk_identity())
            continue;
        const auto* peer = this->runtime.peers().live_disk_host(disk, now);
        if (peer == nullptr || now - peer->last_echoed > lease_duration)
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
    this->mark_copies_behind(job);
}

void partition_owner::mark_copies_behind(const std::string& job)
{
    std::vector<std::string> disks;
    for (auto& [disk, copy] : this->copies)
    {
        copy.lagging_jobs.insert(job);
        disks.push_back(disk);
    }
    for (const auto& disk : disks)
        this->send(disk);
}

void partition_owner::expire(const std::string& job)
{
    const auto* log = this->jobs.find(job);
    auto last_mark = log == nullptr ? model::log_mark{} : log->mark();
    this->jobs.forget(job);
    this->replication.forget_job(job);
    for (auto& [disk, copy] : this->copies)
    {
        copy.lagging_jobs.erase(job);
        copy.expired_jobs[job] = last_mark;
    }
}

void partition_owner::set_learner(const std::string& disk)
{
    if (this->learner_disk == disk)
        return;
    if (!this->learner_disk.empty() &&
        !this->current_placement.holds_copy(this->learner_disk))
        this->copies.erase(this->learner_disk);
    this->learner_disk = disk;
    this->replication.set_copies(this->current_placement.copies);
    if (!disk.empty())
        this->copies[disk];
    this->tick();
}

bool partition_owner::learner_ready() const
{
    auto found = this->copies.find(this->learner_disk);
    return found != this->copies.end() && this->accepting &&
           found->second.phase == copy_phase::reconciled &&
           found->second.lagging_jobs.empty() && !found->second.sending;
}

void partition_owner::require_learner()
{
    auto required = this->current_placement.copies;
    required.push_back(this->learner_disk);
    this->replication.set_copies(std::move(required));
}

bool partition_owner::learner_required() const
{
    const auto& required = this->replication.copies();
    return !this->learner_disk.empty() &&
           std::find(required.begin(), required.end(), this->learner_disk) !=
               required.end();
}

void partition_owner::set_copies(std::vector<std::string> disks)
{
    this->current_placement.copies = std::move(disks);
    this->replication.set_copies(this->current_placement.copies);
    if (this->current_placement.holds_copy(this->learner_disk))
        this->learner_disk.clear();
    std::erase_if(this->copies,
                  [this](const auto& entry)
                  {
                      return !this->current_placement.holds_copy(entry.first) &&
                             entry.first != this->learner_disk;
                  });
    for (const auto& disk : this->current_placement.copies)
        if (disk != this->jobs.disk_identity())
            this->copies[disk];
    this->check_all_committed();
    this->tick();
}

bool partition_owner::idle() const
{
    bool copies_current =
        std::all_of(this->copies.begin(), this->copies.end(),
                    [](const auto& entry)
                    {
                        return entry.second.phase == copy_phase::reconciled &&
                               entry.second.lagging_jobs.empty() &&
                               !entry.second.sending;
                    });
    if (!copies_current || !this->recovered())
        return false;
    auto ids = this->jobs.jobs_of(this->partition);
    return std::all_of(ids.begin(), ids.end(),
                       [this](const auto& id)
                       {
                           const auto* log = this->jobs.find(id);
                           return log->submitted() != nullptr &&
                                  log->closed() &&
                                  this->committed(id) == log->records().size();
                       });
}

core::milliseconds partition_owner::owned_for() const
{
    return host::boot_now() - this->started;
}

void partition_owner::tick()
{
    if (this->stopped)
        return;
    auto disk_epoch = this->jobs.epoch(this->partition);
    if (disk_epoch > this->current_placement.epoch)
        return this->on_later_epoch(disk_epoch);
    auto now = host::boot_now();
    std::vector<std::string> disks;
    for (const auto& [disk, copy] : this->copies)
        disks.push_back(disk);
    for (const auto& disk : disks)
    {
        auto found = this->copies.find(disk);
        if (found == this->copies.end() || now < found->second.retry_at)
            continue;
        if (found->second.phase == copy_phase::unreconciled)
            this->request_marks(disk);
        else if (found->second.phase == copy_phase::reconciled)
            this->send(disk);
    }
    if (!this->accepting && (this->all_copies_reconciled() ||
                             now - this->started > reconcile_timeout))
        this->begin_serving();
}

void partition_owner::request_marks(const std::string& disk)
{
    auto& copy = this->copies[disk];
    copy.phase = copy_phase::reconciling;
    reconcile_request request;
    request.partition = this->partition;
    request.epoch = this->current_placement.epoch;
    request.copy_disk = disk;
    for (const auto& id : this->jobs.jobs_of(this->partition))
        request.jobs.push_back({id, this->jobs.find(id)->mark(), false});
    auto self = this->shared_from_this();
    call_disk_host(this->runtime, disk, "/batches/reconcile", pack(request),
                   {reconcile_request_timeout, http::default_body_limit},
                   [self, disk](const std::optional<std::string>& body)
                   {
                       auto found = self->copies.find(disk);
                       if (self->stopped || found == self->copies.end())
                           return;
                       auto response = body ? unpack_reconcile_response(*body)
                                            : std::nullopt;
                       using status = append_response::status;
                       if (response && response->state.result == status::stored)
                           return self->on_marks(disk, *response);
                       if (response &&
                           response->state.result == status::stale_epoch)
                           return self->on_later_epoch(response->state.epoch);
                       found->second.phase = copy_phase::unreconciled;
                       found->second.retry_at = host::boot_now() + retry_delay;
                   });
}

void partition_owner::on_marks(const std::string& disk,
                               const reconcile_response& response)
{
    auto& copy = this->copies[disk];
    copy.phase = copy_phase::reconciled;
    // Records that only the copy has may be added to this host's log only while
    // nothing has been added in this epoch.
    if (!this->accepting && this->current_placement.holds_copy(disk))
        for (const auto& append : response.longer_logs)
        {
            // The counts of the other copies refer to this host's previous log
            // of the job, which is about to be replaced.
            for (const auto& other : this->current_placement.copies)
                this->replication.note_stored(other, append.job, 0);
            auto self = this->shared_from_this();
            this->jobs.accept(append,
                              [self, job = append.job]
                              {
                                  if (!self->stopped)
                                      self->check_committed(job);
                              });
        }
    this->replication.forget_disk(disk);
    for (const auto& mark : response.state.jobs)
    {
        const auto* log = this->jobs.find(mark.job);
        if (log == nullptr)
        {
            // The copy's records are of earlier epochs, or of a job that has
            // expired in this one. A job that is accepted anew has later ones.
            model::log_mark before_epoch{this->epoch(), 0};
            copy.expired_jobs[mark.job] =
                mark.mark > before_epoch ? mark.mark : before_epoch;
            continue;
        }
        this->replication.note_stored(disk, mark.job,
                                      model::common_prefix(*log, mark.mark));
    }
    for (const auto& id : this->jobs.jobs_of(this->partition))
        if (this->replication.stored(disk, id) <
            this->jobs.find(id)->records().size())
            copy.lagging_jobs.insert(id);
    this->check_all_committed();
    this->tick();
}

// Committed records are on every copy, so a new owner has all records that
// readers may have seen, even if it doesn't reach one of the copies. It waits
// for the responsive copies only to preserve records that were still being
// replicated.
bool partition_owner::unresponsive(const std::string& disk) const
{
    const auto* peer = this->runtime.peers().last_disk_host(disk);
    return peer == nullptr ||
           host::boot_now() - peer->last_received > replacement_timeout;
}

bool partition_owner::all_copies_reconciled() const
{
    for (const auto& disk : this->current_placement.copies)
    {
        if (disk == this->jobs.disk_identity() || this->unresponsive(disk))
            continue;
        auto found = this->copies.find(disk);
        if (found == this->copies.end() ||
            found->second.phase != copy_phase::reconciled)
            return false;
    }
    return true;
}

void partition_owner::begin_serving()
{
    this->accepting = true;
    auto ids = this->jobs.jobs_of(this->partition);
    for (const auto& id : ids)
    {
        auto count = this->jobs.find(id)->records().size();
        this->replication.require_committed(id, count);
        for (auto& [disk, copy] : this->copies)
            if (this->replication.stored(disk, id) < count)
                copy.lagging_jobs.insert(id);
    }
    logging::event(logging::level::info, "partition_served")
        .with("partition", static_cast<std::int64_t>(this->partition))
        .with("epoch", static_cast<std::int64_t>(this->current_placement.epoch))
        .with("jobs", static_cast<std::int64_t>(ids.size()))
        .with("after_ms", (host::boot_now() - this->started).count());
    this->check_all_committed();
    this->tick();
}

job_append partition_owner::next_append(const std::string& job,
                                        std::uint64_t stored) const
{
    const auto* log = this->jobs.find(job);
    auto records = log->records();
    job_append append{
        job, stored, log->epoch_before(stored), {}, records.size()};
    std::size_t bytes = 0;
    for (auto position = stored; position < records.size(); position++)
    {
        append.records.push_back(records[position]);
        bytes += record_bytes(*records[position]);
        if (bytes > append_target_bytes)
            break;
    }
    return append;
}

void partition_owner::send(const std::string& disk)
{
    auto found = this->copies.find(disk);
    if (found == this->copies.end() || this->stopped || !this->accepting)
        return;
    auto& copy = found->second;
    bool nothing_to_send =
        copy.lagging_jobs.empty() && copy.expired_jobs.empty();
    if (copy.phase != copy_phase::reconciled || copy.sending ||
        nothing_to_send || host::boot_now() < copy.retry_at)
        return;
    append_request request;
    request.partition = this->partition;
    request.epoch = this->current_placement.epoch;
    request.owner_disk = this->jobs.disk_identity();
    request.copy_disk = disk;
    for (const auto& [id, up_to] : copy.expired_jobs)
        request.expired.push_back({id, up_to});
    std::size_t bytes = 0;
    for (const auto& id : copy.lagging_jobs)
    {
        if (this->jobs.find(id) == nullptr)
            continue;
        auto append = this->next_append(id, this->replication.stored(disk, id));
        for (const auto& record : append.records)
            bytes += record_bytes(*record);
        request.jobs.push_back(std::move(append));
        if (bytes > append_target_bytes)
            break;
    }
    copy.sending = true;
    auto self = this->shared_from_this();
    call_disk_host(
        this->runtime, disk, "/batches/append", pack(request),
        {append_timeout, append_answer_bytes},
        [self, disk,
         expired = request.expired](const std::optional<std::string>& body)
        {
            auto copy_entry = self->copies.find(disk);
            if (self->stopped || copy_entry == self->copies.end())
                return;
            copy_entry->second.sending = false;
            auto response = body ? unpack_append_response(*body) : std::nullopt;
            if (!response)
            {
                copy_entry->second.retry_at = host::boot_now() + retry_delay;
                return;
            }
            for (const auto& [id, up_to] : expired)
                copy_entry->second.expired_jobs.erase(id);
            self->on_stored(disk, *response);
        });
}

void partition_owner::on_stored(const std::string& disk,
                                const append_response& response)
{
    auto& copy = this->copies[disk];
    if (response.result == append_response::status::stale_epoch)
        return this->on_later_epoch(response.epoch);
    if (response.result == append_response::status::wrong_disk)
    {
        copy.phase = copy_phase::unreconciled;
        copy.retry_at = host::boot_now() + retry_delay;
        return;
    }
    for (const auto& job_state : response.jobs)
    {
        const auto* log = this->jobs.find(job_state.job);
        if (log == nullptr)
        {
            copy.lagging_jobs.erase(job_state.job);
            continue;
        }
        auto count =
            job_state.mismatch ? 0 : model::common_prefix(*log, job_state.mark);
        this->replication.note_stored(disk, job_state.job, count);
        if (count >= log->records().size())
            copy.lagging_jobs.erase(job_state.job);
        this->check_committed(job_state.job);
    }
    this->send(disk);
}

void partition_owner::check_committed(const std::string& job)
{
    if (!this->accepting || this->stopped)
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
