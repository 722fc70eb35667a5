#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "adapters/model_engine.hpp"
#include "entry/batch_gateway.hpp"
#include "entry/completion_handler.hpp"
#include "entry/service_handler.hpp"
#include "entry/workspace_limits.hpp"
#include "http/server.hpp"
#include "metrics/registry.hpp"
#include "net/rpc_client.hpp"
#include "process/program.hpp"
#include "routing/cancellation_queue.hpp"
#include "routing/claim_client.hpp"
#include "routing/generation_run.hpp"
#include "routing/slot_client.hpp"
#include "routing/view_client.hpp"

namespace amaranthhatch::entry
{

/// @brief Settings of an entry.
struct entry_settings
{
    process::node_settings node;
    std::string listen;
    std::string metrics;
    std::vector<std::string> coordinators;
    std::size_t body_limit_bytes = 0;
    unsigned connection_limit = 0;
    core::milliseconds drain_notice{};
    core::milliseconds drain_limit{};
    std::string store;
    core::milliseconds claim_window{};
    double hedge_share = 0;
    double retry_share = 0;
    double move_share = 0;
    std::string strategy;
};

/// @brief Reads and checks an entry's settings file.
entry_settings read_settings(settings::document& from);

/// @brief An entry process: callers' HTTP on one side, endpoints on the other.
class entry_node
{
public:
    entry_node(entry_settings settings, adapters::model_engine& engine,
               adapters::key_value_store& store, metrics::registry& metrics,
               net::rpc_client& peers);

    void start();

    /// @brief Lets running requests end; false where the limit passed first.
    bool drain();

private:
    http::response handle(const http::request& asked);
    http::response health() const;

    entry_settings settings;
    metrics::registry& metrics;
    routing::view_client view;
    routing::slot_client coordinated;
    std::unique_ptr<routing::slot_source> baseline;
    routing::slot_source& slots;
    routing::cancellation_queue cancels;
    routing::shared_budget hedges;
    routing::shared_budget retries;
    routing::shared_budget moves;
    workspace_limits limits;
    routing::claim_client claims;
    completion_handler completions;
    service_handler services;
    batch_gateway batches;
    std::atomic<bool> draining{false};
    std::unique_ptr<http::server> server;
};

} // namespace amaranthhatch::entry
