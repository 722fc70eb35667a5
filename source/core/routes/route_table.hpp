#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/instant.hpp"
#include "core/workspaces/workspace_table.hpp"

namespace amaranthhatch::core::routes
{

/// @brief Whether a route's requests may be repeated, and the form of its
/// responses.
enum class route_kind : std::uint8_t
{
    /// May be executed more than once.
    idempotent,
    /// May be executed at most once.
    once,
    /// Responds with a stream of events; executed at most once unless the route
    /// is resumable.
    stream,
    /// Accepts batch jobs whose items are executed later.
    batch
};

/// @brief A service that receives a share of a route's requests.
struct service_share
{
    std::string service;
    std::uint32_t weight = 1;
};

/// @brief The services and targets for requests of one authority and path
/// prefix.
struct route
{
    std::string name;
    std::string authority;
    std::string prefix;
    route_kind kind = route_kind::idempotent;
    std::vector<service_share> services;
    /// Longest time until the client gets a response.
    milliseconds timeout{};
    /// A response, or the first event of a stream, is on time if it is sent
    /// within this time.
    milliseconds target_latency{};
    /// Longest pause between events of a stream that is on time.
    milliseconds target_gap{};
    /// Deadline of a batch job, counted from its submission.
    milliseconds completion_target{};
    /// Unfinished items may be abandoned this long after the submission.
    milliseconds retention{};
    std::uint32_t max_attempts = 1;
    /// Lower ranks are served first.
    std::uint32_t rank = 0;
    bool resumable = false;
    /// True if callers need no key.
    bool allows_anonymous = false;
    /// Limit on the tokens of the route's unfinished items, for each workspace
    /// if the configuration has workspaces; 0: no limit.
    std::uint64_t backlog_tokens = 0;
};

/// @brief A pool of interchangeable endpoints.
struct service
{
    std::string name;
    std::uint32_t slots = 0;
    std::uint32_t max_connections = 0;
};

/// @brief Limits on the size and duration of clients' requests.
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
                std::vector<service> services, caller_limits limits,
                workspaces::workspace_table declared = {});

    std::uint64_t version() const { return this->current_version; }
    const caller_limits& limits() const { return this->current_limits; }

    /// @brief Returns the authority's route with the longest prefix that
    /// matches the path, or null.
    const route* match(std::string_view authority, std::string_view path) const;

    const std::vector<service>& declared_services() const
    {
        return this->services;
    }
    const service* find_service(std::string_view name) const;
    const std::vector<route>& routes() const { return this->all_routes; }
    const workspaces::workspace_table& workspaces() const
    {
        return this->declared_workspaces;
    }

private:
    std::uint64_t current_version = 0;
    std::vector<route> all_routes;
    std::vector<service> services;
    caller_limits current_limits;
    workspaces::workspace_table declared_workspaces;
    /// Indexes into all_routes for each authority, longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> by_authority;
};

/// @brief Selects a service of the route by weight; uniform is in [0, 1).
std::string_view select_service(const route& matched, double uniform);

} // namespace amaranthhatch::core::routes
