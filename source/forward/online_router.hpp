#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/hedging/hedge_policy.hpp"
#include "core/routes/route_table.hpp"
#include "core/workspaces/workspace_table.hpp"
#include "forward/caller_identity.hpp"
#include "forward/header_names.hpp"
#include "host/host_runtime.hpp"
#include "http/async_server.hpp"

namespace amaranthhatch::forward
{

/// @brief Matches each request to a route. Requests of online routes are
/// forwarded to an endpoint, those of batch routes go to the batch handler.
///
/// The version of the configuration in force never decreases. Until the first
/// configuration arrives, every request is refused with 503. If the
/// configuration has workspaces, callers need a key, except on routes that
/// allow anonymous ones.
class online_router
{
public:
    /// @brief A request of a batch route.
    struct batch_request
    {
        std::shared_ptr<http::server_exchange> exchange;
        /// Version of the configuration in which the route was found.
        std::uint64_t configuration_version = 0;
        /// The caller's workspace; empty without one.
        std::string workspace;
    };
    using batch_handler = std::function<void(batch_request request)>;

    online_router(host::host_runtime& runtime, header_names names,
                  batch_handler batch, core::hedging::hedge_limit hedges = {});

    /// @brief Replaces the configuration in force by a newer version; other
    /// versions are ignored.
    void apply(std::shared_ptr<const core::routes::route_table> table);

    void handle(std::shared_ptr<http::server_exchange> exchange);

    /// @brief Whose jobs a caller may read and end.
    struct job_access
    {
        /// False if the request was answered, as the caller may see none.
        bool allowed = false;
        /// Only the jobs of this workspace; nothing: all.
        std::optional<std::string> workspace;
    };

    /// @brief Identifies the caller of a request for a job, whatever its route,
    /// and answers the request if it isn't allowed.
    job_access check_job_caller(http::server_exchange& exchange);

    /// @brief True if requests with a key are accepted.
    ///
    /// Always, unless the settings say that a host fails closed whose
    /// configuration isn't confirmed any more.
    bool accepts_keys() const;

    /// @brief The configuration in force, or null.
    std::shared_ptr<const core::routes::route_table> table() const
    {
        return this->configuration;
    }

private:
    void reject(http::server_exchange& exchange, int status,
                std::string_view reason, std::string_view workspace = {},
                core::milliseconds retry_after = {});
    bool check_key(http::server_exchange& exchange,
                   const caller_identity& caller);

    host::host_runtime& runtime;
    header_names names;
    batch_handler batch;
    core::hedging::hedge_policy hedging;
    std::shared_ptr<const core::routes::route_table> configuration;
    core::workspaces::revoked_keys revoked;
};

} // namespace amaranthhatch::forward
