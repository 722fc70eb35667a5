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
/// Handlers may block. A body over the limit is answered with 413 before the
/// handler hears of the request.
class server
{
public:
    using handler = std::function<response(const request&)>;

    /// @brief Listens at once. Throws errors::failure if it can't.
    server(server_options options, handler handle);
    ~server();

    /// @brief Closes the listening socket; running requests go on.
    void stop_listening();

    /// @brief Asks callers to close their connections after each answer.
    void close_after_responses();

    /// @brief Requests that were read and whose answer isn't yet sent.
    int in_flight() const;

    /// @brief Waits until no request is in flight; false after the limit.
    bool wait_until_idle(std::chrono::milliseconds limit) const;

private:
    struct state;
    std::shared_ptr<state> held;
};

} // namespace amaranthhatch::http
