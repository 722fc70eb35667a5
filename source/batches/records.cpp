#include "batches/records.hpp"

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
    MSGPACK_DEFINE(id, authority, path, submitted_ms, items)
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
    std::uint64_t place = 0;
    std::uint64_t previous_epoch = 0;
    std::vector<packed_record> records;
    std::uint64_t total = 0;
    MSGPACK_DEFINE(job, place, previous_epoch, records, total)
};

struct packed_append_call
{
    std::uint64_t partition = 0;
    std::uint64_t epoch = 0;
    std::string owner_disk;
    std::string copy_disk;
    std::vector<packed_append> jobs;
    std::vector<std::string> expired;
    MSGPACK_DEFINE(partition, epoch, owner_disk, copy_disk, jobs, expired)
};

struct packed_mark
{
    std::string job;
    std::uint64_t epoch = 0;
    std::uint64_t count = 0;
    bool mismatch = false;
    MSGPACK_DEFINE(job, epoch, count, mismatch)
};

struct packed_answer
{
    std::uint8_t result = 0;
    std::uint64_t epoch = 0;
    std::vector<packed_mark> jobs;
    MSGPACK_DEFINE(result, epoch, jobs)
};

struct packed_reconcile_call
{
    std::uint64_t partition = 0;
    std::uint64_t epoch = 0;
    std::string copy_disk;
    std::vector<packed_mark> jobs;
    MSGPACK_DEFINE(partition, epoch, copy_disk, jobs)
};

struct packed_reconcile_answer
{
    packed_answer state;
    std::vector<packed_append> further;
    MSGPACK_DEFINE(state, further)
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

packed_job to_packed(const model::job& from)
{
    packed_job out{from.id, from.authority, from.path, from.submitted_ms, {}};
    for (const auto& each : from.items)
        out.items.push_back(
            {each.id, each.target, each.headers, each.body, each.tokens});
    return out;
}

model::job from_packed(packed_job&& from)
{
    model::job out;
    out.id = std::move(from.id);
    out.authority = std::move(from.authority);
    out.path = std::move(from.path);
    out.submitted_ms = from.submitted_ms;
    for (auto& each : from.items)
        out.items.push_back({std::move(each.id), std::move(each.target),
                             std::move(each.headers), std::move(each.body),
                             each.tokens});
    return out;
}

packed_append to_packed(const job_append& from)
{
    packed_append out{
        from.job, from.place, from.previous_epoch, {}, from.total};
    for (const auto& each : from.records)
    {
        packed_record one{
            static_cast<std::uint8_t>(each->kind),  each->epoch, {}, each->item,
            static_cast<std::uint8_t>(each->state), each->text};
        if (each->accepted)
            one.accepted.push_back(to_packed(*each->accepted));
        out.records.push_back(std::move(one));
    }
    return out;
}

job_append from_packed(packed_append&& from)
{
    job_append out{
        std::move(from.job), from.place, from.previous_epoch, {}, from.total};
    for (auto& each : from.records)
    {
        auto one = std::make_shared<model::record>();
        one->kind = static_cast<model::record_kind>(each.kind);
        one->epoch = each.epoch;
        if (!each.accepted.empty())
            one->accepted = std::make_shared<const model::job>(
                from_packed(std::move(each.accepted.front())));
        one->item = each.item;
        one->state = static_cast<model::item_state>(each.state);
        one->text = std::move(each.text);
        out.records.push_back(std::move(one));
    }
    return out;
}

std::vector<packed_mark> to_packed(const std::vector<job_mark>& from)
{
    std::vector<packed_mark> out;
    for (const auto& each : from)
        out.push_back(
            {each.job, each.mark.epoch, each.mark.count, each.mismatch});
    return out;
}

std::vector<job_mark> from_packed(const std::vector<packed_mark>& from)
{
    std::vector<job_mark> out;
    for (const auto& each : from)
        out.push_back({each.job, {each.epoch, each.count}, each.mismatch});
    return out;
}

packed_answer to_packed(const append_answer& from)
{
    return {static_cast<std::uint8_t>(from.result), from.epoch,
            to_packed(from.jobs)};
}

append_answer from_packed(const packed_answer& from)
{
    return {static_cast<append_answer::verdict>(from.result), from.epoch,
            from_packed(from.jobs)};
}

template <typename Part>
std::vector<job_append> appends_from(std::vector<Part>&& from)
{
    std::vector<job_append> out;
    for (auto& each : from)
        out.push_back(from_packed(std::move(each)));
    return out;
}

} // namespace

