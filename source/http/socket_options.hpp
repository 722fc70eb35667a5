#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace amaranthhatch::http
{

/// @brief Disables the delay of small writes (TCP_NODELAY) and sets the
/// timeouts that detect unresponsive peers.
///
/// Errors are ignored: the socket works without these options, too.
void set_traffic_options(boost::asio::ip::tcp::socket& socket);

/// @brief Sets whether the connection is reset when its socket is closed, also
/// by the end of the process, instead of ended in order.
void set_reset_on_close(boost::asio::ip::tcp::socket& socket, bool resets);

/// @brief Parses "IP:PORT". Throws errors::failure for anything else.
boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address);

} // namespace amaranthhatch::http
