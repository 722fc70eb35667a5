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

/// Longest body of a response where the caller sets no bound: a copy of the
/// store's entries or a whole job, several times.
inline constexpr std::size_t default_body_limit = 64u << 20;

/// Detail of calls that ended because their response was longer than allowed.
inline constexpr std::string_view over_limit_detail = "response_over_limit";

/// @brief A request to send; retries share the body instead of copying it.
struct client_request
{
    std::string method = "GET";
    std::string target;
    header_list headers;
    std::shared_ptr<const std::string> body;
    /// A connect that takes longer ends the call with not_sent.
    std::chrono::milliseconds connect_limit{300};
    /// A response with a longer body ends the call with broken.
    std::size_t body_limit = default_body_limit;
    /// Name of the request header that the peer echoes in its response to this
    /// request and to no other; empty if the peer echoes none.
    std::string echoed_header;
};

/// @brief How a call ended.
enum class call_end
{
    /// The complete response was read.
    complete,
    /// No connection was established, so no byte can have reached the peer.
    not_sent,
    /// Bytes may have reached the peer, but no complete response was read.
    broken,
    /// As broken, because the peer closed or reset the connection.
    closed
};

/// @brief Receives the events of one call on the event loop's thread.
class call_listener
{
public:
    virtual ~call_listener() = default;

    /// @brief Receives the status and headers of a response.
    ///
    /// Not called for responses that echo another request's header.
    ///
    /// Returns false if the response belongs to another request. The client
    /// then discards that response and waits for the next one on the same
    /// connection.
    virtual bool on_head(int status, const header_list& headers) = 0;

    /// @brief Receives the headers of a final response that isn't this call's,
    /// or may not be; its body is discarded.
    virtual void on_other_head(const header_list& /*headers*/) {}
    virtual void on_body(std::string_view piece) = 0;
    virtual void on_end(call_end result, std::string_view detail) = 0;
};

/// @brief A running call; cancelling closes its connection at once.
class client_call
{
public:
    virtual ~client_call() = default;

    /// @brief Ends the call; its listener receives no further events.
    virtual void cancel() = 0;

    /// @brief Reads no further bytes until resume; those that were read before
    /// may still be delivered.
    virtual void pause() {}
    virtual void resume() {}
};

/// @brief Counters of a client's connections and discarded data.
struct client_counts
{
    std::uint64_t connected = 0;
    std::uint64_t reused = 0;
    std::uint64_t surplus_bytes = 0;
    std::uint64_t skipped_responses = 0;
    /// Responses that ended their call because they echoed no header and could
    /// have belonged to an earlier call on the connection.
    std::uint64_t unidentified_responses = 0;
};

/// @brief An HTTP/1.1 client that reuses connections and never retries a call.
///
/// Idle connections are stored under a key that identifies the instance of the
/// peer and not only its address, so that a new process at a reused address
/// never gets a connection to the previous one.
///
/// A peer may repeat an earlier response on a reused connection. Where the peer
/// echoes a header, a response is a call's own only if it echoes the value that
/// the call sent, or if it echoes none and is the first one on its connection.
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

    /// @brief Closes the idle connections of a peer that was removed.
    void close_idle(std::string_view key);

    const client_counts& counts() const;

private:
    struct state;
    class connection;
    std::shared_ptr<state> held;
};

} // namespace amaranthhatch::http
