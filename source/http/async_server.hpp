#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "http/exchange.hpp"
#include "http/request_budget.hpp"
#include "http/response_budget.hpp"

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

/// @brief Bounds on what all callers of a server take together.
struct server_bounds
{
    /// Memory for requests, shared with other servers of the process; nullptr:
    /// not bounded.
    std::shared_ptr<request_budget> requests;
    /// Connections that are open at once; 0: not bounded. At the bound, idle
    /// ones are closed first.
    std::size_t connections = 0;
    /// Called for each refusal or end, with its reason and the caller's
    /// address.
    std::function<void(std::string_view reason, std::string_view peer)> refused;
};

/// @brief One request and the functions that send its response.
///
/// Exactly one of respond(), finish() after begin(), or abort() ends the
/// exchange. All functions must be called on the thread that runs the server's
/// io_context.
class server_exchange
{
public:
    virtual ~server_exchange() = default;

    virtual const request& received_request() const = 0;

    /// @brief Sends a complete response.
    virtual void respond(int status, const header_list& headers,
                         std::string_view body) = 0;

    /// @brief Starts a response whose body follows in pieces.
    ///
    /// Its body is sent in chunks, or up to the end of the connection to
    /// callers that speak HTTP/1.0.
    virtual void begin(int status, const header_list& headers) = 0;

    /// @brief Sends one piece of the body.
    virtual void write(std::string_view piece) = 0;

    /// @brief Sends the end mark of the body, which makes it complete.
    virtual void finish() = 0;

    /// @brief Bytes of the response that aren't written to the socket yet.
    virtual std::size_t unsent_bytes() const = 0;

    /// @brief Sets a function that is called whenever bytes of a response that
    /// hasn't ended were written to the socket.
    virtual void on_written(std::function<void()> callback) = 0;

    /// @brief Closes the connection without the end mark of the body, or resets
    /// it if the body has none, so that the caller sees an incomplete response.
    virtual void abort() = 0;

    /// @brief Sets a function that is called once if the caller disconnects
    /// before the end of the response.
    virtual void on_disconnect(std::function<void()> callback) = 0;

    /// @brief Sets a function that is called once if the server ends its open
    /// requests; it ends the exchange.
    virtual void on_stop(std::function<void()> callback) = 0;
};

/// @brief An HTTP/1.1 server on one event loop.
///
/// Requests with a body or headers over the limits are rejected with 413 or
/// 431, slow ones with 408, and those without memory for them with 503. None of
/// them reaches the handler.
class async_server
{
public:
    using handler = std::function<void(std::shared_ptr<server_exchange>)>;
    using limit_source = std::function<server_limits()>;

    /// @brief Listens at "IP:PORT". Throws errors::failure if it can't.
    ///
    /// What callers leave unread counts against the budget, if there is one.
    async_server(boost::asio::io_context& loop, const std::string& address,
                 limit_source limits, handler handle,
                 std::shared_ptr<response_budget> budget = nullptr,
                 server_bounds bounds = {});
    ~async_server();
    async_server(const async_server&) = delete;
    async_server& operator=(const async_server&) = delete;

    /// @brief Sends "Connection: close" with each further response and closes
    /// the connection after it.
    void close_after_responses();

    /// @brief Closes the listening socket and all idle connections.
    void stop_listening();

    /// @brief Ends all open requests, as the process is about to exit.
    ///
    /// A request whose exchange has no on_stop function, or whose function
    /// doesn't end it, gets 504, or is cut if its response has begun. Requests
    /// that are read later get 503 and don't reach the handler.
    void end_requests();

    /// @brief True while a request is being read, handled or responded to.
    bool busy() const;

    /// @brief Number of requests that were read and not fully responded to.
    std::size_t in_flight() const;

    /// @brief Number of open connections.
    std::size_t connections() const;

private:
    struct state;
    class session;
    std::shared_ptr<state> held;
};

} // namespace amaranthhatch::http
