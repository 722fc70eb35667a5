#include "core/slots/queue_order.hpp"

namespace amaranthhatch::core::slots
{

namespace
{

// A shorter request is queued ahead of a longer one only if it arrives within
// this time for each token by which it is shorter. The bound keeps long
// requests from starving.
constexpr std::int64_t aging_ms_per_token = 10;

std::int64_t arrival_key(const queue_place& place)
{
    return place.arrived.count();
}

std::int64_t size_key(const queue_place& place)
{
    return place.arrived.count() + aging_ms_per_token * place.expected_tokens;
}

} // namespace

const queue_order first_come{"first_come", arrival_key, 0.0};
const queue_order short_first{"short_first", size_key, 0.2};

const queue_order* find_queue_order(std::string_view name)
{
    for (const queue_order* order : {&first_come, &short_first})
    {
        if (order->name == name)
            return order;
    }
    return nullptr;
}

} // namespace amaranthhatch::core::slots
