#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "control/control_loop.hpp"
#include "core/members/member_table.hpp"
#include "metrics/registry.hpp"
#include "net/rpc_client.hpp"

namespace amaranthhatch::coordinator
{

/// @brief Probes members, spreads news, and tells askers of the view.
///
/// Runs on the control thread.
class member_service
{
public:
    /// @brief Hears the address of a peer that knows a higher configuration
    /// revision.
    using newer_handler = std::function<void(const std::string&)>;

    member_service(core::members::member_table table,
                   std::vector<std::string> seeds, control::control_loop& loop,
                   net::rpc_client& peers, metrics::registry& metrics,
                   newer_handler newer);

    core::messages::pong ping(core::instant now,
                              const core::messages::ping& request);

    /// @brief Probes a target for another member; done gets whether it
    /// answered.
    void probe_for(const core::messages::ping_request& request,
                   std::function<void(bool)> done);

    /// @brief An entry or batch host asks for the view and tells of itself.
    void heard(core::instant now, const core::messages::member& from);

    void probe();
    void tick(core::instant now);

    /// @brief Tells every member it can reach that this node leaves.
    void leave();

    void set_revision(std::uint64_t revision);

    const core::members::member_table& table() const { return this->members; }

    /// @brief Members and the entries that ask this node for the view.
    std::vector<core::messages::member> everyone() const;

private:
    struct asker
    {
        core::messages::member member;
        core::instant heard{};
    };

    core::messages::ping make_ping();
    void ping_seed();
    void send_probe(const core::messages::member& target);
    void probe_indirectly(const core::messages::member& target);
    void take_pong(core::instant now, const std::string& address,
                   const core::messages::pong& answer);

    core::members::member_table members;
    std::vector<std::string> seeds;
    std::size_t next_seed = 0;
    unsigned probe_turns = 0;
    control::control_loop& loop;
    net::rpc_client& peers;
    metrics::registry& metrics;
    newer_handler newer;
    std::uint64_t revision = 0;
    std::map<std::string, asker, std::less<>> askers;
};

} // namespace amaranthhatch::coordinator
