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

// A file of this size is read back in a fraction of a second.
constexpr std::uint64_t compact_bytes = 48u << 20;
// A compaction writes a second file beside the first.
constexpr std::uint64_t compact_part = 4;
// What is left takes the results of jobs that were accepted before.
constexpr std::uint64_t full_part = 2;

} // namespace

job_store::job_store(disk_log& disk, std::size_t partitions)
    : disk(disk), partitions(partitions)
{
    this->disk.replay([this](std::string_view bytes)
                      { this->replay_frame(bytes); });
    for (auto& [id, job] : this->jobs)
        job.synced = job.log.records().size();
    std::erase_if(this->jobs, [](const auto& each)
                  { return each.second.log.submitted() == nullptr; });
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
    case disk_kind::append:
    {
        auto& job = this->make(frame->append.job);
        job.log.truncate(frame->append.place);
        job.log.append(frame->append.place, frame->append.previous_epoch,
                       frame->append.records);
        break;
    }
    case disk_kind::expired:
        this->jobs.erase(frame->append.job);
        break;
    case disk_kind::epoch:
    {
        auto& known = this->epochs[frame->partition];
        known = std::max(known, frame->epoch);
        break;
    }
    case disk_kind::progress:
        for (const auto& each : frame->progress)
            this->progress.store(each);
        break;
    }
}

job_store::stored_job& job_store::make(std::string_view job)
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

void job_store::write(const job_append& from, std::function<void()> stored)
{
    auto& job = this->make(from.job);
    auto count = job.log.records().size();
    auto rewrites = job.rewrites;
    disk_frame frame;
    frame.append = from;
    this->disk.append(
        {pack(frame)},
        [this, id = from.job, count, rewrites, stored = std::move(stored)]
        {
            auto found = this->jobs.find(id);
            if (found != this->jobs.end() && found->second.rewrites == rewrites)
                found->second.synced = std::max(found->second.synced, count);
            if (stored)
                stored();
        });
}

void job_store::add(std::string_view job,
                    std::vector<model::record_ptr> records,
                    std::function<void()> stored)
{
    auto& known = this->make(job);
    job_append from{std::string(job), known.log.records().size(),
                    known.log.mark().epoch, std::move(records), 0};
    known.log.append(from.place, from.previous_epoch, from.records);
    this->write(from, std::move(stored));
}

model::append_result job_store::take(const job_append& from,
                                     std::function<void()> stored,
                                     std::uint64_t owner_epoch)
{
    auto& known = this->make(from.job);
    auto before = known.log.records().size();
    std::vector<model::record_ptr> old(known.log.records().begin(),
                                       known.log.records().end());
    auto result =
        known.log.append(from.place, from.previous_epoch, from.records);
    if (result == model::append_result::mismatch)
    {
        if (known.log.submitted() == nullptr)
            this->jobs.erase(std::string(from.job));
        return result;
    }
    known.log.truncate_stale_tail(from.total, owner_epoch);
    // What is on the disk already isn't written again.
    auto now = known.log.records();
    std::uint64_t same = 0;
    while (same < before && same < now.size() && old[same] == now[same])
        same++;
    if (same < before)
    {
        known.rewrites++;
        known.synced = std::min(known.synced, same);
    }
    job_append fresh{
        from.job,
        same,
        known.log.epoch_before(same),
        {now.begin() + static_cast<std::ptrdiff_t>(same), now.end()},
        0};
    this->write(fresh, std::move(stored));
    return result;
}

void job_store::forget(std::string_view job)
{
    auto found = this->jobs.find(job);
    if (found == this->jobs.end())
        return;
    disk_frame frame;
    frame.kind = disk_kind::expired;
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
    auto& known = this->epochs[partition];
    if (epoch <= known)
        return;
    known = epoch;
    disk_frame frame;
    frame.kind = disk_kind::epoch;
    frame.partition = partition;
    frame.epoch = epoch;
    this->disk.append({pack(frame)}, nullptr);
}

core::instant job_store::touched(std::size_t partition) const
{
    auto found = this->touch_times.find(partition);
    return found == this->touch_times.end() ? core::instant() : found->second;
}

