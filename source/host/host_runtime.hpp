#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/endpoints/endpoint_table.hpp"
#include "core/peers/peer_table.hpp"
#include "host/endpoint_health.hpp"
#include "host/host_settings.hpp"
#include "host/quarantine_entries.hpp"
#include "host/quarantine_trials.hpp"
#include "host/shared_quarantine.hpp"
#include "host/workspace_quotas.hpp"
#include "http/async_client.hpp"
#include "http/async_server.hpp"
#include "http/response_budget.hpp"
#include "metrics/recorder.hpp"
#include "peers/beacon_socket.hpp"
#include "store/mirror.hpp"

namespace amaranthhatch::host
{

/// @brief Key prefixes of the parts of the shared store.
struct store_layout
{
    std::string configuration_prefix;
    std::string endpoint_prefix;
    /// Keys that this system itself writes, such as registrations.
    std::string system_prefix;
};

/// @brief The parts of the store that every host mirrors, in the order of
/// their revisions in beacons.
enum class mirrored_part : std::uint8_t
{
    configuration,
    /// The registrations of the system's own hosts, and the prompt parts that
    /// they have quarantined.
    hosts,
    /// Which disks hold which partitions of the jobs.
    placement,
    endpoints
};

/// @brief State and services common to all processes of the system: mirrors of
/// the store, the table of other hosts, the table of endpoints with their
/// loads, the host's registration, and the server for internal calls.
class host_runtime
{
public:
    using handler = http::async_server::handler;
    using change_callback = std::function<void()>;

    host_runtime(boost::asio::io_context& loop, http::async_client& client,
                 metrics::recorder& metrics, store::async_store& store,
                 host_settings settings, store_layout layout,
                 std::string disk_id);

    /// @brief Bounds of the server for callers.
    http::server_bounds caller_bounds();

    /// @brief Bounds of servers that answer short questions, such as the
    /// balancer's.
    http::server_bounds minor_port_bounds();

    /// @brief Registers a handler for internal calls with a path prefix.
    void serve(std::string prefix, handler handle);

    /// @brief Adds a callback that sets further beacon fields, such as
    /// backlogs.
    void extend_beacon(std::function<void(core::peers::beacon&)> extend);

    /// @brief Adds a callback for changes of a mirrored part.
    void on_change(mirrored_part part, change_callback changed);

    /// @brief Adds a callback for each beacon received from another host.
    void on_beacon(change_callback callback);

    void start();

    /// @brief Applies reloaded settings: limits, seeds or the store address.
    void change_settings(const host_settings& changed);

    /// @brief Announces in the beacons that this host leaves.
    void leave();

    /// @brief The time until this host, which leaves, ends the requests that
    /// are open then; nothing while it doesn't leave.
    std::optional<core::milliseconds> time_until_stop() const;

    /// @brief Revokes the registration and stops mirrors and beacons.
    void stop();

    const store::mirror& mirror_of(mirrored_part part) const;
    core::peers::peer_table& peers() { return this->peer_hosts; }
    const core::peers::peer_table& peers() const { return this->peer_hosts; }
    core::endpoints::endpoint_table& endpoints() { return this->table; }
    shared_quarantine& quarantine() { return this->prompt_quarantine; }
    quarantine_trials& trials() { return this->trial_claims; }
    workspace_quotas& quotas() { return this->request_quotas; }
    const host_settings& settings() const { return this->current_settings; }
    /// @brief The key of the placement of the jobs' partitions.
    std::string placement_key() const;
    std::uint64_t incarnation() const { return this->own_incarnation; }
    boost::asio::io_context& event_loop() { return this->loop; }
    http::async_client& http_client() { return this->client; }
    /// @brief Time since the store last confirmed this host's configuration, to
    /// it or to a host that has told it; nothing if it never has. Only known
    /// where the settings say that hosts fail closed.
    std::optional<core::milliseconds> configuration_age() const;
    /// @brief The memory for responses that are read and not passed on.
    const std::shared_ptr<http::response_budget>& response_budget() const
    {
        return this->responses;
    }
    metrics::recorder& metrics_recorder() { return this->metrics; }
    store::async_store& shared_store() { return this->store; }

    /// @brief Counts and logs an answer of another host that was over its
    /// limits, no HTTP or late.
    void record_broken_answer(std::string_view step, std::string_view peer_name,
                              std::string_view detail);

    /// @brief Schedules a beacon after a change of this host's load.
    void load_changed() { this->socket.send_soon(); }

private:
    http::server_bounds bounds(std::shared_ptr<http::request_budget> requests,
                               std::size_t descriptor_share);
    core::peers::beacon compose_beacon();
    void record_confirmation(const core::peers::beacon& received);
    core::milliseconds configuration_interval() const;
    void handle_internal_call(std::shared_ptr<http::server_exchange> exchange);
    void respond_with_copy(http::server_exchange& exchange) const;
    void on_hosts_change();
    std::string hosts_prefix() const;
    std::string quarantine_prefix() const;
    std::string trials_prefix() const;
    std::string claim_holder() const;
    std::uint32_t capacity() const;
    core::milliseconds pull_interval(core::instant now) const;
    void check_mirrors();
    void clear_unfounded_crashes();
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
    std::shared_ptr<http::response_budget> responses;
    std::shared_ptr<http::request_budget> caller_requests;
    std::shared_ptr<http::request_budget> internal_requests;
    store_layout layout;
    std::string disk_id;
    std::uint64_t own_incarnation;
    core::peers::peer_table peer_hosts;
    core::endpoints::endpoint_table table;
    shared_quarantine prompt_quarantine;
    quarantine_entries quarantined_parts;
    quarantine_trials trial_claims;
    peers::beacon_socket socket;
    endpoint_health shared_endpoint_health;
    workspace_quotas request_quotas;
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
    std::vector<core::instant> last_pull;
    /// Time since which a peer has reported a newer copy of each part that this
    /// host hasn't received; zero: none.
    std::vector<core::instant> behind_since;
    /// When the store last confirmed a configuration as new as this host's, by
    /// the beacons of other hosts.
    std::optional<core::instant> confirmed_by_peers;
    std::uint64_t lease = 0;
    std::size_t next_seed = 0;
    bool leaving = false;
    core::instant leaving_since{};
    bool stopped = false;
};

} // namespace amaranthhatch::host
