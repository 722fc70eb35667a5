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

// A slot is held for about 700 ms by one of eight requests, so that an
// endpoint's load changes every 90 ms; a quarter of that is new enough.
constexpr core::milliseconds zone_spacing{20};
// Each host hears at most 500 beacons a second from its zone, which is a few
// hundredths of its processor.
constexpr core::milliseconds spacing_per_host{2};
// Summaries between zones, of one region and of two.
constexpr core::milliseconds near_spacing{40};
constexpr core::milliseconds far_spacing{100};
// Five beacons fit into the second after which a silent host is not alive.
constexpr core::milliseconds idle_interval{200};

} // namespace

beacon_socket::beacon_socket(boost::asio::io_context& loop,
                             const std::string& address, beacon_identity own,
                             core::peers::peer_table& peers,
                             beacon_source compose, beacon_callback heard)
    : socket(loop), timer(loop), own(std::move(own)), peers(peers),
      compose(std::move(compose)), heard(std::move(heard))
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
                this->take({this->buffer.data(), count});
            this->receive();
        });
}

void beacon_socket::take(std::string_view bytes)
{
    auto beacon = unpack_beacon(bytes);
    auto now = host::boot_now();
    if (!beacon || !this->peers.receive(*beacon, now))
        return;
    // A summary that came from its own zone goes on in this one; hosts that
    // have it already drop it.
    if (beacon->zone_summary && this->peers.leads_zone(now))
        this->send_to_zone(std::string(bytes));
    this->heard(*beacon);
}

void beacon_socket::send_soon()
{
    if (this->urgent || this->stopped)
        return;
    this->urgent = true;
    auto now = host::boot_now();
    auto hosts = static_cast<int>(this->peers.zone_size(now));
    auto spacing = std::max(zone_spacing, spacing_per_host * hosts);
    auto passed = now - this->last_sent;
    this->schedule(passed >= spacing ? core::milliseconds(0)
                                     : spacing - passed);
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
    this->urgent = false;
    this->last_sent = now;
    this->peers.expire_loads(now);
    auto beacon = this->compose();
    this->send_to_zone(pack(beacon));
    if (this->own.has_disk && now - this->last_disk_sent >= far_spacing)
    {
        this->last_disk_sent = now;
        auto without_loads = beacon;
        without_loads.loads.clear();
        auto bytes = pack(without_loads);
        for (const auto& [name, peer] : this->peers.all())
            if (!peer.disk.empty() && peer.zone != this->own.zone)
                this->send_to(peer, bytes);
    }
    if (this->peers.leads_zone(now))
        this->send_summary(std::move(beacon), now);
    this->schedule(idle_interval);
}

void beacon_socket::send_summary(core::peers::beacon summary, core::instant now)
{
    bool near = now - this->last_near_summary >= near_spacing;
    bool far = now - this->last_far_summary >= far_spacing;
    if (!near && !far)
        return;
    if (near)
        this->last_near_summary = now;
    if (far)
        this->last_far_summary = now;
    summary.zone_summary = true;
    summary.echoes.clear();
    summary.backlogs.clear();
    auto others = this->peers.zone_loads();
    summary.loads.insert(summary.loads.end(), others.begin(), others.end());
    auto bytes = pack(summary);
    for (const auto* peer : this->peers.other_zone_leads(now))
        if (peer->region == this->own.region ? near : far)
            this->send_to(*peer, bytes);
}

void beacon_socket::send_to_zone(const std::string& bytes)
{
    for (const auto& [name, peer] : this->peers.all())
        if (peer.zone == this->own.zone)
            this->send_to(peer, bytes);
}

void beacon_socket::send_to(const core::peers::peer& peer,
                            const std::string& bytes)
{
    if (peer.address.empty())
        return;
    try
    {
        auto to = http::parse_endpoint(peer.address);
        error_code ignored;
        // A lost beacon is made up for by the next one.
        this->socket.send_to(boost::asio::buffer(bytes),
                             {to.address(), to.port()}, 0, ignored);
    }
    catch (const errors::failure& error)
    {
        logging::event(logging::level::error, "peer_address_unusable")
            .with("peer", peer.name)
            .with("detail", error.what());
    }
}

} // namespace amaranthhatch::peers
