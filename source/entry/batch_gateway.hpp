#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/messages/jobs.hpp"
#include "entry/refusal_response.hpp"
#include "http/exchange.hpp"
#include "metrics/registry.hpp"
#include "net/rpc_client.hpp"
#include "routing/view_client.hpp"

namespace amaranthhatch::entry
{

/// @brief Serves /v1/files and /v1/batches by way of the batch hosts.
class batch_gateway
{
public:
    batch_gateway(routing::view_client& view, net::rpc_client& peers,
                  metrics::registry& metrics);

    http::response handle(const http::request& asked);

private:
    http::response upload(const http::request& asked);
    http::response content(const std::string& file);
    http::response output(const std::string& job);
    http::response create(const http::request& asked);
    http::response show(const std::string& job, bool cancel);
    http::response refuse(const refusal_notice& notice);

    /// @brief Asks batch hosts in the order of a key until one satisfies.
    template <typename Answer, typename Request>
    std::optional<Answer>
    ask_hosts(std::string_view key, const Request& request,
              core::milliseconds limit,
              const std::function<bool(const Answer&)>& satisfies);

    std::optional<core::messages::job_answer> find_job(const std::string& job,
                                                       bool cancel);

    routing::view_client& view;
    net::rpc_client& peers;
    metrics::registry& metrics;
};

} // namespace amaranthhatch::entry
