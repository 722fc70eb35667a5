#include "peers/beacon_socket.hpp"

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
constexpr core::milliseconds near_spacing{20};
constexpr core::milliseconds far_spacing{100};
// Five beacons fit into the second after which a silent host is not alive.
constexpr core::milliseconds idle_interval{200};

} // namespace

beacon_socket::beacon_socket(boost::asio::io_context& loop,
                             const std::string& address, std::string own_region,
                             core::peers::peer_table& peers,
                             beacon_source compose, beacon_callback heard)
    : socket(loop), timer(loop), own_region(std::move(own_region)),
      peers(peers), compose(std::move(compose)), heard(std::move(heard))
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
            {
                auto beacon = unpack_beacon({this->buffer.data(), count});
                if (beacon && this->peers.hear(*beacon, host::boot_now()))
                    this->heard(*beacon);
            }
            this->receive();
        });
}

void beacon_socket::send_soon()
{
    if (this->urgent || this->stopped)
        return;
    this->urgent = true;
    auto passed = host::boot_now() - this->last_sent;
    this->schedule(passed >= near_spacing ? core::milliseconds(0)
                                          : near_spacing - passed);
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
    bool far = now - this->last_far_sent >= far_spacing;
    if (far)
        this->last_far_sent = now;
    this->peers.refresh_loads(now);
    auto bytes = pack(this->compose());
    for (const auto& [name, peer] : this->peers.all())
    {
        if (peer.address.empty() || (!far && peer.region != this->own_region))
            continue;
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
                .with("peer", name)
                .with("detail", error.what());
        }
    }
    this->schedule(idle_interval);
}

} // namespace amaranthhatch::peers
