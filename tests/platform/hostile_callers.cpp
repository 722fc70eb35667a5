#include "hostile_callers.hpp"

#include <sys/socket.h>
#include <sys/time.h>

#include <algorithm>

#include "http/socket_options.hpp"

namespace amaranthhatch::tests
{

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{

// Connections are spread over a few threads, each of which opens its own one
// after the other.
constexpr std::size_t thread_limit = 24;

bool send_all(tcp::socket& socket, const std::string& text)
{
    for (std::size_t sent = 0; sent < text.size();)
    {
        auto count = ::send(socket.native_handle(), text.data() + sent,
                            text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

} // namespace

hostile_callers::hostile_callers(std::size_t count, const std::string& address,
                                 hostile_bytes bytes)
    : bytes(std::move(bytes))
{
    for (std::size_t at = 0; at < count; at++)
        this->sockets.push_back(std::make_unique<tcp::socket>(this->loop));
    auto threads = std::min(count, thread_limit);
    for (std::size_t first = 0; first < threads; first++)
        this->senders.emplace_back(
            [this, first, threads, address]
            {
                for (auto at = first; at < this->sockets.size(); at += threads)
                    this->send(*this->sockets[at], address);
            });
}

hostile_callers::~hostile_callers()
{
    this->wait_until_sent();
}

void hostile_callers::wait_until_sent()
{
    for (auto& each : this->senders)
        each.join();
    this->senders.clear();
}

void hostile_callers::send(tcp::socket& socket,
                           const std::string& address) const
{
    error_code error;
    socket.connect(http::parse_endpoint(address), error);
    if (error)
        return;
    timeval limit{1, 0};
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit,
               sizeof limit);
    if (!send_all(socket, this->bytes.head))
        return;
    for (std::size_t at = 0; at < this->bytes.repeats; at++)
    {
        if (!send_all(socket, this->bytes.piece))
            return;
        if (this->bytes.pause.count() > 0)
            std::this_thread::sleep_for(this->bytes.pause);
    }
}

} // namespace amaranthhatch::tests
