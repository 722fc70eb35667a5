#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/routes/route_table.hpp"
#include "forward/header_names.hpp"
#include "host/host_runtime.hpp"
#include "http/async_server.hpp"

namespace amaranthhatch::forward
{

/// @brief Matches each request to a route. Requests of online routes are
/// forwarded to an endpoint, those of batch routes go to the batch handler.
///
/// The version of the configuration in force never decreases. Until the first
/// configuration arrives, every request is refused with 503.
class online_router
{
public:
    /// Handles requests of batch routes; the version is that of the
    /// configuration in which the route was found.
    using batch_handler =
        std::function<void(std::shared_ptr<http::server_exchange> exchange,
                           std::uint64_t configuration_version)>;

    online_router(host::host_runtime& runtime, header_names names,
                  batch_handler batch);

    /// @brief Replaces the configuration in force by a newer version; other
    /// versions are ignored.
    void apply(std::shared_ptr<const core::routes::route_table> table);

    void handle(std::shared_ptr<http::server_exchange> exchange);

    /// @brief The configuration in force, or null.
    std::shared_ptr<const core::routes::route_table> table() const
    {
        return this->configuration;
    }

private:
    void reject(http::server_exchange& exchange, int status,
                std::string_view reason);

    host::host_runtime& runtime;
    header_names names;
    batch_handler batch;
    std::shared_ptr<const core::routes::route_table> configuration;
};

} // namespace amaranthhatch::forward
