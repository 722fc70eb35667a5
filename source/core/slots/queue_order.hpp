#pragma once

#include <cstdint>
#include <string_view>

#include "core/instant.hpp"

namespace amaranthhatch::core::slots
{

/// @brief Properties of a waiting request that decide its place in the queue.
struct queue_place
{
    instant arrived{};
    std::uint32_t rank = 0;
    std::uint32_t expected_tokens = 0;
};

/// @brief A policy that decides which waiting request gets the next slot.
struct queue_order
{
    std::string_view name;
    /// Sort key; among requests of one rank, lower keys are served first.
    std::int64_t (*key)(const queue_place& place);
    /// Share of each endpoint's slots that long requests may not occupy.
    double short_reserve_share;
};

/// @brief First come, first served; the baseline for comparisons.
extern const queue_order first_come;

/// @brief Serves short requests before long ones.
///
/// Requests age while they wait, which bounds the wait of a long request in
/// proportion to its size.
extern const queue_order short_first;

/// @brief Returns the order with the given name, or nullptr.
const queue_order* find_queue_order(std::string_view name);

} // namespace amaranthhatch::core::slots
