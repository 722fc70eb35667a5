#include "host/endpoint_health.hpp"

#include <algorithm>

#include "host/boot_clock.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::host
{

using core::endpoints::health_change;
using core::endpoints::shared_health;

namespace
{

std::string_view text_of(core::peers::failure_kind kind)
{
    constexpr std::string_view texts[] = {"broken", "error_status", "stalled"};
    return texts[static_cast<std::size_t>(kind)];
}

std::string_view text_of(health_change::kind what)
{
    constexpr std::string_view texts[] = {
        "endpoint_ejected", "endpoint_on_trial", "endpoint_readmitted"};
    return texts[static_cast<std::size_t>(what)];
}

} // namespace

endpoint_health::endpoint_health(core::endpoints::endpoint_table& table,
                                 const core::peers::peer_table& peers,
                                 peers::beacon_socket& socket,
                                 metrics::recorder& metrics)
    : table(table), peers(peers), socket(socket), metrics(metrics)
{
    socket.set_evidence(
        [this](core::peers::beacon_scope scope)
        { return this->table.health().evidence(scope, boot_now()); });
}

void endpoint_health::add_to(core::peers::beacon& beacon) const
{
    beacon.evidence = this->table.health().evidence(
        core::peers::beacon_scope::host, boot_now());
}

void endpoint_health::receive(const core::peers::beacon& beacon)
{
    if (beacon.evidence.empty())
        return;
    this->table.receive_evidence(beacon, boot_now());
    this->log_changes();
}

void endpoint_health::check()
{
    auto now = boot_now();
    this->table.check_health(now);
    this->log_changes();
    auto& health = this->table.health();
    if (!health.active() && !this->reported)
        return;
    this->reported = health.active();
    constexpr std::string_view family = "hatch_endpoints_unhealthy";
    this->metrics.set(family, "state", "ejected",
                      static_cast<double>(health.ejected_count()));
    this->metrics.set(family, "state", "suspected",
                      static_cast<double>(health.suspected_count(now)));
    // Failures seen here go out with the next beacon.
    if (health.active())
        this->socket.send_soon();
}

void endpoint_health::log_changes()
{
    for (const auto& change : this->table.health().take_changes())
        this->log(change);
}

void endpoint_health::log(const health_change& change)
{
    const auto* endpoint = this->table.find_by_health_key(change.endpoint);
    std::string by;
    for (auto reporter : change.reporters)
        by += (by.empty() ? "" : ",") + this->name_of(reporter);
    auto what = text_of(change.what);
    auto reason = text_of(change.reason);
    this->metrics.count("hatch_endpoint_changes_total", "state",
                        what.substr(std::string_view("endpoint_").size()),
                        "reason", reason);
    logging::event(logging::level::warning, what)
        .with("endpoint", endpoint == nullptr ? std::string_view("unlisted")
                                              : std::string_view(endpoint->id))
        .with("reason", reason)
        .with("scope", change.zone_only ? "zone" : "fleet")
        .with("failed", change.failed)
        .with("answered", change.answered)
        .with("age_ms", change.age.count())
        .with("next_trial_ms", change.pause.count())
        .with("by", by);
}

// A reporter is a host of this zone or the sum of another one.
std::string endpoint_health::name_of(std::uint64_t reporter) const
{
    if (reporter == shared_health::reporter_key(this->peers.name(),
                                                this->peers.incarnation()))
        return this->peers.name();
    for (const auto& [name, peer] : this->peers.all())
    {
        if (reporter == shared_health::reporter_key(name, peer.incarnation))
            return name;
        if (reporter == shared_health::zone_key(peer.zone))
            return "zone:" + peer.zone;
    }
    return "unknown";
}

} // namespace amaranthhatch::host
