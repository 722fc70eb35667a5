#include "http/socket_options.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>

#include "errors/failure.hpp"

namespace amaranthhatch::http
{

namespace
{

// Keepalive probes detect an unresponsive peer after
// idle + count * interval = 3 s, which is below the shortest time after which
// hosts treat each other as reachable again (4 s).
constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_count = 2;
// The connection fails if sent bytes stay unacknowledged for the same time.
constexpr int unacknowledged_limit_ms = 3000;

// The longest part of a malformed address that its error repeats.
constexpr std::size_t reported_bytes = 80;

void set_option(int socket, int level, int name, int value)
{
    setsockopt(socket, level, name, &value, sizeof value);
}

} // namespace

void set_traffic_options(boost::asio::ip::tcp::socket& socket)
{
    int handle = socket.native_handle();
    set_option(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(handle, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_option(handle, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(handle, IPPROTO_TCP, TCP_KEEPCNT, keepalive_count);
    set_option(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_limit_ms);
}

// The library's own option is switched off again when a socket is destroyed.
void set_reset_on_close(boost::asio::ip::tcp::socket& socket, bool resets)
{
    linger option{resets ? 1 : 0, 0};
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &option,
               sizeof option);
}

boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address)
{
    auto colon = address.rfind(':');
    boost::system::error_code error;
    auto ip = boost::asio::ip::make_address_v4(address.substr(0, colon), error);
    std::uint16_t port = 0;
    auto end = address.data() + address.size();
    bool port_read = false;
    if (colon != address.npos)
    {
        auto [parsed_end, failed] =
            std::from_chars(address.data() + colon + 1, end, port);
        port_read = failed == std::errc() && parsed_end == end && port != 0;
    }
    if (error || !port_read)
        throw errors::failure("parse address",
                              address.substr(0, reported_bytes),
                              "it isn't IP:PORT; write it with numbers");
    return {ip, port};
}

} // namespace amaranthhatch::http
