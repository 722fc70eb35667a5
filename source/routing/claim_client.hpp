#pragma once

#include <string>

#include "core/claims/claim_vote.hpp"
#include "core/instant.hpp"
#include "metrics/registry.hpp"
#include "net/rpc_client.hpp"
#include "routing/view_client.hpp"

namespace amaranthhatch::routing
{

/// @brief Claims the keys of requests that may run at most once.
class claim_client
{
  public:
    claim_client(core::milliseconds ask_limit, view_client& view,
                 net::rpc_client& peers, metrics::registry& metrics);

    /// @brief Asks the key's keepers for an attempt.
    ///
    /// Only after granted may the request be sent, at once. After any other
    /// result it must not be sent; the attempt's grants are given back.
    core::claims::vote_state claim(const std::string& key,
                                   const std::string& attempt);

    /// @brief Gives a claim back under which no byte was sent.
    void release(const std::string& key, const std::string& attempt);

  private:
    core::claims::vote_state ask_once(const std::string& key,
                                      const std::string& attempt);

    core::milliseconds ask_limit;
    view_client& view;
    net::rpc_client& peers;
    metrics::registry& metrics;
};

} // namespace amaranthhatch::routing
