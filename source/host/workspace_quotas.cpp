#include "host/workspace_quotas.hpp"

#include "errors/contain.hpp"
#include "host/boot_clock.hpp"
#include "peers/quota_packing.hpp"

namespace amaranthhatch::host
{

namespace
{

// Part of the accepted slack that full buckets hold; the rest is for requests
// that are admitted before the hosts hear of each other.
constexpr double slack_share = 0.25;
// Half of the shortest time between two reports of a workspace.
constexpr core::milliseconds collect_interval{25};
constexpr core::milliseconds hosts_interval{500};

} // namespace

workspace_quotas::workspace_quotas(boost::asio::io_context& loop,
                                   std::string own_name,
                                   std::uint64_t incarnation,
                                   peers::beacon_socket& socket,
                                   const core::peers::peer_table& peers,
                                   metrics::recorder& metrics)
    : timer(loop), own_name(std::move(own_name)), socket(socket), peers(peers),
      metrics(metrics), service(this->own_name, incarnation, 0)
{
    socket.on_message([this](std::string_view bytes) { this->receive(bytes); });
}

void workspace_quotas::apply(const core::workspaces::workspace_table& table)
{
    this->service.apply(table, boot_now());
}

void workspace_quotas::set_slack(double requests)
{
    this->service.set_slack(requests * slack_share);
}

core::quotas::admission
workspace_quotas::admit(const core::workspaces::workspace& workspace)
{
    if (!workspace.limit.limited())
        return {true, {}};
    auto now = boot_now();
    this->update_hosts(now);
    auto decision = this->service.admit(workspace, now, uniform());
    this->schedule(core::milliseconds(0));
    return decision;
}

void workspace_quotas::give_back(const core::workspaces::workspace& workspace)
{
    if (!workspace.limit.limited())
        return;
    this->service.give_back(workspace.name);
    this->schedule(collect_interval);
}

// Hosts without a disk admit requests and own buckets. Those of other zones are
// known by their registrations; one that is gone doesn't answer.
void workspace_quotas::update_hosts(core::instant now)
{
    if (this->hosts_updated_at != core::instant::zero() &&
        now - this->hosts_updated_at < hosts_interval)
        return;
    this->hosts_updated_at = now;
    std::vector<std::string> names{this->own_name};
    bool hears_others = false;
    bool knows_others = false;
    for (const auto& [name, peer] : this->peers.all())
    {
        bool alive = this->peers.alive(peer, now);
        hears_others = hears_others || alive;
        knows_others = knows_others || peer.registered;
        if (peer.disk.empty() && !peer.leaving && !peer.address.empty() &&
            (peer.registered || alive))
            names.push_back(name);
    }
    this->service.set_hosts(std::move(names));
    this->service.set_connected(hears_others || !knows_others);
}

void workspace_quotas::receive(std::string_view bytes)
{
    auto message = peers::unpack_quota_message(bytes);
    auto now = boot_now();
    this->update_hosts(now);
    if (const auto* report =
            std::get_if<core::quotas::report_message>(&message))
        this->send(report->sender,
                   peers::pack(this->service.receive(*report, now)));
    else if (const auto* state =
                 std::get_if<core::quotas::state_message>(&message))
        this->service.receive(*state, now);
    if (this->service.active(now))
        this->schedule(collect_interval);
}

void workspace_quotas::send(const std::string& host, std::string_view bytes)
{
    const auto* peer = this->peers.find(host);
    if (peer != nullptr)
        this->socket.send_message(*peer, bytes);
}

void workspace_quotas::collect()
{
    auto now = boot_now();
    this->update_hosts(now);
    auto due = this->service.collect(now);
    for (const auto& [host, message] : due.reports)
        this->send(host, peers::pack(message));
    for (const auto& [host, message] : due.states)
        this->send(host, peers::pack(message));
    this->metrics.set("hatch_quota_buckets_owned",
                      static_cast<double>(this->service.owned()));
    if (this->service.active(now))
        this->schedule(collect_interval);
}

void workspace_quotas::schedule(core::milliseconds after)
{
    if (this->scheduled || this->stopped)
        return;
    this->scheduled = true;
    this->timer.expires_after(after);
    this->timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (error || this->stopped)
                return;
            this->scheduled = false;
            errors::contain("exchange quotas", [this] { this->collect(); });
        });
}

void workspace_quotas::stop()
{
    this->stopped = true;
    this->timer.cancel();
}

} // namespace amaranthhatch::host
