#pragma once

#include <string>
#include <string_view>

#include "core/configuration/declarations.hpp"
#include "entry/refusal_response.hpp"
#include "http/client.hpp"
#include "http/exchange.hpp"
#include "metrics/registry.hpp"
#include "routing/claim_client.hpp"
#include "routing/generation_run.hpp"
#include "routing/slot_client.hpp"
#include "routing/view_client.hpp"

namespace amaranthhatch::entry
{

/// @brief Forwards calls to plain services, some of which may run only once.
class service_handler
{
public:
    service_handler(routing::slot_source& slots, routing::claim_client& claims,
                    routing::shared_budget& retries, routing::view_client& view,
                    metrics::registry& metrics);

    /// @brief Serves a path below /services/NAME.
    http::response handle(const http::request& asked);

private:
    struct service_call
    {
        const http::request& asked;
        const core::configuration::service& service;
        const core::configuration::work_class& by;
        std::string path;
        std::string key;
    };

    http::response call_once(const service_call& call);
    http::response call_repeatable(const service_call& call);
    http::reply send(const service_call& call, const routing::slot_ptr& slot);
    routing::slot_result acquire(const service_call& call,
                                 const std::vector<std::string>& excluded);
    http::response refuse(const refusal_notice& notice);

    routing::slot_source& slots;
    routing::claim_client& claims;
    routing::shared_budget& retries;
    routing::view_client& view;
    metrics::registry& metrics;
};

} // namespace amaranthhatch::entry
