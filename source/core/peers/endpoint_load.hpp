#pragma once

#include <cstdint>

namespace amaranthhatch::core::peers
{

/// @brief Number of requests that one host is running at an endpoint.
struct endpoint_load
{
    /// Hash of the endpoint's identifier.
    std::uint64_t endpoint = 0;
    std::uint32_t online = 0;
    std::uint32_t batch = 0;
};

} // namespace amaranthhatch::core::peers
