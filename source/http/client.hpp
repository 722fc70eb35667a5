#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "http/exchange.hpp"

namespace amaranthhatch::http
{

/// @brief How far a call got before it ended.
enum class progress
{
    /// No connection was established, so no byte can have reached the peer.
    not_sent,
    /// Bytes may have reached the peer, but no complete response was read.
    unknown,
    /// The complete response was read.
    answered
};

/// @brief A request and its time limits; each call opens a new connection.
///
/// Connections are not reused, since the peer of an idle connection may never
/// respond again.
struct call
{
    std::string method = "GET";
    std::string url;
    header_list headers;
    std::string body;
    std::chrono::milliseconds connect_limit{500};
    std::chrono::milliseconds total_limit{5000};
};

/// @brief The result of a call.
struct reply
{
    progress reached = progress::not_sent;
    int status = 0;
    header_list headers;
    std::string body;
    std::string detail;
};

/// @brief Makes a call and waits for its complete response.
reply perform(const call& requested_call);

/// @brief A call whose response body is read while it arrives.
class stream
{
public:
    explicit stream(const call& requested_call);
    ~stream();
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    /// @brief Runs the transfer until bytes of the body arrive or the call
    /// ends, for at most the given time.
    void pump(std::chrono::milliseconds wait);

    /// @brief Returns and clears the bytes of the body received so far.
    std::string take();

    bool ended() const;
    const reply& result() const;

private:
    struct state;
    std::shared_ptr<state> held;
};

} // namespace amaranthhatch::http
