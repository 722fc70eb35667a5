#include "peers/beacon_socket.hpp"

#include <algorithm>
#include <map>

#include "errors/contain.hpp"
#include "errors/failure.hpp"
#include "host/boot_clock.hpp"
#include "http/socket_options.hpp"
#include "logging/event.hpp"
#include "peers/packing.hpp"

namespace amaranthhatch::peers
{

using udp = boost::asio::ip::udp;
using error_code = boost::system::error_code;

namespace
{

// Zones of more hosts than this use relays, as messages from each to each grow
// with the square of their number.
constexpr std::size_t direct_zone_size = 16;
// Shortest interval between beacons to the own zone. An endpoint runs about
// eight requests of about 700 ms each, so its load changes every 90 ms; a
// quarter of that keeps the loads recent enough.
constexpr core::milliseconds min_zone_interval{20};
// Limits the beacons that a host or a relay receives from its zone to 500 per
// second, which take a few percent of a processor.
constexpr core::milliseconds zone_interval_per_host{2};
// Interval at which the lead of a large zone checks whether a view is due.
constexpr core::milliseconds lead_interval{50};
// Interval at which a host shows the hosts of a large zone that it lives, per
// host: each receives about 25 of these a second.
constexpr core::milliseconds presence_interval_per_host{40};
// Intervals of zone summaries to zones of the same and of other regions.
constexpr core::milliseconds region_interval{40};
constexpr core::milliseconds cross_region_interval{100};
// Interval of beacons to hosts that share a partition; a lease lasts for eight
// of them.
constexpr core::milliseconds partner_interval{100};
// Interval of beacons to the other hosts with a disk, per such host: each
// receives at most 50 a second.
constexpr core::milliseconds disk_interval_per_host{20};
// A host counts as dead after one second without a beacon; in that time it
// sends five.
constexpr core::milliseconds idle_interval{200};

// Begins messages that aren't beacons; MessagePack never uses this byte.
constexpr char message_mark = '\xc1';

core::peers::beacon without_loads(const core::peers::beacon& beacon,
                                  core::milliseconds next_within)
{
    auto out = beacon;
    out.scope = core::peers::beacon_scope::presence;
    out.loads.clear();
    out.evidence.clear();
    out.next_within = next_within;
    return out;
}

} // namespace

beacon_socket::beacon_socket(boost::asio::io_context& loop,
                             const std::string& address,
                             beacon_identity identity,
                             core::peers::peer_table& peers,
                             beacon_source compose, beacon_callback on_beacon)
    : socket(loop), timer(loop), identity(std::move(identity)), peers(peers),
      compose(std::move(compose)), on_beacon(std::move(on_beacon))
{
    auto parsed = http::parse_endpoint(address);
    error_code error;
    this->socket.open(udp::v4(), error);
    if (!error)
        this->socket.bind({parsed.address(), parsed.port()}, error);
    if (!error)
        this->socket.non_blocking(true, error);
    if (error)
        throw errors::failure("bind datagrams", address, error.message());
}

void beacon_socket::start()
{
    this->receive();
    this->send();
}

void beacon_socket::stop()
{
    this->stopped = true;
    this->timer.cancel();
    error_code ignored;
    this->socket.close(ignored);
}

void beacon_socket::receive()
{
    this->socket.async_receive_from(
        boost::asio::buffer(this->buffer), this->sender,
        [this](error_code error, std::size_t count)
        {
            if (this->stopped)
                return;
            if (!error)
                errors::contain(
                    "handle a beacon",
                    [&] {
                        this->handle_datagram({this->buffer.data(), count});
                    });
            this->receive();
        });
}

void beacon_socket::handle_datagram(std::string_view bytes)
{
    if (bytes.starts_with(message_mark))
    {
        if (this->handle_message)
            this->handle_message(bytes.substr(1));
        return;
    }
    auto beacon = unpack_beacon(bytes);
    auto now = host::boot_now();
    if (!beacon || !this->peers.receive(*beacon, now))
        return;
    bool leads = this->peers.leads_zone(now);
    bool large = this->large_zone(now);
    // The lead of a small zone forwards summaries of other zones within its
    // zone; hosts that already have one ignore it.
    bool summary = beacon->scope == core::peers::beacon_scope::zone ||
                   beacon->scope == core::peers::beacon_scope::part;
    if (summary && leads && !large)
        this->send_to_zone(std::string(bytes));
    if (leads && large)
        this->send_soon();
    this->on_beacon(*beacon);
}

void beacon_socket::on_message(message_handler handler)
{
    this->handle_message = std::move(handler);
}

void beacon_socket::set_evidence(evidence_source source)
{
    this->evidence = std::move(source);
}

void beacon_socket::send_message(const core::peers::peer& peer,
                                 std::string_view bytes)
{
    this->send_to(peer, message_mark + std::string(bytes));
}

void beacon_socket::send_soon()
{
    if (this->send_requested || this->stopped)
        return;
    this->send_requested = true;
    auto now = host::boot_now();
    auto interval = this->send_interval(now);
    auto elapsed = now - this->last_sent;
    this->schedule(elapsed >= interval ? core::milliseconds(0)
                                       : interval - elapsed);
}

bool beacon_socket::large_zone(core::instant now) const
{
    return this->peers.zone_size(now) > direct_zone_size;
}

core::milliseconds beacon_socket::send_interval(core::instant now) const
{
    auto hosts = static_cast<int>(this->peers.zone_size(now));
    if (this->large_zone(now) && this->peers.leads_zone(now))
        return lead_interval;
    return std::max(min_zone_interval, zone_interval_per_host * hosts);
}

void beacon_socket::schedule(core::milliseconds after)
{
    this->timer.expires_after(after);
    this->timer.async_wait(
        [this](error_code error)
        {
            if (error || this->stopped)
                return;
            if (!errors::contain("send a beacon", [this] { this->send(); }))
                this->schedule(idle_interval);
        });
}

void beacon_socket::send()
{
    auto now = host::boot_now();
    this->send_requested = false;
    this->last_sent = now;
    this->peers.expire_loads(now);
    this->peers.check_relays(now);
    auto beacon = this->compose();
    beacon.next_within = idle_interval;
    bool leads = this->peers.leads_zone(now);
    if (!this->large_zone(now))
        this->send_to_zone(pack(beacon));
    else if (leads)
        this->send_zone_view(beacon, now);
    else
        this->send_by_relays(beacon, now);
    if (this->identity.has_disk)
        this->send_to_disks(beacon, now);
    if (leads && this->large_zone(now))
        this->send_parts(beacon, now);
    if (leads)
        this->send_summary(std::move(beacon), now);
    this->schedule(idle_interval);
}

void beacon_socket::send_by_relays(const core::peers::beacon& beacon,
                                   core::instant now)
{
    this->peers.add_report(beacon.sent_ms, beacon.loads);
    auto bytes = pack(beacon);
    for (const auto* relay : this->peers.relays(now))
        this->send_to(*relay, bytes);
    this->send_presence(beacon, now);
    this->request_view(beacon, now);
}

// The second relay shows itself as often as the lead, so that both are known to
// live when one of them has to be replaced.
void beacon_socket::send_presence(const core::peers::beacon& beacon,
                                  core::instant now)
{
    auto hosts = static_cast<int>(this->peers.zone_size(now));
    auto interval = this->peers.is_relay(now)
                        ? idle_interval
                        : presence_interval_per_host * hosts;
    if (now - this->last_presence < interval)
        return;
    this->last_presence = now;
    auto bytes = pack(without_loads(beacon, interval));
    auto relays = this->peers.relays(now);
    for (const auto& [name, peer] : this->peers.all())
        if (peer.zone == this->identity.zone &&
            std::find(relays.begin(), relays.end(), &peer) == relays.end())
            this->send_to(peer, bytes);
}

// Hosts that share a partition grant each other leases by beacons. The loads
// are left out, as summaries contain them; so are the echoes where the receiver
// shares no partition.
void beacon_socket::send_to_disks(const core::peers::beacon& beacon,
                                  core::instant now)
{
    auto others = std::count_if(
        this->peers.all().begin(), this->peers.all().end(),
        [](const auto& named) { return !named.second.disk.empty(); });
    auto disks_interval = std::max(
        partner_interval, disk_interval_per_host * static_cast<int>(others));
    bool to_partners = now - this->last_partners_sent >= partner_interval;
    bool to_all = now - this->last_disks_sent >= disks_interval;
    if (!to_partners && !to_all)
        return;
    this->last_partners_sent = to_partners ? now : this->last_partners_sent;
    this->last_disks_sent = to_all ? now : this->last_disks_sent;
    auto partner_bytes = pack(without_loads(beacon, idle_interval));
    auto other = without_loads(beacon, disks_interval + idle_interval);
    other.echoes.clear();
    auto other_bytes = pack(other);
    bool large = this->large_zone(now);
    for (const auto& [name, peer] : this->peers.all())
    {
        bool told_in_zone = peer.zone == this->identity.zone && !large;
        if (peer.disk.empty() || told_in_zone)
            continue;
        if (this->peers.is_partner(peer) ? to_partners : to_all)
            this->send_to(peer, this->peers.is_partner(peer) ? partner_bytes
                                                             : other_bytes);
    }
}

void beacon_socket::send_summary(core::peers::beacon summary, core::instant now)
{
    bool send_in_region = now - this->last_region_summary >= region_interval;
    bool send_across_regions =
        now - this->last_cross_region_summary >= cross_region_interval;
    if (!send_in_region && !send_across_regions)
        return;
    if (send_in_region)
        this->last_region_summary = now;
    if (send_across_regions)
        this->last_cross_region_summary = now;
    summary.scope = core::peers::beacon_scope::zone;
    summary.evidence = this->evidence(summary.scope);
    summary.echoes.clear();
    summary.backlogs.clear();
    auto zone_loads = this->peers.zone_loads();
    summary.loads.insert(summary.loads.end(), zone_loads.begin(),
                         zone_loads.end());
    auto bytes = pack(summary);
    for (const auto* peer : this->peers.other_zone_leads(now))
        if (!this->takes_parts(*peer, now) &&
            (peer->region == this->identity.region ? send_in_region
                                                   : send_across_regions))
            this->send_to(*peer, bytes);
}

void beacon_socket::send_to_zone(const std::string& bytes)
{
    for (const auto& [name, peer] : this->peers.all())
        if (peer.zone == this->identity.zone)
            this->send_to(peer, bytes);
}

void beacon_socket::send_to(const core::peers::peer& peer,
                            const std::string& bytes)
{
    if (peer.address.empty())
        return;
    try
    {
        auto destination = http::parse_endpoint(peer.address);
        error_code ignored;
        // Send errors are ignored; the next beacon replaces a lost one.
        this->socket.send_to(boost::asio::buffer(bytes),
                             {destination.address(), destination.port()}, 0,
                             ignored);
    }
    catch (const errors::failure& error)
    {
        logging::event(logging::level::error, "peer_address_unusable")
            .with("peer", peer.name)
            .with("detail", error.what());
    }
}

} // namespace amaranthhatch::peers
