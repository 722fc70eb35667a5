#pragma once

#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/peers/peer_table.hpp"
#include "core/quotas/quota_service.hpp"
#include "metrics/recorder.hpp"
#include "peers/beacon_socket.hpp"

namespace amaranthhatch::host
{

/// @brief Limits the requests of workspaces over all entry hosts; exchanges the
/// counts with the other hosts by datagrams.
class workspace_quotas
{
public:
    workspace_quotas(boost::asio::io_context& loop, std::string own_name,
                     std::uint64_t incarnation, peers::beacon_socket& socket,
                     const core::peers::peer_table& peers,
                     metrics::recorder& metrics);

    /// @brief Puts the limits of a configuration in force.
    void apply(const core::workspaces::workspace_table& table);

    /// @brief Sets how many requests beyond the limits the operators accept;
    /// a part of it allows for uneven arrivals.
    void set_slack(double requests);

    /// @brief Decides on a request of a workspace.
    core::quotas::admission admit(const core::workspaces::workspace& workspace);

    /// @brief Returns the token of an admitted request that was not run.
    void give_back(const core::workspaces::workspace& workspace);

    void stop();

private:
    void receive(std::string_view bytes);
    void send(const std::string& host, std::string_view bytes);
    void collect();
    void schedule(core::milliseconds after);
    void update_hosts(core::instant now);

    boost::asio::steady_timer timer;
    std::string own_name;
    peers::beacon_socket& socket;
    const core::peers::peer_table& peers;
    metrics::recorder& metrics;
    core::quotas::quota_service service;
    core::instant hosts_updated_at{};
    bool scheduled = false;
    bool stopped = false;
};

} // namespace amaranthhatch::host
