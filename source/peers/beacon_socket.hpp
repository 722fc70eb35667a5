#pragma once

#include <array>
#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/peers/peer_table.hpp"

namespace amaranthhatch::peers
{

/// @brief Who a beacon socket speaks for.
struct beacon_identity
{
    std::string zone;
    std::string region;
    /// True for hosts with a disk, which hold leases from each other.
    bool has_disk = false;
};

/// @brief Sends this host's beacon to the others, and hears theirs.
///
/// A beacon goes out to the own zone soon after a change of load, and at an
/// interval without one. The host that leads its zone sends the zone's summary
/// to the leads of the other zones, which pass it on in theirs: the links
/// between zones are priced by volume, and their endpoints a later choice.
class beacon_socket
{
public:
    using beacon_source = std::function<core::peers::beacon()>;
    using beacon_callback = std::function<void(const core::peers::beacon&)>;

    /// @brief Binds "IP:PORT". Throws errors::failure if it can't.
    beacon_socket(boost::asio::io_context& loop, const std::string& address,
                  beacon_identity identity, core::peers::peer_table& peers,
                  beacon_source compose, beacon_callback on_beacon);

    void start();
    void stop();

    /// @brief Asks for a beacon to go out soon.
    void send_soon();

private:
    void receive();
    void handle_datagram(std::string_view bytes);
    void schedule(core::milliseconds after);
    void send();
    void send_summary(core::peers::beacon summary, core::instant now);
    void send_to_zone(const std::string& bytes);
    void send_to(const core::peers::peer& peer, const std::string& bytes);

    boost::asio::ip::udp::socket socket;
    boost::asio::steady_timer timer;
    beacon_identity identity;
    core::peers::peer_table& peers;
    beacon_source compose;
    beacon_callback on_beacon;
    std::array<char, 65536> buffer{};
    boost::asio::ip::udp::endpoint sender;
    core::instant last_sent{};
    core::instant last_disk_sent{};
    core::instant last_region_summary{};
    core::instant last_cross_region_summary{};
    bool send_requested = false;
    bool stopped = false;
};

} // namespace amaranthhatch::peers
