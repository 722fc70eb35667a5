#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/host_list.hpp"
#include "adapters/key_value_store.hpp"
#include "adapters/model_engine.hpp"
#include "control/control_loop.hpp"
#include "control/worker_pool.hpp"
#include "coordinator/member_service.hpp"
#include "coordinator/shared_watcher.hpp"
#include "coordinator/slot_service.hpp"
#include "core/configuration/revision_register.hpp"
#include "metrics/registry.hpp"
#include "net/codec.hpp"
#include "net/rpc_client.hpp"
#include "net/rpc_server.hpp"
#include "process/program.hpp"

namespace amaranthhatch::coordinator
{

/// @brief Settings of a coordinator.
struct coordinator_settings
{
    process::node_settings node;
    std::string listen;
    std::string metrics;
    std::vector<std::string> peers;
    std::string store;
    std::string hosts;
    core::slots::scheduler_options slots;
};

/// @brief Reads and checks a coordinator's settings file.
coordinator_settings read_settings(settings::document& from);

/// @brief A coordinator process: membership, configuration and slots.
class coordinator_node : private shared_state_owner
{
public:
    coordinator_node(coordinator_settings settings,
                     adapters::key_value_store& store,
                     adapters::host_list& hosts, adapters::model_engine& engine,
                     metrics::registry& metrics, net::rpc_client& peers);
    ~coordinator_node() override;

    void start();

    /// @brief Says goodbye to the other members and answers what is open.
    void drain();

private:
    using handler = void (coordinator_node::*)(std::string_view frame,
                                               net::reply_handle& reply);
    struct route
    {
        core::messages::message_kind kind;
        handler handle;
    };
    static const route routes[];

    void received(std::string_view frame, net::reply_handle reply);
    void dispatch(const std::string& frame, net::reply_handle& reply);

    void on_ping(std::string_view frame, net::reply_handle& reply);
    void on_ping_request(std::string_view frame, net::reply_handle& reply);
    void on_view_request(std::string_view frame, net::reply_handle& reply);
    void on_configuration_request(std::string_view frame,
                                  net::reply_handle& reply);
    void on_status_request(std::string_view frame, net::reply_handle& reply);
    void on_want_slot(std::string_view frame, net::reply_handle& reply);
    void on_slot_report(std::string_view frame, net::reply_handle& reply);
    void on_await_yield(std::string_view frame, net::reply_handle& reply);
    void on_endpoints_request(std::string_view frame, net::reply_handle& reply);
    void found_configuration(const stored_configuration& value) override;
    void adopt(std::uint64_t revision, std::string_view text);
    void fetch_newer(const std::string& address);
    void choose_watchers();
    std::uint64_t server_bytes() const;
    void poll_hosts();
    void probe_endpoint(const std::string& group,
                        const core::slots::slot_probe& probe);
    void run_probe(const std::string& group,
                   const core::slots::slot_probe& probe);

    coordinator_settings settings;
    std::string boot;
    adapters::key_value_store& store;
    adapters::host_list& hosts;
    adapters::model_engine& engine;
    metrics::registry& metrics;
    net::rpc_client& peers;
    control::control_loop loop;
    core::configuration::revision_register configuration;
    member_service members;
    slot_service slots;
    shared_watcher watcher;
    control::worker_pool probes;
    bool fetching = false;
    std::atomic<bool> stopping{false};
    std::thread hosts_thread;
    std::unique_ptr<net::rpc_server> server;
};

} // namespace amaranthhatch::coordinator
