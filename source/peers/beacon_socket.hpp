#pragma once

#include <array>
#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/peers/fleet_endpoints.hpp"
#include "core/peers/peer_table.hpp"

namespace amaranthhatch::peers
{

/// @brief Location of the host that a beacon socket sends for.
struct beacon_identity
{
    std::string zone;
    std::string region;
    /// True for hosts with a disk, which grant each other leases.
    bool has_disk = false;
};

/// @brief Sends this host's beacons over UDP and receives those of other hosts.
///
/// A beacon is sent soon after a change of load, and at an interval otherwise:
/// in a small zone to all its hosts, in a large one to its two relays. The lead
/// of a large zone sends the sums at the zone's endpoints to its hosts. The
/// leads exchange sums of their zones, less often than beacons, because traffic
/// between zones is billed by volume and endpoints of other zones are used only
/// after those of the own zone; in a small zone the lead forwards them. To the
/// lead of a large zone that of another names only the loads at its endpoints
/// and the own zone's free slots. What a lead sends stays within a number of
/// bytes a second, whatever the size of the fleet.
class beacon_socket
{
public:
    using beacon_source = std::function<core::peers::beacon()>;
    using evidence_source =
        std::function<std::vector<core::peers::endpoint_evidence>(
            core::peers::beacon_scope)>;
    using beacon_callback = std::function<void(const core::peers::beacon&)>;
    /// Handles a message of another kind; bytes are those that were passed to
    /// send_message().
    using message_handler = std::function<void(std::string_view bytes)>;

    /// @brief Binds "IP:PORT". Throws errors::failure if it can't.
    beacon_socket(boost::asio::io_context& loop, const std::string& address,
                  beacon_identity identity, core::peers::peer_table& peers,
                  beacon_source compose, beacon_callback on_beacon);

    void start();
    void stop();

    /// @brief Sets the handler of messages that aren't beacons.
    void on_message(message_handler handler);

    /// @brief Sets what is known of the endpoints; without it, all count as the
    /// own zone's.
    void set_endpoints(const core::peers::fleet_endpoints& known)
    {
        this->endpoints = &known;
    }

    /// @brief Sets where the health evidence of zones and the fleet comes from.
    void set_evidence(evidence_source source);

    /// @brief Sends a message that isn't a beacon to a host.
    void send_message(const core::peers::peer& peer, std::string_view bytes);

    /// @brief Schedules a beacon as soon as the minimum interval allows.
    void send_soon();

private:
    void receive();
    void handle_datagram(std::string_view bytes);
    void schedule(core::milliseconds after);
    void send();
    void send_by_relays(const core::peers::beacon& beacon, core::instant now);
    void send_presence(const core::peers::beacon& beacon, core::instant now);
    void send_to_disks(const core::peers::beacon& beacon, core::instant now);
    void send_zone_view(core::peers::beacon beacon, core::instant now);
    void request_view(const core::peers::beacon& beacon, core::instant now);
    void send_summary(core::peers::beacon summary, core::instant now);
    void send_parts(core::peers::beacon summary, core::instant now);
    bool takes_parts(const core::peers::peer& lead, core::instant now) const;
    bool in_zone(std::uint64_t endpoint, std::string_view zone) const;
    void send_to_zone(const std::string& bytes);
    bool large_zone(core::instant now) const;
    core::milliseconds send_interval(core::instant now) const;
    void send_to(const core::peers::peer& peer, const std::string& bytes);

    boost::asio::ip::udp::socket socket;
    boost::asio::steady_timer timer;
    beacon_identity identity;
    core::peers::peer_table& peers;
    beacon_source compose;
    beacon_callback on_beacon;
    message_handler handle_message;
    evidence_source evidence = [](core::peers::beacon_scope)
    { return std::vector<core::peers::endpoint_evidence>(); };
    std::array<char, 65536> buffer{};
    boost::asio::ip::udp::endpoint sender;
    core::instant last_sent{};
    core::instant last_partners_sent{};
    core::instant last_disks_sent{};
    core::instant last_presence{};
    core::instant last_region_summary{};
    core::instant last_cross_region_summary{};
    core::instant last_view{};
    core::instant last_view_request{};
    core::instant last_parts{};
    /// Intervals that keep the last views and parts within their bytes a
    /// second.
    core::milliseconds view_interval{50};
    core::milliseconds parts_interval{};
    core::peers::view_sender views;
    /// Position, among the zone's hosts, of the next to get a whole view.
    std::size_t next_whole = 0;
    const core::peers::fleet_endpoints* endpoints = nullptr;
    bool send_requested = false;
    bool stopped = false;
};

} // namespace amaranthhatch::peers
