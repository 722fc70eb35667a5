#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace amaranthhatch::net
{

/// @brief The right to answer one request, once, from any thread.
///
/// A reply that is dropped unanswered sends an empty frame, so that the asker
/// doesn't wait for its timeout and the server's context is free again.
class reply_handle
{
public:
    struct slot;
    explicit reply_handle(slot* owner) : owner(owner) {}
    reply_handle(reply_handle&& other) noexcept;
    reply_handle& operator=(reply_handle&&) = delete;
    ~reply_handle();

    void send(std::string_view frame);

private:
    slot* owner;
};

/// @brief Answers requests of other processes over nng's request/reply.
class rpc_server
{
public:
    /// @brief Called on a library thread; must not block.
    using handler = std::function<void(std::string_view, reply_handle)>;

    /// @brief Listens at "IP:PORT" with room for a number of open requests.
    rpc_server(const std::string& address, unsigned open_requests,
               handler handle);
    ~rpc_server();

    /// @brief Bytes of requests and answers so far.
    std::uint64_t bytes() const;

private:
    struct state;
    std::unique_ptr<state> held;
};

} // namespace amaranthhatch::net
