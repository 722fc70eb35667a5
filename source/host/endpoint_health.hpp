#pragma once

#include "core/endpoints/endpoint_table.hpp"
#include "core/peers/beacon.hpp"
#include "core/peers/peer_table.hpp"
#include "metrics/recorder.hpp"
#include "peers/beacon_socket.hpp"

namespace amaranthhatch::host
{

/// @brief Exchanges the evidence of endpoints' health with the other hosts;
/// logs and counts the changes of endpoints' states.
class endpoint_health
{
public:
    endpoint_health(core::endpoints::endpoint_table& table,
                    const core::peers::peer_table& peers,
                    peers::beacon_socket& socket, metrics::recorder& metrics);

    /// @brief Adds this host's evidence to a beacon.
    void add_to(core::peers::beacon& beacon) const;

    /// @brief Merges the evidence of another host's beacon.
    void receive(const core::peers::beacon& beacon);

    /// @brief Judges the endpoints; to be called often.
    void check();

private:
    void log_changes();
    void log(const core::endpoints::health_change& change);
    std::string name_of(std::uint64_t reporter) const;

    core::endpoints::endpoint_table& table;
    const core::peers::peer_table& peers;
    peers::beacon_socket& socket;
    metrics::recorder& metrics;
    /// True while the gauges may differ from zero.
    bool reported = false;
};

} // namespace amaranthhatch::host
