#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "http/exchange.hpp"

namespace amaranthhatch::http
{

/// @brief A request to a peer; the body is shared, so that repeats are cheap.
struct client_request
{
    std::string method = "GET";
    std::string target;
    header_list headers;
    std::shared_ptr<const std::string> body;
    /// No connection after this time counts as not sent.
    std::chrono::milliseconds connect_limit{300};
};

/// @brief How a call ended.
enum class call_end
{
    /// The whole answer was read.
    complete,
    /// No connection stood, so no byte can have reached the peer.
    not_sent,
    /// Bytes may have reached the peer, and no whole answer came back.
    broken
};

/// @brief Hears of one call's progress, on the event loop's thread.
class call_listener
{
public:
    virtual ~call_listener() = default;

    /// @brief Hears of an answer's head.
    ///
    /// Gives false where the answer belongs to another request; it is then
    /// read to its end and dropped, and the next one is awaited.
    virtual bool on_head(int status, const header_list& headers) = 0;
    virtual void on_body(std::string_view piece) = 0;
    virtual void on_end(call_end result, std::string_view detail) = 0;
};

/// @brief A running call; cancelling closes its connection at once.
class client_call
{
public:
    virtual ~client_call() = default;

    /// @brief Ends the call; its listener hears nothing more.
    virtual void cancel() = 0;
};

/// @brief Counts of what a client did, for metrics.
struct client_counts
{
    std::uint64_t connected = 0;
    std::uint64_t reused = 0;
    std::uint64_t surplus_bytes = 0;
    std::uint64_t skipped_responses = 0;
};

/// @brief HTTP/1.1 calls on kept connections, never repeated by themselves.
///
/// Connections are kept by key, which names the peer's instance and not its
/// address alone, so that a reused address never inherits a connection.
class async_client
{
public:
    explicit async_client(boost::asio::io_context& loop);
    ~async_client();
    async_client(const async_client&) = delete;
    async_client& operator=(const async_client&) = delete;

    std::shared_ptr<client_call> start(std::string_view key,
                                       const std::string& address,
                                       const client_request& outgoing,
                                       std::shared_ptr<call_listener> listener);

    /// @brief Closes the kept connections of a peer that is gone.
    void close_idle(std::string_view key);

    const client_counts& counts() const;

private:
    struct state;
    class connection;
    std::shared_ptr<state> held;
};

} // namespace amaranthhatch::http
