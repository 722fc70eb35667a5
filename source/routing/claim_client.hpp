#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "adapters/key_value_store.hpp"
#include "metrics/registry.hpp"

namespace amaranthhatch::routing
{

/// @brief How a claim ended.
enum class claim_state : std::uint8_t
{
    granted,
    /// Another call holds the key and may have run.
    taken,
    /// The store can't say; nothing may be sent.
    unreachable
};

/// @brief A granted key with the version to give it back under.
struct claim_result
{
    claim_state state = claim_state::unreachable;
    std::uint64_t version = 0;
};

/// @brief Claims the keys of requests that may run at most once.
///
/// Claims lie in the platform's key-value service, bound to a lease of the
/// claim window. While the service is away no such request is sent.
class claim_client
{
public:
    claim_client(adapters::key_value_store& store,
                 std::chrono::milliseconds window, metrics::registry& metrics);

    /// @brief Claims a key; only after granted may the request be sent.
    claim_result claim(const std::string& key);

    /// @brief The store's key for a request's key, which also names the claim
    /// in log lines.
    static std::string store_key(const std::string& key);

    /// @brief Gives a claim back under which no byte was sent.
    void release(const std::string& key, const claim_result& held);

private:
    adapters::key_value_store& store;
    std::chrono::milliseconds window;
    metrics::registry& metrics;
};

} // namespace amaranthhatch::routing
