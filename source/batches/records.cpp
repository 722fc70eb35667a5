#include "batches/records.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "batches/progress_messages.hpp"
#include "logging/event.hpp"
#include "packing/bytes.hpp"

namespace amaranthhatch::batches
{

namespace model = core::batches;

namespace
{

using packing::from_bytes;
using packing::to_bytes;

struct packed_item
{
    std::string id;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::uint64_t tokens = 0;
    MSGPACK_DEFINE(id, target, headers, body, tokens)
};

struct packed_job
{
    std::string id;
    std::string authority;
    std::string path;
    std::int64_t submitted_ms = 0;
    std::vector<packed_item> items;
    // Earlier releases don't send these, and ignore them.
    std::uint64_t configuration_version = 0;
    std::string workspace;
    MSGPACK_DEFINE(id, authority, path, submitted_ms, items,
                   configuration_version, workspace)
};

struct packed_record
{
    std::uint8_t kind = 0;
    std::uint64_t epoch = 0;
    std::vector<packed_job> accepted;
    std::uint32_t item = 0;
    std::uint8_t state = 0;
    std::string text;
    MSGPACK_DEFINE(kind, epoch, accepted, item, state, text)
};

struct packed_append
{
    std::string job;
    std::uint64_t position = 0;
    std::uint64_t previous_epoch = 0;
    std::vector<packed_record> records;
    std::uint64_t total = 0;
    MSGPACK_DEFINE(job, position, previous_epoch, records, total)
};

struct packed_append_request
{
    std::uint64_t partition = 0;
    std::uint64_t epoch = 0;
    std::string owner_disk;
    std::string copy_disk;
    std::vector<packed_append> jobs;
    std::vector<std::string> expired;
    /// Epoch and count of each expired job's mark.
    std::vector<std::pair<std::uint64_t, std::uint64_t>> expired_up_to;
    MSGPACK_DEFINE(partition, epoch, owner_disk, copy_disk, jobs, expired,
                   expired_up_to)
};

struct packed_mark
{
    std::string job;
    std::uint64_t epoch = 0;
    std::uint64_t count = 0;
    bool mismatch = false;
    MSGPACK_DEFINE(job, epoch, count, mismatch)
};

struct packed_response
{
    std::uint8_t result = 0;
    std::uint64_t epoch = 0;
    std::vector<packed_mark> jobs;
    MSGPACK_DEFINE(result, epoch, jobs)
};

struct packed_reconcile_request
{
    std::uint64_t partition = 0;
    std::uint64_t epoch = 0;
    std::string copy_disk;
    std::vector<packed_mark> jobs;
    MSGPACK_DEFINE(partition, epoch, copy_disk, jobs)
};

struct packed_reconcile_response
{
    packed_response state;
    std::vector<packed_append> longer_logs;
    MSGPACK_DEFINE(state, longer_logs)
};

struct packed_frame
{
    std::uint8_t kind = 0;
    packed_append append;
    std::uint64_t partition = 0;
    std::uint64_t epoch = 0;
    std::string progress;
    MSGPACK_DEFINE(kind, append, partition, epoch, progress)
};

packed_job to_packed(const model::job& job)
{
    packed_job packed{job.id,       job.authority,
                      job.path,     job.submitted_ms,
                      {},           job.configuration_version,
                      job.workspace};
    for (const auto& item : job.items)
        packed.items.push_back(
            {item.id, item.target, item.headers, item.body, item.tokens});
    return packed;
}

model::job from_packed(packed_job&& packed)
{
    model::job job;
    job.id = std::move(packed.id);
    job.authority = std::move(packed.authority);
    job.path = std::move(packed.path);
    job.submitted_ms = packed.submitted_ms;
    job.configuration_version = packed.configuration_version;
    job.workspace = std::move(packed.workspace);
    for (auto& item : packed.items)
        job.items.push_back({std::move(item.id), std::move(item.target),
                             std::move(item.headers), std::move(item.body),
                             item.tokens});
    return job;
}

packed_append to_packed(const job_append& append)
{
    packed_append packed{
        append.job, append.position, append.previous_epoch, {}, append.total};
    for (const auto& record : append.records)
    {
        packed_record packed_entry{static_cast<std::uint8_t>(record->kind),
                                   record->epoch,
                                   {},
                                   record->item,
                                   static_cast<std::uint8_t>(record->state),
                                   record->text};
        if (record->accepted)
            packed_entry.accepted.push_back(to_packed(*record->accepted));
        packed.records.push_back(std::move(packed_entry));
    }
    return packed;
}

job_append from_packed(packed_append&& packed)
{
    job_append append{std::move(packed.job),
                      packed.position,
                      packed.previous_epoch,
                      {},
                      packed.total};
    for (auto& packed_entry : packed.records)
    {
        auto record = std::make_shared<model::record>();
        record->kind = static_cast<model::record_kind>(packed_entry.kind);
        record->epoch = packed_entry.epoch;
        if (!packed_entry.accepted.empty())
            record->accepted = std::make_shared<const model::job>(
                from_packed(std::move(packed_entry.accepted.front())));
        record->item = packed_entry.item;
        record->state = static_cast<model::item_state>(packed_entry.state);
        record->text = std::move(packed_entry.text);
        append.records.push_back(std::move(record));
    }
    return append;
}

std::vector<packed_mark> to_packed(const std::vector<job_mark>& marks)
{
    std::vector<packed_mark> packed;
    for (const auto& mark : marks)
        packed.push_back(
            {mark.job, mark.mark.epoch, mark.mark.count, mark.mismatch});
    return packed;
}

std::vector<job_mark> from_packed(const std::vector<packed_mark>& packed)
{
    std::vector<job_mark> marks;
    for (const auto& mark : packed)
        marks.push_back({mark.job, {mark.epoch, mark.count}, mark.mismatch});
    return marks;
}

packed_response to_packed(const append_response& response)
{
    return {static_cast<std::uint8_t>(response.result), response.epoch,
            to_packed(response.jobs)};
}

append_response from_packed(const packed_response& packed)
{
    return {static_cast<append_response::status>(packed.result), packed.epoch,
            from_packed(packed.jobs)};
}

template <typename Part>
std::vector<job_append> appends_from(std::vector<Part>&& packed)
{
    std::vector<job_append> appends;
    for (auto& append : packed)
        appends.push_back(from_packed(std::move(append)));
    return appends;
}

} // namespace

std::string pack(const append_request& request)
{
    packed_append_request packed{request.partition,
                                 request.epoch,
                                 request.owner_disk,
                                 request.copy_disk,
                                 {},
                                 {},
                                 {}};
    for (const auto& append : request.jobs)
        packed.jobs.push_back(to_packed(append));
    for (const auto& [job, up_to] : request.expired)
    {
        packed.expired.push_back(job);
        packed.expired_up_to.emplace_back(up_to.epoch, up_to.count);
    }
    return to_bytes(packed);
}

std::string pack(const append_response& response)
{
    return to_bytes(to_packed(response));
}

std::string pack(const reconcile_request& request)
{
    return to_bytes(packed_reconcile_request{request.partition, request.epoch,
                                             request.copy_disk,
                                             to_packed(request.jobs)});
}

std::string pack(const reconcile_response& response)
{
    packed_reconcile_response packed{to_packed(response.state), {}};
    for (const auto& append : response.longer_logs)
        packed.longer_logs.push_back(to_packed(append));
    return to_bytes(packed);
}

std::string pack(const disk_frame& frame)
{
    packed_frame packed{static_cast<std::uint8_t>(frame.kind),
                        to_packed(frame.append),
                        frame.partition,
                        frame.epoch,
                        {}};
    if (!frame.progress.empty())
        packed.progress = pack(frame.progress);
    return to_bytes(packed);
}

std::string pack(const model::job& job)
{
    return to_bytes(to_packed(job));
}

std::optional<append_request> unpack_append(std::string_view bytes)
{
    auto packed = from_bytes<packed_append_request>(bytes, "append");
    if (!packed)
        return std::nullopt;
    append_request request{packed->partition,
                           packed->epoch,
                           packed->owner_disk,
                           packed->copy_disk,
                           appends_from(std::move(packed->jobs)),
                           {}};
    // Owners of earlier releases send no marks; their jobs stay until a later
    // owner's request.
    auto count = std::min(packed->expired.size(), packed->expired_up_to.size());
    for (std::size_t index = 0; index < count; index++)
    {
        const auto& [epoch, records] = packed->expired_up_to[index];
        request.expired.push_back({packed->expired[index], {epoch, records}});
    }
    return request;
}

std::optional<append_response> unpack_append_response(std::string_view bytes)
{
    auto packed = from_bytes<packed_response>(bytes, "append response");
    if (!packed)
        return std::nullopt;
    return from_packed(*packed);
}

std::optional<reconcile_request> unpack_reconcile(std::string_view bytes)
{
    auto packed = from_bytes<packed_reconcile_request>(bytes, "reconcile");
    if (!packed)
        return std::nullopt;
    return reconcile_request{packed->partition, packed->epoch,
                             packed->copy_disk, from_packed(packed->jobs)};
}

std::optional<reconcile_response>
unpack_reconcile_response(std::string_view bytes)
{
    auto packed =
        from_bytes<packed_reconcile_response>(bytes, "reconcile response");
    if (!packed)
        return std::nullopt;
    return reconcile_response{from_packed(packed->state),
                              appends_from(std::move(packed->longer_logs))};
}

std::optional<disk_frame> unpack_frame(std::string_view bytes)
{
    auto packed = from_bytes<packed_frame>(bytes, "disk frame");
    if (!packed)
        return std::nullopt;
    disk_frame frame{static_cast<frame_kind>(packed->kind),
                     from_packed(std::move(packed->append)),
                     packed->partition,
                     packed->epoch,
                     {}};
    if (packed->progress.empty())
        return frame;
    auto progress = unpack_progress(packed->progress);
    if (!progress)
        return std::nullopt;
    frame.progress = std::move(*progress);
    return frame;
}

std::optional<model::job> unpack_job(std::string_view bytes)
{
    auto packed = from_bytes<packed_job>(bytes, "job");
    if (!packed)
        return std::nullopt;
    return from_packed(std::move(*packed));
}

std::string placement_text(const model::placement& placement)
{
    auto partitions = nlohmann::json::array();
    for (const auto& partition : placement.partitions)
        partitions.push_back({{"epoch", partition.epoch},
                              {"owner", partition.owner_disk},
                              {"incarnation", partition.owner_incarnation},
                              {"copies", partition.copies}});
    return partitions.dump();
}

std::optional<model::placement> parse_placement(std::string_view text)
{
    try
    {
        model::placement placement;
        for (const auto& partition : nlohmann::json::parse(text))
            placement.partitions.push_back(
                {partition.at("epoch").get<std::uint64_t>(),
                 partition.at("owner").get<std::string>(),
                 partition.at("incarnation").get<std::uint64_t>(),
                 partition.at("copies").get<std::vector<std::string>>()});
        return placement;
    }
    catch (const nlohmann::json::exception& error)
    {
        logging::event(logging::level::error, "placement_unreadable")
            .with("detail", error.what());
        return std::nullopt;
    }
}

} // namespace amaranthhatch::batches
