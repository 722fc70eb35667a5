#include "batches/results.hpp"

#include "packing/bytes.hpp"

namespace amaranthhatch::batches
{

namespace
{

struct packed_result
{
    std::string item;
    bool done = false;
    std::string text;
    MSGPACK_DEFINE(item, done, text)
};

struct packed_answer
{
    std::uint32_t total = 0;
    std::vector<packed_result> results;
    MSGPACK_DEFINE(total, results)
};

} // namespace

std::string pack(const read_answer& from)
{
    packed_answer out{from.total, {}};
    for (const auto& each : from.results)
        out.results.push_back({each.item, each.done, each.text});
    return packing::to_bytes(out);
}

std::optional<read_answer> unpack_read_answer(std::string_view bytes)
{
    auto in = packing::from_bytes<packed_answer>(bytes, "read answer");
    if (!in)
        return std::nullopt;
    read_answer out{in->total, {}};
    for (auto& each : in->results)
        out.results.push_back(
            {std::move(each.item), each.done, std::move(each.text)});
    return out;
}

} // namespace amaranthhatch::batches
