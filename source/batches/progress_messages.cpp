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
    std::uint64_t offset = 0;
    std::vector<std::string> data;
    std::string last_id;
    MSGPACK_DEFINE(job, item, epoch, attempt, offset, data, last_id)
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

std::string pack(const std::vector<model::progress_delta>& deltas)
{
    std::vector<packed_delta> packed;
    for (const auto& delta : deltas)
        packed.push_back({delta.job, delta.item, delta.epoch, delta.attempt,
                          delta.offset, delta.data, delta.last_id});
    return packing::to_bytes(packed);
}

std::string pack(const std::vector<model::progress_mark>& marks)
{
    std::vector<packed_mark> packed;
    for (const auto& mark : marks)
        packed.push_back(
            {mark.job, mark.item, mark.epoch, mark.attempt, mark.count});
    return packing::to_bytes(packed);
}

std::optional<std::vector<model::progress_delta>>
unpack_progress(std::string_view bytes)
{
    auto packed =
        packing::from_bytes<std::vector<packed_delta>>(bytes, "progress");
    if (!packed)
        return std::nullopt;
    std::vector<model::progress_delta> deltas;
    for (auto& delta : *packed)
        deltas.push_back({std::move(delta.job), delta.item, delta.epoch,
                          delta.attempt, delta.offset, std::move(delta.data),
                          std::move(delta.last_id)});
    return deltas;
}

std::optional<std::vector<model::progress_mark>>
unpack_progress_marks(std::string_view bytes)
{
    auto packed =
        packing::from_bytes<std::vector<packed_mark>>(bytes, "progress marks");
    if (!packed)
        return std::nullopt;
    std::vector<model::progress_mark> marks;
    for (auto& mark : *packed)
        marks.push_back({std::move(mark.job), mark.item, mark.epoch,
                         mark.attempt, mark.count});
    return marks;
}

} // namespace amaranthhatch::batches
