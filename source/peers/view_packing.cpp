#include "peers/view_packing.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <vector>

#include "packing/bytes.hpp"

namespace amaranthhatch::peers
{

namespace
{

using core::peers::view_message;

// More requests than an endpoint can have; bounds what a malformed message
// makes of a number.
constexpr std::uint64_t largest_load = 1u << 20;
// Far more endpoints than a zone has.
constexpr std::uint64_t largest_index = 1u << 20;

struct packed_view
{
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::uint64_t base = 0;
    std::uint32_t first_key = 0;
    std::vector<std::uint64_t> keys;
    /// Runs of neighbouring positions: the distance from the run before, the
    /// length, and as many pairs of loads.
    std::vector<std::uint64_t> runs;
    /// By service: its key, and pairs of a zone's key and its free slots.
    std::map<std::uint64_t, std::vector<std::uint64_t>> capacities;
    MSGPACK_DEFINE(epoch, sequence, base, first_key, keys, runs, capacities)
};

// Szudzik's pairing: two numbers up to ten give one below 128, which
// MessagePack stores as one byte.
std::uint64_t paired(std::uint64_t first, std::uint64_t second)
{
    first = std::min(first, largest_load);
    second = std::min(second, largest_load);
    return first < second ? second * second + first
                          : first * first + first + second;
}

view_message::indexed_load unpaired(std::uint32_t index, std::uint64_t number)
{
    auto root =
        static_cast<std::uint64_t>(std::sqrt(static_cast<double>(number)));
    auto rest = number - root * root;
    auto first = rest < root ? rest : root;
    auto second = rest < root ? root : rest - root;
    return {index, static_cast<std::uint32_t>(first),
            static_cast<std::uint32_t>(second)};
}

std::vector<std::uint64_t>
runs_of(const std::vector<view_message::indexed_load>& loads)
{
    std::vector<std::uint64_t> out;
    std::uint32_t next = 0;
    for (std::size_t start = 0; start < loads.size();)
    {
        auto end = start + 1;
        while (end < loads.size() &&
               loads[end].index == loads[end - 1].index + 1)
            end++;
        out.push_back(loads[start].index - next);
        out.push_back(end - start);
        for (; start < end; start++)
            out.push_back(paired(loads[start].online, loads[start].batch));
        next = loads[end - 1].index + 1;
    }
    return out;
}

std::optional<std::vector<view_message::indexed_load>>
loads_of(const std::vector<std::uint64_t>& runs)
{
    std::vector<view_message::indexed_load> out;
    std::uint64_t index = 0;
    for (std::size_t position = 0; position + 2 <= runs.size();)
    {
        auto distance = runs[position];
        auto length = runs[position + 1];
        position += 2;
        if (distance > largest_index || length > runs.size() - position ||
            index + distance + length > largest_index)
            return std::nullopt;
        index += distance;
        for (auto end = position + length; position < end; position++)
        {
            if (runs[position] > (largest_load + 1) * (largest_load + 1))
                return std::nullopt;
            out.push_back(
                unpaired(static_cast<std::uint32_t>(index++), runs[position]));
        }
    }
    return out;
}

} // namespace

std::string pack(const view_message& view)
{
    packed_view packed;
    packed.epoch = view.epoch;
    packed.sequence = view.sequence;
    packed.base = view.base;
    packed.first_key = view.first_key;
    packed.keys = view.keys;
    packed.runs = runs_of(view.loads);
    for (const auto& each : view.capacities)
    {
        auto& pairs = packed.capacities[each.service];
        pairs.push_back(each.zone);
        pairs.push_back(each.free);
    }
    return packing::to_bytes(packed);
}

std::optional<view_message> unpack_view(std::string_view bytes)
{
    auto packed = packing::from_bytes<packed_view>(bytes, "view");
    if (!packed || packed->first_key > largest_index)
        return std::nullopt;
    auto loads = loads_of(packed->runs);
    if (!loads)
        return std::nullopt;
    view_message view{packed->epoch,
                      packed->sequence,
                      packed->base,
                      packed->first_key,
                      packed->keys,
                      std::move(*loads),
                      {}};
    for (const auto& [service, pairs] : packed->capacities)
        for (std::size_t at = 0; at + 1 < pairs.size(); at += 2)
            view.capacities.push_back(
                {pairs[at], service,
                 static_cast<std::uint32_t>(pairs[at + 1])});
    return view;
}

} // namespace amaranthhatch::peers
