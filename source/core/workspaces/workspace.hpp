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

/// @brief A customer's workspace as the operators declare it.
struct workspace
{
    std::string name;
    /// Any of these identifies the workspace's callers.
    std::vector<std::string> keys;
    /// Rank of its requests, in place of their route's; lower is served first.
    std::optional<std::uint32_t> rank;
    /// Limit of its online requests over all hosts.
    rate_limit limit;
    /// Limit of the requests that each entry of the OpenAI-style interface runs
    /// at once for it; 0: none is declared.
    std::uint32_t max_concurrent = 0;
};

} // namespace amaranthhatch::core::workspaces
