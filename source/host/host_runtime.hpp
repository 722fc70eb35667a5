#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/endpoints/endpoint_table.hpp"
#include "core/peers/peer_table.hpp"
#include "host/host_settings.hpp"
#include "http/async_client.hpp"
#include "http/async_server.hpp"
#include "metrics/recorder.hpp"
#include "peers/beacon_socket.hpp"
#include "store/mirror.hpp"

namespace amaranthhatch::host
{

/// @brief Where the parts of the shared store lie.
struct store_layout
{
    std::string configuration_prefix;
    std::string endpoint_prefix;
    /// Keys that belong to this system.
    std::string system_prefix;
};

/// @brief The parts of the store that every host copies, in beacon order.
enum class mirrored_part : std::uint8_t
{
    configuration,
    system,
    endpoints
};

/// @brief What every process of the system has: its copies of the store, the
/// other hosts, endpoints with their load, and the port for internal calls.
class host_runtime
{
public:
    using handler = http::async_server::handler;
    using change_callback = std::function<void()>;

    host_runtime(boost::asio::io_context& loop, http::async_client& client,
                 metrics::recorder& metrics, store::async_store& store,
                 host_settings settings, store_layout layout,
                 std::string disk_id);

    /// @brief Answers internal calls whose path starts with a prefix.
    void serve(std::string prefix, handler handle);

    /// @brief Adds parts to each beacon, such as backlogs.
    void extend_beacon(std::function<void(core::peers::beacon&)> extend);

    /// @brief Calls back after a change of a copied part.
    void on_change(mirrored_part part, change_callback changed);

    /// @brief Calls back after each beacon of another host.
    void on_beacon(change_callback callback);

    void start();

    /// @brief Goes on with changed bounds, seeds or store address.
    void change_settings(const host_settings& changed);

    /// @brief Says to the others that this host leaves.
    void leave();

    /// @brief Ends the registration, all copies and beacons.
    void stop();

    const store::mirror& mirror_of(mirrored_part part) const;
    core::peers::peer_table& peers() { return this->peer_hosts; }
    core::endpoints::endpoint_table& endpoints() { return this->table; }
    const host_settings& settings() const { return this->current_settings; }
    const std::string& system_prefix() const
    {
        return this->layout.system_prefix;
    }
    std::uint64_t incarnation() const { return this->own_incarnation; }
    boost::asio::io_context& event_loop() { return this->loop; }
    http::async_client& http_client() { return this->client; }
    metrics::recorder& metrics_recorder() { return this->metrics; }
    store::async_store& shared_store() { return this->store; }

    /// @brief Tells the others soon of a change of this host's load.
    void load_changed() { this->socket.send_soon(); }

private:
    core::peers::beacon compose_beacon();
    void handle_internal_call(std::shared_ptr<http::server_exchange> exchange);
    void respond_with_copy(http::server_exchange& exchange) const;
    void on_system_change();
    void check_mirrors();
    const core::peers::peer* newest_copy(std::size_t part,
                                         core::instant now) const;
    void follow_peers(std::size_t part, core::instant now);
    void pull(std::size_t part, const std::string& peer_name,
              const std::string& address);
    void pull_from_seeds();
    void register_host();
    void write_registration(std::uint64_t lease);
    void renew();
    std::string registration_key() const;
    bool registration_missing() const;
    void schedule_registration(core::milliseconds after,
                               std::function<void()> step);
    void schedule_check();

    boost::asio::io_context& loop;
    http::async_client& client;
    metrics::recorder& metrics;
    store::async_store& store;
    host_settings current_settings;
    store_layout layout;
    std::string disk_id;
    std::uint64_t own_incarnation;
    core::peers::peer_table peer_hosts;
    core::endpoints::endpoint_table table;
    peers::beacon_socket socket;
    std::vector<std::unique_ptr<store::mirror>> mirrors;
    std::vector<std::vector<change_callback>> listeners;
    std::vector<change_callback> beacon_listeners;
    std::vector<std::function<void(core::peers::beacon&)>> beacon_extenders;
    std::map<std::string, handler, std::greater<>> handlers;
    std::unique_ptr<http::async_server> internal_server;
    std::unique_ptr<http::async_server> seed_server;
    boost::asio::steady_timer check_timer;
    boost::asio::steady_timer registration_timer;
    std::vector<bool> pulling;
    /// Since when a newer copy is known and hasn't arrived; zero: not so.
    std::vector<core::instant> behind_since;
    std::uint64_t lease = 0;
    std::size_t next_seed = 0;
    bool leaving = false;
    bool stopped = false;
};

} // namespace amaranthhatch::host
