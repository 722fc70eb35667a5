#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace amaranthhatch::tests
{

/// @brief What one hostile caller sends on its connection.
struct hostile_bytes
{
    std::string head;
    /// Sent as often as repeats says, after the head.
    std::string piece;
    std::size_t repeats = 0;
    /// Pause after each piece.
    std::chrono::milliseconds pause{0};
};

/// @brief Callers that send bytes without reading a response, and hold their
/// connections open until they are destroyed.
class hostile_callers
{
public:
    hostile_callers(std::size_t count, const std::string& address,
                    hostile_bytes bytes);
    ~hostile_callers();
    hostile_callers(const hostile_callers&) = delete;
    hostile_callers& operator=(const hostile_callers&) = delete;

    /// @brief Waits until each has sent everything, was cut off, or couldn't
    /// send for a second.
    void wait_until_sent();

private:
    void send(boost::asio::ip::tcp::socket& socket,
              const std::string& address) const;

    hostile_bytes bytes;
    boost::asio::io_context loop;
    std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> sockets;
    std::vector<std::thread> senders;
};

} // namespace amaranthhatch::tests
