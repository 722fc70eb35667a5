#include "batches/results.hpp"

#include <msgpack.hpp>

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
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, out);
    return {buffer.data(), buffer.size()};
}

std::optional<read_answer> unpack_read_answer(std::string_view bytes)
{
    try
    {
        packed_answer in;
        msgpack::unpack(bytes.data(), bytes.size()).get().convert(in);
        read_answer out{in.total, {}};
        for (auto& each : in.results)
            out.results.push_back(
                {std::move(each.item), each.done, std::move(each.text)});
        return out;
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}

} // namespace amaranthhatch::batches
