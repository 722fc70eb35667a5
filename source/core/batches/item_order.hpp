#pragma once

#include "core/instant.hpp"

namespace amaranthhatch::core::batches
{

/// @brief What decides when an open item is run.
struct item_demand
{
    /// Time until its result is due; negative once that has passed.
    milliseconds until_due{};
    /// Time for which it is still expected to hold a slot.
    milliseconds work_left{};
};

/// @brief How likely an item that is run now ends in time.
enum class item_chance
{
    /// It ends in time even if its run is slow or is interrupted.
    safe,
    /// It ends in time if nothing delays it.
    tight,
    /// It ends late.
    late
};

item_chance chance_of(const item_demand& item);

/// @brief True where one item is run before another.
///
/// Answers the load at which more items arrive than the slots can finish for
/// longer than their completion target. By due time alone, each item then
/// starts when hardly any time is left, and nearly all end late. Therefore
/// items that are safe go first, the earliest due of them ahead; then the tight
/// ones with the most time for their work; the late ones are run on slots that
/// would else be idle, the shortest first.
bool runs_before(const item_demand& left, const item_demand& right);

} // namespace amaranthhatch::core::batches
