#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/key_value_store.hpp"
#include "adapters/model_engine.hpp"
#include "batch/batch_folder.hpp"
#include "batch/batch_peers.hpp"
#include "batch/item_runner.hpp"
#include "batch/job_ownership.hpp"
#include "batch/job_views.hpp"
#include "batch/manifest_cache.hpp"
#include "batch/owned_jobs.hpp"
#include "control/worker_pool.hpp"
#include "core/messages/message_kind.hpp"
#include "metrics/registry.hpp"
#include "net/rpc_client.hpp"
#include "net/rpc_server.hpp"
#include "process/program.hpp"
#include "routing/cancellation_queue.hpp"
#include "routing/generation_run.hpp"
#include "routing/slot_client.hpp"
#include "routing/view_client.hpp"

namespace amaranthhatch::batch
{

/// @brief Settings of a batch host.
struct batch_settings
{
    process::node_settings node;
    std::string listen;
    std::string metrics;
    std::vector<std::string> coordinators;
    std::string folder;
    std::string store;
    unsigned concurrency = 0;
};

/// @brief Reads and checks a batch host's settings file.
batch_settings read_settings(settings::document& from);

/// @brief A batch host: durable jobs, run on slots that may be taken back.
class batch_node
{
public:
    batch_node(batch_settings settings, adapters::model_engine& engine,
               adapters::key_value_store& store, metrics::registry& metrics,
               net::rpc_client& peers);

    void start();

    /// @brief Starts no further item, commits what has ended, and stops.
    void drain();

private:
    using handler = std::string (batch_node::*)(std::string_view frame);
    struct route
    {
        core::messages::message_kind kind;
        handler handle;
        /// Peers' requests have threads of their own, so that hosts which wait
        /// for each other can't use them up.
        bool from_peer;
    };
    static const route routes[];

    void received(std::string_view frame, net::reply_handle reply);
    void answer(const route& by, const std::string& frame,
                net::reply_handle& reply);

    std::string on_ping(std::string_view frame);
    std::string on_file_put(std::string_view frame);
    std::string on_file_get(std::string_view frame);
    std::string on_journal_append(std::string_view frame);
    std::string on_journal_seal(std::string_view frame);
    std::string on_job_submit(std::string_view frame);
    std::string on_job_request(std::string_view frame);
    std::string on_output_request(std::string_view frame);
    std::string on_jobs_request(std::string_view frame);

    batch_settings settings;
    metrics::registry& metrics;
    core::messages::member self;
    routing::view_client view;
    routing::slot_client slots;
    routing::cancellation_queue cancels;
    routing::shared_budget hedges;
    routing::shared_budget retries;
    routing::shared_budget moves;
    batch_folder folder;
    batch_peers peers;
    owned_jobs owned;
    manifest_cache manifests;
    job_views views;
    job_ownership ownership;
    item_runner runner;
    control::worker_pool caller_work;
    control::worker_pool peer_work;
    std::unique_ptr<net::rpc_server> server;
};

} // namespace amaranthhatch::batch
