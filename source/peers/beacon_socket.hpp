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

/// @brief Sends this host's beacon to the others, and hears theirs.
///
/// A beacon goes out soon after a change of load, and at an interval without
/// one. Hosts of another region hear less often: the link between regions is
/// narrow and priced, and their endpoints are the last choice.
class beacon_socket
{
public:
    using beacon_source = std::function<core::peers::beacon()>;
    using beacon_callback = std::function<void(const core::peers::beacon&)>;

    /// @brief Binds "IP:PORT". Throws errors::failure if it can't.
    beacon_socket(boost::asio::io_context& loop, const std::string& address,
                  std::string own_region, core::peers::peer_table& peers,
                  beacon_source compose, beacon_callback heard);

    void start();
    void stop();

    /// @brief Asks for a beacon to go out soon.
    void send_soon();

private:
    void receive();
    void schedule(core::milliseconds after);
    void send();

    boost::asio::ip::udp::socket socket;
    boost::asio::steady_timer timer;
    std::string own_region;
    core::peers::peer_table& peers;
    beacon_source compose;
    beacon_callback heard;
    std::array<char, 65536> buffer{};
    boost::asio::ip::udp::endpoint sender;
    core::instant last_sent{};
    core::instant last_far_sent{};
    bool urgent = false;
    bool stopped = false;
};

} // namespace amaranthhatch::peers
