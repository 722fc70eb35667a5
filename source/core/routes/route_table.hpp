#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/instant.hpp"

namespace amaranthhatch::core::routes
{

/// @brief What may be repeated on a route, and how its answers come.
enum class route_kind : std::uint8_t
{
    /// May run more than once.
    idempotent,
    /// May run at most once for each request.
    once,
    /// A series of events; at most once unless the route is resumable.
    stream,
    /// Accepts batch jobs whose items run later.
    batch
};

/// @brief A service that takes a share of a route's requests.
struct service_share
{
    std::string service;
    std::uint32_t weight = 1;
};

/// @brief Where requests of one authority and path prefix go, with targets.
struct route
{
    std::string name;
    std::string authority;
    std::string prefix;
    route_kind kind = route_kind::idempotent;
    std::vector<service_share> services;
    /// The longest time a caller is kept waiting.
    milliseconds timeout{};
    /// An answer, or a stream's first event, is on time until then.
    milliseconds target_latency{};
    /// The longest pause in a stream that is still on time.
    milliseconds target_gap{};
    /// Results of a batch job are due this long after it was submitted.
    milliseconds completion_target{};
    /// Items may be given up this long after their job was submitted.
    milliseconds retention{};
    std::uint32_t max_attempts = 1;
    /// Lower ranks are served first.
    std::uint32_t rank = 0;
    bool resumable = false;
    /// Tokens of unfinished items that may wait on the route; 0: no limit.
    std::uint64_t backlog_tokens = 0;
};

/// @brief A pool of equal endpoints.
struct service
{
    std::string name;
    std::uint32_t slots = 0;
    std::uint32_t max_connections = 0;
};

/// @brief Bounds on what callers may send, and how long they may take.
struct caller_limits
{
    std::size_t header_bytes = 16u << 10;
    std::size_t body_bytes = 4u << 20;
    milliseconds header_time{3000};
    milliseconds idle_time{15000};
};

/// @brief All routes and services of one version of the configuration.
class route_table
{
public:
    route_table() = default;
    route_table(std::uint64_t version, std::vector<route> routes,
                std::vector<service> services, caller_limits limits);

    std::uint64_t version() const { return this->current_version; }
    const caller_limits& limits() const { return this->current_limits; }

    /// @brief The route of the authority with the longest prefix of the path,
    /// or null.
    const route* match(std::string_view authority, std::string_view path) const;

    const service* find_service(std::string_view name) const;
    const std::vector<route>& routes() const { return this->all_routes; }

private:
    std::uint64_t current_version = 0;
    std::vector<route> all_routes;
    std::vector<service> services;
    caller_limits current_limits;
    /// Positions in all, longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> by_authority;
};

/// @brief The service of a route that a uniform number in [0, 1) selects.
std::string_view select_service(const route& matched, double uniform);

} // namespace amaranthhatch::core::routes
