#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "net/rpc_client.hpp"
#include "routing/slot_client.hpp"
#include "routing/view_client.hpp"

namespace amaranthhatch::routing
{

/// @brief Chooses endpoints by this process's own streams alone.
///
/// The baselines that coordinated slots are measured against: round robin and
/// least outstanding. Nothing waits and nothing is refused here; the endpoints
/// queue.
class local_slots : public slot_source
{
public:
    /// @brief policy is "round_robin" or "least_outstanding".
    local_slots(std::string_view policy, std::string region, view_client& view,
                net::rpc_client& peers);

    slot_result acquire(const slot_request& request) override;
    void release(const slot_ptr& slot, bool failed,
                 core::milliseconds first_token) override;

    static bool is_policy(std::string_view name);

private:
    using chooser = std::size_t (local_slots::*)(
        const std::vector<core::messages::endpoint_address>& from);
    struct policy_row
    {
        std::string_view name;
        chooser choose;
    };
    static const policy_row policies[];

    struct group_state
    {
        std::vector<core::messages::endpoint_address> endpoints;
        core::instant read{};
    };

    std::size_t choose_round_robin(
        const std::vector<core::messages::endpoint_address>& from);
    std::size_t choose_least_outstanding(
        const std::vector<core::messages::endpoint_address>& from);
    std::vector<core::messages::endpoint_address>
    endpoints_of(const std::string& group, const std::string& region);

    chooser choose = nullptr;
    std::string region;
    view_client& view;
    net::rpc_client& peers;
    std::mutex guard;
    std::map<std::string, group_state, std::less<>> groups;
    std::map<std::string, std::uint32_t, std::less<>> outstanding;
    std::uint64_t turn = 0;
};

} // namespace amaranthhatch::routing