std::string pack(const append_call& from)
{
    packed_append_call out{from.partition, from.epoch, from.owner_disk,
                           from.copy_disk, {},         from.expired};
    for (const auto& each : from.jobs)
        out.jobs.push_back(to_packed(each));
    return to_bytes(out);
}

std::string pack(const append_answer& from)
{
    return to_bytes(to_packed(from));
}

std::string pack(const reconcile_call& from)
{
    return to_bytes(packed_reconcile_call{
        from.partition, from.epoch, from.copy_disk, to_packed(from.jobs)});
}

std::string pack(const reconcile_answer& from)
{
    packed_reconcile_answer out{to_packed(from.state), {}};
    for (const auto& each : from.further)
        out.further.push_back(to_packed(each));
    return to_bytes(out);
}

std::string pack(const disk_frame& from)
{
    packed_frame out{static_cast<std::uint8_t>(from.kind),
                     to_packed(from.append),
                     from.partition,
                     from.epoch,
                     {}};
    if (!from.progress.empty())
        out.progress = pack(from.progress);
    return to_bytes(out);
}

std::string pack(const model::job& from)
{
    return to_bytes(to_packed(from));
}

std::optional<append_call> unpack_append(std::string_view bytes)
{
    auto in = from_bytes<packed_append_call>(bytes, "append");
    if (!in)
        return std::nullopt;
    return append_call{in->partition,
                       in->epoch,
                       in->owner_disk,
                       in->copy_disk,
                       appends_from(std::move(in->jobs)),
                       in->expired};
}

std::optional<append_answer> unpack_append_answer(std::string_view bytes)
{
    auto in = from_bytes<packed_answer>(bytes, "append answer");
    if (!in)
        return std::nullopt;
    return from_packed(*in);
}

std::optional<reconcile_call> unpack_reconcile(std::string_view bytes)
{
    auto in = from_bytes<packed_reconcile_call>(bytes, "reconcile");
    if (!in)
        return std::nullopt;
    return reconcile_call{in->partition, in->epoch, in->copy_disk,
                          from_packed(in->jobs)};
}

std::optional<reconcile_answer> unpack_reconcile_answer(std::string_view bytes)
{
    auto in = from_bytes<packed_reconcile_answer>(bytes, "reconcile answer");
    if (!in)
        return std::nullopt;
    return reconcile_answer{from_packed(in->state),
                            appends_from(std::move(in->further))};
}

std::optional<disk_frame> unpack_frame(std::string_view bytes)
{
    auto in = from_bytes<packed_frame>(bytes, "disk frame");
    if (!in)
        return std::nullopt;
    disk_frame out{static_cast<disk_kind>(in->kind),
                   from_packed(std::move(in->append)),
                   in->partition,
                   in->epoch,
                   {}};
    if (in->progress.empty())
        return out;
    auto progress = unpack_progress(in->progress);
    if (!progress)
        return std::nullopt;
    out.progress = std::move(*progress);
    return out;
}

std::optional<model::job> unpack_job(std::string_view bytes)
{
    auto in = from_bytes<packed_job>(bytes, "job");
    if (!in)
        return std::nullopt;
    return from_packed(std::move(*in));
}

std::string placement_text(const model::placement& from)
{
    auto out = nlohmann::json::array();
    for (const auto& each : from.partitions)
        out.push_back({{"epoch", each.epoch},
                       {"owner", each.owner_disk},
                       {"incarnation", each.owner_incarnation},
                       {"copies", each.copies}});
    return out.dump();
}

std::optional<model::placement> parse_placement(std::string_view text)
{
    try
    {
        model::placement out;
        for (const auto& each : nlohmann::json::parse(text))
            out.partitions.push_back(
                {each.at("epoch").get<std::uint64_t>(),
                 each.at("owner").get<std::string>(),
                 each.at("incarnation").get<std::uint64_t>(),
                 each.at("copies").get<std::vector<std::string>>()});
        return out;
    }
    catch (const nlohmann::json::exception& error)
    {
        logging::event(logging::level::error, "placement_unreadable")
            .with("detail", error.what());
        return std::nullopt;
    }
}

} // namespace amaranthhatch::batches
