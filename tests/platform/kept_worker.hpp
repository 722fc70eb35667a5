#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace amaranthhatch::tests
{

/// @brief A worker on loopback that keeps its connections open and whose bytes
/// the test writes.
class kept_worker
{
public:
    /// @brief A request as it arrived.
    struct arrival
    {
        std::string id;
        /// Requests that came on the same connection before it.
        int earlier_on_connection = 0;
        /// Earlier arrivals of the same id, on any connection.
        int earlier_of_id = 0;
    };

    /// @param respond returns the bytes to write for a request.
    explicit kept_worker(std::function<std::string(const arrival&)> respond);
    ~kept_worker();
    kept_worker(const kept_worker&) = delete;
    kept_worker& operator=(const kept_worker&) = delete;

    std::string address() const;

    /// @brief Arrivals of a request's id.
    int arrivals(const std::string& id);

private:
    void accept();
    void serve(boost::asio::ip::tcp::socket& caller);

    std::function<std::string(const arrival&)> respond;
    boost::asio::io_context loop;
    boost::asio::ip::tcp::acceptor listener;
    std::atomic<bool> stopping = false;
    std::mutex guard;
    std::map<std::string, int> counts;
    std::list<boost::asio::ip::tcp::socket> callers;
    std::list<std::thread> servers;
    std::thread acceptor;
};

} // namespace amaranthhatch::tests
