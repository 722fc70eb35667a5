#include "batches/progress_messages.hpp"

#include "packing/bytes.hpp"

namespace amaranthhatch::batches
{

namespace model = core::batches;

namespace
{

struct packed_delta
{
    std::string job;
    std::uint32_t item = 0;
    std::uint64_t epoch = 0;
    std::uint32_t attempt = 0;
    std::uint64_t from = 0;
    std::vector<std::string> data;
    std::string last_id;
    MSGPACK_DEFINE(job, item, epoch, attempt, from, data, last_id)
};

struct packed_mark
{
    std::string job;
    std::uint32_t item = 0;
    std::uint64_t epoch = 0;
    std::uint32_t attempt = 0;
    std::uint64_t count = 0;
    MSGPACK_DEFINE(job, item, epoch, attempt, count)
};

} // namespace

std::string pack(const std::vector<model::progress_delta>& from)
{
    std::vector<packed_delta> out;
    for (const auto& each : from)
        out.push_back({each.job, each.item, each.epoch, each.attempt,
                       each.offset, each.data, each.last_id});
    return packing::to_bytes(out);
}

std::string pack(const std::vector<model::progress_mark>& from)
{
    std::vector<packed_mark> out;
    for (const auto& each : from)
        out.push_back(
            {each.job, each.item, each.epoch, each.attempt, each.count});
    return packing::to_bytes(out);
}

std::optional<std::vector<model::progress_delta>>
unpack_progress(std::string_view bytes)
{
    auto in = packing::from_bytes<std::vector<packed_delta>>(bytes, "progress");
    if (!in)
        return std::nullopt;
    std::vector<model::progress_delta> out;
    for (auto& each : *in)
        out.push_back({std::move(each.job), each.item, each.epoch, each.attempt,
                       each.from, std::move(each.data),
                       std::move(each.last_id)});
    return out;
}

std::optional<std::vector<model::progress_mark>>
unpack_progress_marks(std::string_view bytes)
{
    auto in =
        packing::from_bytes<std::vector<packed_mark>>(bytes, "progress marks");
    if (!in)
        return std::nullopt;
    std::vector<model::progress_mark> out;
    for (auto& each : *in)
        out.push_back({std::move(each.job), each.item, each.epoch, each.attempt,
                       each.count});
    return out;
}

} // namespace amaranthhatch::batches
