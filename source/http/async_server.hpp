#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "http/exchange.hpp"

namespace amaranthhatch::http
{

/// @brief Bounds on what a caller may send and how long it may take.
struct server_limits
{
    std::size_t header_bytes = 16u << 10;
    std::size_t body_bytes = 4u << 20;
    std::chrono::milliseconds header_time{3000};
    std::chrono::milliseconds idle_time{15000};
};

/// @brief One request and the way to answer it.
///
/// Exactly one of respond(), begin() with finish(), or abort() ends it. All
/// calls belong on the thread that runs the server's io_context.
class server_exchange
{
public:
    virtual ~server_exchange() = default;

    virtual const request& received_request() const = 0;

    /// @brief Sends a whole answer.
    virtual void respond(int status, const header_list& headers,
                         std::string_view body) = 0;

    /// @brief Starts an answer whose body follows in pieces.
    virtual void begin(int status, const header_list& headers) = 0;

    /// @brief Sends one piece of the body.
    virtual void write(std::string_view piece) = 0;

    /// @brief Marks the body as whole.
    virtual void finish() = 0;

    /// @brief Bytes of the answer that the caller has not taken yet.
    virtual std::size_t unsent_bytes() const = 0;

    /// @brief Closes the connection, so that no answer looks whole.
    virtual void abort() = 0;

    /// @brief Calls back once if the caller leaves before the answer's end.
    virtual void on_disconnect(std::function<void()> callback) = 0;
};

/// @brief An HTTP/1.1 server on one event loop.
///
/// Bodies and heads over the limits are refused with 413 and 431 before the
/// handler hears of the request.
class async_server
{
public:
    using handler = std::function<void(std::shared_ptr<server_exchange>)>;
    using limit_source = std::function<server_limits()>;

    /// @brief Listens at "IP:PORT". Throws errors::failure if it can't.
    async_server(boost::asio::io_context& loop, const std::string& address,
                 limit_source limits, handler handle);
    ~async_server();
    async_server(const async_server&) = delete;
    async_server& operator=(const async_server&) = delete;

    /// @brief Asks callers to close their connections after each answer.
    void close_after_responses();

    /// @brief Closes the listening socket and all idle connections.
    void stop_listening();

    /// @brief Requests that were read and whose answer isn't yet sent.
    std::size_t in_flight() const;

    /// @brief Connections that are open.
    std::size_t connections() const;

private:
    struct state;
    class session;
    std::shared_ptr<state> held;
};

} // namespace amaranthhatch::http
