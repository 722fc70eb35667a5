#include "batches/progress_sync.hpp"

#include "batches/disk_call.hpp"
#include "batches/progress_messages.hpp"
#include "host/boot_clock.hpp"

namespace amaranthhatch::batches
{

namespace model = core::batches;

namespace
{

// Interval between two sends to the copies. If an owner is lost, an item loses
// at most this much progress, in addition to the time of the takeover; an item
// takes several seconds.
constexpr core::milliseconds send_interval{1000};
constexpr core::milliseconds call_timeout{1000};
// Approximate size of one request, limited so that it doesn't delay the
// replication of records.
constexpr std::size_t call_bytes = 256u << 10;
// An answer holds a mark for each item of its request.
constexpr std::size_t answer_bytes = 4u << 20;

std::size_t bytes_of(const model::progress_delta& delta)
{
    constexpr std::size_t frame_bytes = 64;
    std::size_t bytes = frame_bytes;
    for (const auto& event_data : delta.data)
        bytes += event_data.size();
    return bytes;
}

} // namespace

progress_sync::progress_sync(host::host_runtime& runtime,
                             placement_agent& placement, job_store& jobs,
                             item_scheduler& scheduler)
    : runtime(runtime), placement(placement), jobs(jobs), scheduler(scheduler)
{
}

void progress_sync::tick()
{
    auto now = host::boot_now();
    if (now < this->next_send)
        return;
    this->next_send = now + send_interval;
    this->forget_finished();
    this->send_all();
}

void progress_sync::forget_finished()
{
    auto finished = [this](const std::string& job, std::uint32_t item)
    {
        const auto* log = this->jobs.find(job);
        return log == nullptr || log->closed() || log->finished(item);
    };
    this->jobs.forget_progress_if(finished);
    for (auto& [disk, copy] : this->disks)
        copy.marks.erase_if(finished);
}

void progress_sync::send_all()
{
    std::map<std::string, std::vector<model::progress_delta>> deltas_by_disk;
    std::map<std::string, std::size_t> bytes_by_disk;
    for (const auto& [job, items] : this->scheduler.open_items())
    {
        auto owner = this->placement.owner_of(job);
        if (!owner || !owner->serving())
            continue;
        for (const auto& disk : owner->placement().copies)
        {
            auto& copy = this->disks[disk];
            if (copy.sending)
                continue;
            for (const auto& [item, progress] : items)
            {
                auto missing_events = copy.marks.missing(
                    job, item, owner->epoch(), progress.events);
                if (!missing_events || bytes_by_disk[disk] > call_bytes)
                    continue;
                bytes_by_disk[disk] += bytes_of(*missing_events);
                deltas_by_disk[disk].push_back(std::move(*missing_events));
            }
        }
    }
    for (auto& [disk, deltas] : deltas_by_disk)
        this->send(disk, std::move(deltas));
    std::erase_if(this->disks,
                  [&](const auto& entry)
                  {
                      return !entry.second.sending &&
                             entry.first != this->jobs.disk_identity() &&
                             this->runtime.peers().last_disk_host(
                                 entry.first) == nullptr;
                  });
}

void progress_sync::send(const std::string& disk,
                         std::vector<model::progress_delta> deltas)
{
    if (disk == this->jobs.disk_identity())
        return this->record_marks(disk, this->jobs.store_progress(deltas));
    this->disks[disk].sending = true;
    auto on_response =
        [this, disk, alive_token = std::weak_ptr<bool>(this->alive)](
            const std::optional<std::string>& body)
    {
        if (alive_token.expired())
            return;
        this->disks[disk].sending = false;
        auto marks = body ? unpack_progress_marks(*body) : std::nullopt;
        if (!marks)
            return this->runtime.metrics_recorder().count(
                "hatch_item_progress_total", "outcome", "not_sent");
        this->record_marks(disk, *marks);
    };
    call_disk_host(this->runtime, disk, "/batches/progress", pack(deltas),
                   {call_timeout, answer_bytes}, std::move(on_response));
}

void progress_sync::record_marks(const std::string& disk,
                                 const std::vector<model::progress_mark>& marks)
{
    auto& copy = this->disks[disk];
    for (const auto& mark : marks)
        copy.marks.set_mark(mark);
    this->runtime.metrics_recorder().count("hatch_item_progress_total",
                                           "outcome", "stored",
                                           static_cast<double>(marks.size()));
}

void progress_sync::handle(
    const std::shared_ptr<http::server_exchange>& exchange)
{
    auto deltas = unpack_progress(exchange->received_request().body);
    if (!deltas)
        return exchange->respond(400, {}, "unreadable progress\n");
    // Drops events of superseded owners, and of jobs that this host itself owns
    // now.
    std::erase_if(*deltas,
                  [this](const auto& delta)
                  {
                      auto partition = this->jobs.partition_of(delta.job);
                      return delta.epoch < this->jobs.epoch(partition) ||
                             this->placement.owner_of(delta.job);
                  });
    exchange->respond(200, {}, pack(this->jobs.store_progress(*deltas)));
}

} // namespace amaranthhatch::batches
