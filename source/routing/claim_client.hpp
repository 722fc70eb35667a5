#pragma once

#include <string>

#include "core/claims/claim_vote.hpp"
#include "core/instant.hpp"
#include "metrics/registry.hpp"
#include "net/rpc_client.hpp"
#include "routing/view_client.hpp"

namespace amaranthhatch::routing
{

/// @brief How a claim ended, and the attempt that holds the key if any.
struct claim_result
{
    core::claims::vote_state state = core::claims::vote_state::no_majority;
    std::string attempt;
};

/// @brief Claims the keys of requests that may run at most once.
class claim_client
{
public:
    claim_client(core::milliseconds ask_limit, view_client& view,
                 net::rpc_client& peers, metrics::registry& metrics);

    /// @brief Asks the key's keepers, a few times where votes are split.
    ///
    /// Only after granted may the request be sent, at once. After any other
    /// result it must not be sent; all grants are given back.
    claim_result claim(const std::string& key);

    /// @brief Gives a claim back under which no byte was sent.
    void release(const std::string& key, const std::string& attempt);

private:
    struct ask_result
    {
        core::claims::vote_state state;
        bool other_may_hold;
    };

    ask_result ask_once(const std::string& key, const std::string& attempt);

    core::milliseconds ask_limit;
    view_client& view;
    net::rpc_client& peers;
    metrics::registry& metrics;
};

} // namespace amaranthhatch::routing
