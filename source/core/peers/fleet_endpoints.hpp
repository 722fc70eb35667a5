#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/instant.hpp"
#include "core/peers/zone_view.hpp"

namespace amaranthhatch::core::peers
{

/// @brief What the lead of a large zone has to know about endpoints.
class fleet_endpoints
{
public:
    virtual ~fleet_endpoints() = default;

    /// @brief The zone of an endpoint, by its hash in loads; empty where the
    /// endpoint isn't known.
    virtual std::string_view zone_of(std::uint64_t endpoint) const = 0;

    /// @brief The free slots by zone and service: of zones whose loads aren't
    /// known by endpoint, as their leads last told them.
    virtual std::vector<zone_capacity> free_slots(instant now) const = 0;
};

} // namespace amaranthhatch::core::peers
