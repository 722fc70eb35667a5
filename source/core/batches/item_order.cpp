#include "core/batches/item_order.hpp"

namespace amaranthhatch::core::batches
{

namespace
{

// An item is safe if one and a half times its expected work fits into the time
// that is left: slow endpoints and interruptions stretch a run about that much.
constexpr double safe_factor = 1.5;

} // namespace

item_chance chance_of(const item_demand& item)
{
    std::chrono::duration<double, std::milli> safe_time =
        item.work_left * safe_factor;
    if (item.until_due >= safe_time)
        return item_chance::safe;
    return item.until_due >= item.work_left ? item_chance::tight
                                            : item_chance::late;
}

bool runs_before(const item_demand& left, const item_demand& right)
{
    auto left_chance = chance_of(left);
    auto right_chance = chance_of(right);
    if (left_chance != right_chance)
        return left_chance < right_chance;
    if (left_chance == item_chance::safe)
        return left.until_due < right.until_due;
    if (left_chance == item_chance::tight)
        return left.until_due - left.work_left >
               right.until_due - right.work_left;
    return left.work_left < right.work_left;
}

} // namespace amaranthhatch::core::batches
