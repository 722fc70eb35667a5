#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace amaranthhatch::http
{

/// @brief Disables the delay of small writes (TCP_NODELAY) and sets the
/// timeouts that detect unresponsive peers.
///
/// Errors are ignored: the socket works without these options, too.
void set_traffic_options(boost::asio::ip::tcp::socket& socket);

/// @brief Parses "IP:PORT". Throws errors::failure for anything else.
boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address);

} // namespace amaranthhatch::http
