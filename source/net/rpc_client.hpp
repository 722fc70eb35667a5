#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhatch::net
{

/// @brief Asks other processes over nng's request/reply, many at a time.
///
/// A request may reach the peer twice when a connection breaks, so every
/// message of ours is idempotent. A connection on which a request timed out is
/// replaced, since it may have gone silent for good while new ones work.
class rpc_client
{
public:
    /// @brief Gets the answer's frame, or nothing after the time limit.
    using callback = std::function<void(std::optional<std::string>)>;

    rpc_client();
    ~rpc_client();

    /// @brief Asks without waiting; the callback runs on a library thread.
    void post(const std::string& address, std::string_view frame,
              std::chrono::milliseconds limit, callback done);

    /// @brief Bytes of requests and answers so far.
    std::uint64_t bytes() const;

    /// @brief Asks and waits.
    std::optional<std::string> ask(const std::string& address,
                                   std::string_view frame,
                                   std::chrono::milliseconds limit);

private:
    struct state;
    std::shared_ptr<state> held;
};

} // namespace amaranthhatch::net
