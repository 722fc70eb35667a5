#include "batches/job_store.hpp"

#include <algorithm>

#include "core/hash.hpp"
#include "host/boot_clock.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::batches
{

namespace model = core::batches;

namespace
{

// Log size from which on a compaction is considered. A file of this size is
// read back in a fraction of a second.
constexpr std::uint64_t compaction_bytes = 48u << 20;
// The threshold is at most this fraction of the disk limit, as a compaction
// writes a second file before it deletes the first.
constexpr std::uint64_t compaction_limit_divisor = 4;
// New jobs are refused above this fraction of the disk limit; the rest is
// reserved for the results of jobs that have already been accepted.
constexpr std::uint64_t full_limit_divisor = 2;

} // namespace

job_store::job_store(disk_log& disk, std::size_t partitions)
    : disk(disk), partitions(partitions)
{
    this->disk.replay([this](std::string_view bytes)
                      { this->replay_frame(bytes); });
    for (auto& [id, job] : this->jobs)
        job.synced = job.log.records().size();
    std::erase_if(this->jobs, [](const auto& entry)
                  { return entry.second.log.submitted() == nullptr; });
    logging::event(logging::level::info, "jobs_read_back")
        .with("disk", this->disk.identity())
        .with("jobs", static_cast<std::int64_t>(this->jobs.size()));
}

void job_store::set_partitions(std::size_t count)
{
    this->partitions = count;
}

void job_store::replay_frame(std::string_view bytes)
{
    auto frame = unpack_frame(bytes);
    if (!frame)
        return;
    switch (frame->kind)
    {
    case frame_kind::append:
    {
        auto& job = this->find_or_create(frame->append.job);
        job.log.truncate(frame->append.position);
        job.log.append(frame->append.position, frame->append.previous_epoch,
                       frame->append.records);
        break;
    }
    case frame_kind::expired:
        this->jobs.erase(frame->append.job);
        break;
    case frame_kind::epoch:
    {
        auto& highest = this->epochs[frame->partition];
        highest = std::max(highest, frame->epoch);
        break;
    }
    case frame_kind::progress:
        for (const auto& delta : frame->progress)
            this->progress.store(delta);
        break;
    }
}

job_store::stored_job& job_store::find_or_create(std::string_view job)
{
    auto found = this->jobs.find(job);
    if (found == this->jobs.end())
        found =
            this->jobs.emplace(std::string(job), stored_job(std::string(job)))
                .first;
    return found->second;
}

const model::job_log* job_store::find(std::string_view job) const
{
    auto found = this->jobs.find(job);
    return found == this->jobs.end() ? nullptr : &found->second.log;
}

std::uint64_t job_store::synced(std::string_view job) const
{
    auto found = this->jobs.find(job);
    return found == this->jobs.end() ? 0 : found->second.synced;
}

std::size_t job_store::partition_of(std::string_view job) const
{
    return this->partitions == 0 ? 0 : core::hash(job) % this->partitions;
}

std::vector<std::string> job_store::jobs_of(std::size_t partition) const
{
    std::vector<std::string> out;
    for (const auto& [id, job] : this->jobs)
        if (this->partition_of(id) == partition)
            out.push_back(id);
    return out;
}

void job_store::write(const job_append& append, std::function<void()> on_synced)
{
    auto& job = this->find_or_create(append.job);
    auto count = job.log.records().size();
    auto rewrites = job.rewrites;
    disk_frame frame;
    frame.append = append;
    this->disk.append(
        {pack(frame)},
        [this, id = append.job, count, rewrites,
         on_synced = std::move(on_synced)]
        {
            auto found = this->jobs.find(id);
            if (found != this->jobs.end() && found->second.rewrites == rewrites)
                found->second.synced = std::max(found->second.synced, count);
            if (on_synced)
                on_synced();
        });
}

void job_store::add(std::string_view job,
                    std::vector<model::record_ptr> records,
                    std::function<void()> on_synced)
{
    auto& target = this->find_or_create(job);
    job_append append{std::string(job), target.log.records().size(),
                      target.log.mark().epoch, std::move(records), 0};
    target.log.append(append.position, append.previous_epoch, append.records);
    this->write(append, std::move(on_synced));
}

model::append_result job_store::accept(const job_append& append,
                                       std::function<void()> on_synced,
                                       std::uint64_t owner_epoch)
{
    auto& target = this->find_or_create(append.job);
    auto old_count = target.log.records().size();
    std::vector<model::record_ptr> old_records(target.log.records().begin(),
                                               target.log.records().end());
    auto result = target.log.append(append.position, append.previous_epoch,
                                    append.records);
    if (result == model::append_result::mismatch)
    {
        if (target.log.submitted() == nullptr)
            this->jobs.erase(std::string(append.job));
        return result;
    }
    target.log.truncate_stale_tail(append.total, owner_epoch);
    // Records that are already on the disk aren't written again.
    auto records = target.log.records();
    std::uint64_t unchanged = 0;
    while (unchanged < old_count && unchanged < records.size() &&
           old_records[unchanged] == records[unchanged])
        unchanged++;
    if (unchanged < old_count)
    {
        target.rewrites++;
        target.synced = std::min(target.synced, unchanged);
    }
    job_append tail{append.job,
                    unchanged,
                    target.log.epoch_before(unchanged),
                    {records.begin() + static_cast<std::ptrdiff_t>(unchanged),
                     records.end()},
                    0};
    this->write(tail, std::move(on_synced));
    return result;
}

void job_store::forget(std::string_view job)
{
    auto found = this->jobs.find(job);
    if (found == this->jobs.end())
        return;
    disk_frame frame;
    frame.kind = frame_kind::expired;
    frame.append.job = std::string(job);
    this->disk.append({pack(frame)}, nullptr);
    this->jobs.erase(found);
}

std::uint64_t job_store::epoch(std::size_t partition) const
{
    auto found = this->epochs.find(partition);
    return found == this->epochs.end() ? 0 : found->second;
}

void job_store::raise_epoch(std::size_t partition, std::uint64_t epoch)
{
    auto& highest = this->epochs[partition];
    if (epoch <= highest)
        return;
    highest = epoch;
    disk_frame frame;
    frame.kind = frame_kind::epoch;
    frame.partition = partition;
    frame.epoch = epoch;
    this->disk.append({pack(frame)}, nullptr);
}

core::instant job_store::last_contact(std::size_t partition) const
{
    auto found = this->contact_times.find(partition);
    return found == this->contact_times.end() ? core::instant() : found->second;
}

job_mark job_store::mark_of(const std::string& job, bool mismatch) const
{
    const auto* log = this->find(job);
    return {job, log == nullptr ? model::log_mark{} : log->mark(), mismatch};
}

bool job_store::refuses(std::uint64_t partition, std::uint64_t epoch,
                        std::string_view copy_disk, append_response& response)
{
    response.epoch = this->epoch(partition);
    this->contact_times[partition] = host::boot_now();
    if (copy_disk != this->disk_identity())
        response.result = append_response::status::wrong_disk;
    else if (epoch < response.epoch)
        response.result = append_response::status::stale_epoch;
    return response.result != append_response::status::stored;
}

void job_store::handle(const append_request& request,
                       std::function<void(const append_response&)> on_synced)
{
    append_response initial;
    if (this->refuses(request.partition, request.epoch, request.copy_disk,
                      initial))
        return on_synced(initial);
    this->raise_epoch(request.partition, request.epoch);
    for (const auto& [id, up_to] : request.expired)
    {
        const auto* log = this->find(id);
        if (log != nullptr && !(log->mark() > up_to))
            this->forget(id);
    }
    // The response is sent when the last of these records is synced.
    auto pending = std::make_shared<std::size_t>(1);
    auto response = std::make_shared<append_response>(std::move(initial));
    auto finish = [pending, response, on_synced = std::move(on_synced)]
    {
        if (--*pending == 0)
            on_synced(*response);
    };
    for (const auto& append : request.jobs)
    {
        ++*pending;
        auto result = this->accept(append, finish, request.epoch);
        bool mismatch = result == model::append_result::mismatch;
        response->jobs.push_back(this->mark_of(append.job, mismatch));
        if (mismatch)
            --*pending;
    }
    finish();
}

reconcile_response job_store::handle(const reconcile_request& request)
{
    reconcile_response response;
    if (this->refuses(request.partition, request.epoch, request.copy_disk,
                      response.state))
        return response;
    this->raise_epoch(request.partition, request.epoch);
    if (this->partitions == 0)
    {
        response.state.result = append_response::status::no_placement;
        return response;
    }
    std::map<std::string, model::log_mark, std::less<>> owner_marks;
    for (const auto& owner_mark : request.jobs)
        owner_marks[owner_mark.job] = owner_mark.mark;
    for (const auto& id : this->jobs_of(request.partition))
    {
        const auto& job = this->jobs.at(id);
        // Only records that are synced on this disk are reported, as the others
        // could still be lost.
        model::log_mark synced_mark{job.log.epoch_before(job.synced),
                                    job.synced};
        response.state.jobs.push_back({id, synced_mark, false});
        auto found = owner_marks.find(id);
        bool longer = found == owner_marks.end() || synced_mark > found->second;
        if (!longer || synced_mark.count == 0)
            continue;
        auto records = job.log.records().first(job.synced);
        response.longer_logs.push_back(
            {id, 0, 0, {records.begin(), records.end()}, records.size()});
    }
    return response;
}

std::vector<model::progress_mark>
job_store::store_progress(const std::vector<model::progress_delta>& deltas)
{
    std::vector<model::progress_mark> marks;
    for (const auto& delta : deltas)
        marks.push_back(this->progress.store(delta));
    if (deltas.empty())
        return marks;
    disk_frame frame;
    frame.kind = frame_kind::progress;
    frame.progress = deltas;
    this->disk.append({pack(frame)}, nullptr);
    return marks;
}

bool job_store::full(std::uint64_t limit_bytes) const
{
    return limit_bytes > 0 &&
           this->disk.size() > limit_bytes / full_limit_divisor;
}

void job_store::compact_if_large(std::uint64_t limit_bytes)
{
    auto threshold = limit_bytes == 0
                         ? compaction_bytes
                         : std::min(compaction_bytes,
                                    limit_bytes / compaction_limit_divisor);
    if (this->disk.size() < threshold ||
        this->disk.size() < 2 * this->live_bytes)
        return;
    std::vector<std::string> frames;
    this->live_bytes = 0;
    for (const auto& [id, job] : this->jobs)
    {
        disk_frame frame;
        frame.append = {
            id, 0, 0, {job.log.records().begin(), job.log.records().end()}};
        frames.push_back(pack(frame));
        this->live_bytes += frames.back().size();
    }
    for (const auto& [partition, epoch] : this->epochs)
    {
        disk_frame frame;
        frame.kind = frame_kind::epoch;
        frame.partition = partition;
        frame.epoch = epoch;
        frames.push_back(pack(frame));
    }
    disk_frame progress;
    progress.kind = frame_kind::progress;
    progress.progress = this->progress.all_deltas();
    frames.push_back(pack(progress));
    logging::event(logging::level::info, "log_compacted")
        .with("before", static_cast<std::int64_t>(this->disk.size()))
        .with("after", static_cast<std::int64_t>(this->live_bytes));
    this->disk.compact(std::move(frames));
}

} // namespace amaranthhatch::batches
