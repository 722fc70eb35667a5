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
    /// No connection stood, so no byte can have reached the peer.
    not_sent,
    /// Bytes may have reached the peer, and no whole answer came back.
    unknown,
    /// The whole answer was read.
    answered
};

/// @brief A call to make: always on a connection of its own.
///
/// Connections are not reused, since a kept connection may have gone silent
/// for good.
struct call
{
    std::string method = "GET";
    std::string url;
    header_list headers;
    std::string body;
    std::chrono::milliseconds connect_limit{500};
    std::chrono::milliseconds total_limit{5000};
};

/// @brief The end of a call.
struct reply
{
    progress reached = progress::not_sent;
    int status = 0;
    header_list headers;
    std::string body;
    std::string detail;
};

/// @brief Makes a call and waits for its whole answer.
reply perform(const call& requested_call);

/// @brief A call whose answer is read as it arrives.
class stream
{
public:
    explicit stream(const call& requested_call);
    ~stream();
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    /// @brief Moves the transfer on, waiting at most the given time.
    void pump(std::chrono::milliseconds wait);

    /// @brief Takes the bytes of the body that have arrived.
    std::string take();

    bool ended() const;
    const reply& result() const;

private:
    struct state;
    std::shared_ptr<state> held;
};

} // namespace amaranthhatch::http
