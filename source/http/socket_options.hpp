#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace amaranthhatch::http
{

/// @brief Sends small writes at once and finds peers that have gone silent.
///
/// Errors are ignored: an option that can't be set leaves a working socket.
void set_traffic_options(boost::asio::ip::tcp::socket& socket);

/// @brief Parses "IP:PORT". Throws errors::failure for anything else.
boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address);

} // namespace amaranthhatch::http
