#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <thread>
#include <vector>

#include "core/configuration/declarations.hpp"
#include "core/configuration/revision_register.hpp"
#include "core/messages/members.hpp"
#include "metrics/registry.hpp"
#include "net/rpc_client.hpp"

namespace amaranthhatch::routing
{

/// @brief What a traffic thread sees of the fleet at one moment.
struct fleet_view
{
    std::vector<core::messages::member> members;
    std::uint64_t revision = 0;
    core::configuration::declarations declared;

    /// @brief The regions of all live coordinators, the own one first.
    std::vector<std::string> regions(std::string_view own) const;

    /// @brief Live batch hosts.
    std::vector<core::messages::member> batch_hosts() const;
};

/// @brief Keeps a process's view of members and configuration up to date.
///
/// Asks one coordinator at a time, the first of its list that answers. The
/// platform's service plays no part.
class view_client
{
public:
    view_client(core::messages::member self,
                std::vector<std::string> coordinators, net::rpc_client& peers,
                metrics::registry& metrics);
    ~view_client();

    void start();

    /// @brief The newest view; never null.
    std::shared_ptr<const fleet_view> now() const;

    /// @brief Asks again at once.
    void refresh();

    /// @brief Tells a coordinator that this process leaves.
    void leave();

private:
    void run();
    bool ask(const std::string& address);
    void fetch_configuration(const std::string& address);
    void publish();
    void refute(std::span<const core::messages::member> told);

    core::messages::member self;
    std::vector<std::string> coordinators;
    net::rpc_client& peers;
    metrics::registry& metrics;
    std::uint64_t digest = 0;
    std::string digest_of;
    core::configuration::revision_register configuration;
    fleet_view building;
    mutable std::mutex guard;
    std::mutex asking;
    std::shared_ptr<const fleet_view> published;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace amaranthhatch::routing
