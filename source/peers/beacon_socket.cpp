#include "peers/beacon_socket.hpp"

#include <algorithm>

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

// Shortest interval between beacons to the own zone. An endpoint runs about
// eight requests of about 700 ms each, so its load changes every 90 ms; a
// quarter of that keeps the loads recent enough.
constexpr core::milliseconds min_zone_interval{20};
// Limits the beacons that a host receives from its zone to 500 per second,
// which take a few percent of a processor.
constexpr core::milliseconds zone_interval_per_host{2};
// Intervals of zone summaries to zones of the same and of other regions.
constexpr core::milliseconds region_interval{40};
constexpr core::milliseconds cross_region_interval{100};
// A host counts as dead after one second without a beacon; in that time it
// sends five.
constexpr core::milliseconds idle_interval{200};

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
                this->handle_datagram({this->buffer.data(), count});
            this->receive();
        });
}

void beacon_socket::handle_datagram(std::string_view bytes)
{
    auto beacon = unpack_beacon(bytes);
    auto now = host::boot_now();
    if (!beacon || !this->peers.receive(*beacon, now))
        return;
    // The leading host of this zone forwards summaries of other zones within
    // its zone; hosts that already have one ignore it.
    if (beacon->zone_summary && this->peers.leads_zone(now))
        this->send_to_zone(std::string(bytes));
    this->on_beacon(*beacon);
}

void beacon_socket::send_soon()
{
    if (this->send_requested || this->stopped)
        return;
    this->send_requested = true;
    auto now = host::boot_now();
    auto hosts = static_cast<int>(this->peers.zone_size(now));
    auto interval = std::max(min_zone_interval, zone_interval_per_host * hosts);
    auto elapsed = now - this->last_sent;
    this->schedule(elapsed >= interval ? core::milliseconds(0)
                                       : interval - elapsed);
}

void beacon_socket::schedule(core::milliseconds after)
{
    this->timer.expires_after(after);
    this->timer.async_wait(
        [this](error_code error)
        {
            if (!error && !this->stopped)
                this->send();
        });
}

void beacon_socket::send()
{
    auto now = host::boot_now();
    this->send_requested = false;
    this->last_sent = now;
    this->peers.expire_loads(now);
    auto beacon = this->compose();
    this->send_to_zone(pack(beacon));
    // Hosts with a disk grant each other leases by beacons, also across zones.
    // The loads are left out, as zone summaries contain them.
    if (this->identity.has_disk &&
        now - this->last_disk_sent >= cross_region_interval)
    {
        this->last_disk_sent = now;
        auto without_loads = beacon;
        without_loads.loads.clear();
        auto bytes = pack(without_loads);
        for (const auto& [name, peer] : this->peers.all())
            if (!peer.disk.empty() && peer.zone != this->identity.zone)
                this->send_to(peer, bytes);
    }
    if (this->peers.leads_zone(now))
        this->send_summary(std::move(beacon), now);
    this->schedule(idle_interval);
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
    summary.zone_summary = true;
    summary.echoes.clear();
    summary.backlogs.clear();
    auto zone_loads = this->peers.zone_loads();
    summary.loads.insert(summary.loads.end(), zone_loads.begin(),
                         zone_loads.end());
    auto bytes = pack(summary);
    for (const auto* peer : this->peers.other_zone_leads(now))
        if (peer->region == this->identity.region ? send_in_region
                                                  : send_across_regions)
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
