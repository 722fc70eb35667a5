#pragma once

#include <cstdint>
#include <string_view>

#include "core/instant.hpp"

namespace amaranthhatch::core::slots
{

/// @brief What the order of waiting requests depends on.
struct queue_place
{
    instant arrived{};
    std::uint32_t rank = 0;
    std::uint32_t expected_tokens = 0;
};

/// @brief The order in which waiting online requests get slots.
struct queue_order
{
    std::string_view name;
    /// Lower keys are served first among requests of one rank.
    std::int64_t (*key)(const queue_place& place);
    /// Share of an endpoint's slots that long requests leave to short ones.
    double short_reserve_share;
};

/// @brief First come, first served; the baseline.
extern const queue_order first_come;

/// @brief Short before long; a long request's wait is bounded by its size.
extern const queue_order short_first;

/// @brief The order of a name, or nullptr.
const queue_order* find_queue_order(std::string_view name);

} // namespace amaranthhatch::core::slots
