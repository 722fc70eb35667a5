#pragma once

#include <set>
#include <string>

#include "control/control_loop.hpp"
#include "core/claims/claim_keeper.hpp"
#include "metrics/registry.hpp"
#include "net/rpc_client.hpp"

namespace amaranthhatch::coordinator
{

/// @brief Keeps request claims and copies them from other keepers as needed.
///
/// Runs on the control thread.
class keeper_service
{
public:
    keeper_service(core::claims::claim_keeper keeper, std::string name,
                   control::control_loop& loop, net::rpc_client& peers,
                   metrics::registry& metrics);

    core::messages::claim_answer
    ask(core::instant now, const core::messages::claim_request& request);
    void release(const core::messages::claim_release& request);
    core::messages::claim_copy_answer
    copy(core::instant now, const core::messages::claim_copy_request& request);

    /// @brief Moves to a higher generation of keepers.
    void adopt(const core::messages::keeper_history& history);

    /// @brief Asks keepers whose tables are still missing.
    void tick(core::instant now);

    const core::claims::claim_keeper& state() const { return this->keeper; }

private:
    void fetch(const core::messages::keeper& from, std::uint64_t generation,
               std::uint64_t after);
    void fetched(const core::messages::keeper& from, std::uint64_t generation,
                 const std::optional<std::string>& frame);

    core::claims::claim_keeper keeper;
    std::string name;
    control::control_loop& loop;
    net::rpc_client& peers;
    metrics::registry& metrics;
    std::set<std::string, std::less<>> fetching;
};

} // namespace amaranthhatch::coordinator
