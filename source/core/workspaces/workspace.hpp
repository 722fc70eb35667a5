#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhatch::core::workspaces
{

/// @brief Rate and burst of a token bucket.
struct rate_limit
{
    /// Requests per second over all hosts; 0: not limited.
    double per_second = 0;
    /// Requests that may come at once.
    double burst = 0;

    bool limited() const { return this->per_second > 0; }
    bool operator==(const rate_limit&) const = default;
};

/// @brief A workspace as the configuration declares it.
struct workspace
{
    std::string name;
    std::vector<std::string> keys;
    /// Rank of its requests, in place of their route's; lower is served first.
    std::optional<std::uint32_t> rank;
    rate_limit limit;
};

} // namespace amaranthhatch::core::workspaces
