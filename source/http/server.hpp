#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "http/exchange.hpp"

namespace amaranthhatch::http
{

/// @brief Limits of an HTTP server.
struct server_options
{
    std::string address;
    std::size_t body_limit_bytes = 1u << 20;
    unsigned connection_limit = 2048;
};

/// @brief An HTTP server that runs each request on a thread of its own.
///
/// Handlers may block. Requests with a body over the limit are rejected with
/// 413 and don't reach the handler.
class server
{
public:
    using handler = std::function<response(const request&)>;

    /// @brief Starts to listen. Throws errors::failure if it can't.
    server(server_options options, handler handle);
    ~server();

    /// @brief Closes the listening socket; running requests continue.
    void stop_listening();

    /// @brief Sends "Connection: close" with each further response and closes
    /// the connection after it.
    void close_after_responses();

    /// @brief Number of requests that were read and not responded to yet.
    int in_flight() const;

    /// @brief Waits until no request is in flight; returns false if that takes
    /// longer than the limit.
    bool wait_until_idle(std::chrono::milliseconds limit) const;

private:
    struct state;
    std::shared_ptr<state> held;
};

} // namespace amaranthhatch::http