job_mark job_store::mark_of(const std::string& job, bool mismatch) const
{
    const auto* log = this->find(job);
    return {job, log == nullptr ? model::log_mark{} : log->mark(), mismatch};
}

bool job_store::refuses(std::uint64_t partition, std::uint64_t epoch,
                        std::string_view copy_disk, append_answer& answer)
{
    answer.epoch = this->epoch(partition);
    this->touch_times[partition] = host::boot_now();
    if (copy_disk != this->disk_identity())
        answer.result = append_answer::verdict::wrong_disk;
    else if (epoch < answer.epoch)
        answer.result = append_answer::verdict::stale_epoch;
    return answer.result != append_answer::verdict::stored;
}

void job_store::answer(const append_call& call,
                       std::function<void(const append_answer&)> done)
{
    append_answer out;
    if (this->refuses(call.partition, call.epoch, call.copy_disk, out))
        return done(out);
    this->raise_epoch(call.partition, call.epoch);
    for (const auto& id : call.expired)
        this->forget(id);
    // The answer goes out when the last of these records is synced.
    auto open = std::make_shared<std::size_t>(1);
    auto answer = std::make_shared<append_answer>(std::move(out));
    auto finish = [open, answer, done = std::move(done)]
    {
        if (--*open == 0)
            done(*answer);
    };
    for (const auto& each : call.jobs)
    {
        ++*open;
        auto result = this->take(each, finish, call.epoch);
        bool mismatch = result == model::append_result::mismatch;
        answer->jobs.push_back(this->mark_of(each.job, mismatch));
        if (mismatch)
            --*open;
    }
    finish();
}

reconcile_answer job_store::answer(const reconcile_call& call)
{
    reconcile_answer out;
    if (this->refuses(call.partition, call.epoch, call.copy_disk, out.state))
        return out;
    this->raise_epoch(call.partition, call.epoch);
    std::map<std::string, model::log_mark, std::less<>> theirs;
    for (const auto& each : call.jobs)
        theirs[each.job] = each.mark;
    for (const auto& id : this->jobs_of(call.partition))
    {
        const auto& job = this->jobs.at(id);
        // Only what is synced here can be counted on.
        model::log_mark own{job.log.epoch_before(job.synced), job.synced};
        out.state.jobs.push_back({id, own, false});
        auto known = theirs.find(id);
        bool further = known == theirs.end() || own > known->second;
        if (!further || own.count == 0)
            continue;
        auto records = job.log.records().first(job.synced);
        out.further.push_back(
            {id, 0, 0, {records.begin(), records.end()}, records.size()});
    }
    return out;
}

std::vector<model::progress_mark>
job_store::store_progress(const std::vector<model::progress_delta>& told)
{
    std::vector<model::progress_mark> out;
    for (const auto& each : told)
        out.push_back(this->progress.store(each));
    if (told.empty())
        return out;
    disk_frame frame;
    frame.kind = disk_kind::progress;
    frame.progress = told;
    this->disk.append({pack(frame)}, nullptr);
    return out;
}

bool job_store::full(std::uint64_t limit_bytes) const
{
    return limit_bytes > 0 && this->disk.size() > limit_bytes / full_part;
}

void job_store::compact_if_large(std::uint64_t limit_bytes)
{
    auto least = limit_bytes == 0
                     ? compact_bytes
                     : std::min(compact_bytes, limit_bytes / compact_part);
    if (this->disk.size() < least || this->disk.size() < 2 * this->live_bytes)
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
        frame.kind = disk_kind::epoch;
        frame.partition = partition;
        frame.epoch = epoch;
        frames.push_back(pack(frame));
    }
    disk_frame progress;
    progress.kind = disk_kind::progress;
    progress.progress = this->progress.all_deltas();
    frames.push_back(pack(progress));
    logging::event(logging::level::info, "log_compacted")
        .with("before", static_cast<std::int64_t>(this->disk.size()))
        .with("after", static_cast<std::int64_t>(this->live_bytes));
    this->disk.compact(std::move(frames));
}

} // namespace amaranthhatch::batches
