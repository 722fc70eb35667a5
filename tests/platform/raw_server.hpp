#pragma once

#include <atomic>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace amaranthhatch::tests
{

/// @brief A server on loopback that answers each request with the same bytes
/// and closes the connection.
class raw_server
{
public:
    explicit raw_server(std::string bytes);
    ~raw_server();
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    std::string address() const;

    /// @brief Requests whose head was read.
    int served() const { return this->served_count; }

private:
    void run();

    std::string bytes;
    boost::asio::io_context loop;
    boost::asio::ip::tcp::acceptor listener;
    std::atomic<bool> stopping = false;
    std::atomic<int> served_count = 0;
    std::thread runner;
};

} // namespace amaranthhatch::tests
