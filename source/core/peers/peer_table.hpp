#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/instant.hpp"
#include "core/peers/beacon.hpp"

namespace amaranthhatch::core::peers
{

/// @brief Another host, as described by its registration and its beacons.
struct peer
{
    std::string name;
    std::string address;
    std::string zone;
    std::string region;
    std::string disk;
    std::uint64_t incarnation = 0;
    /// When its last beacon arrived; zero where none has arrived.
    instant last_received{};
    /// Its clock's value in its last beacon, which this host echoes.
    std::int64_t sent_ms = 0;
    /// Send time, by this host's clock, of the newest own beacon that the peer
    /// has echoed; zero where it has echoed none.
    instant last_echoed{};
    bool registered = false;
    bool leaving = false;
    bool store_unreachable = false;
    std::vector<endpoint_load> loads;
    std::vector<copy_revision> copies;
    std::vector<backlog> backlogs;
};

/// @brief State of the other hosts, from registrations and beacons.
class peer_table
{
public:
    /// @brief Timeouts since the last beacon of a host.
    struct limits
    {
        /// After this time the loads of a host no longer count.
        milliseconds load_expiry;
        /// After this time a host counts as not alive.
        milliseconds alive_timeout;
        /// After this time a host without a registration is removed.
        milliseconds removal_timeout;
    };

    peer_table(std::string own_name, std::string own_zone,
               std::uint64_t own_incarnation, limits bounds);

    /// @brief Applies a beacon; false where it is ignored, because it is older
    /// than one already applied or is this host's own.
    bool receive(const beacon& message, instant now);

    /// @brief Replaces the set of hosts that the store lists as registered.
    void set_registered(const std::vector<peer>& listed);

    /// @brief Removes unregistered hosts without beacons for removal_timeout.
    void expire(instant now);

    const peer* find(std::string_view name) const;

    /// @brief The live host with a disk of this identifier, or null.
    const peer* live_disk_host(std::string_view disk, instant now) const;

    /// @brief The host that most recently reported a disk, alive or not, or
    /// null.
    const peer* last_disk_host(std::string_view disk) const;

    bool alive(const peer& other, instant now) const;

    /// @brief All hosts in the table, alive or not, by name.
    const std::map<std::string, peer, std::less<>>& all() const
    {
        return this->peers;
    }

    /// @brief Echoes of live hosts with a disk, to be put into the next beacon.
    std::vector<echo> disk_echoes(instant now) const;

    /// @brief True where this host sends the summary of its zone: of the live
    /// hosts there, its name sorts first.
    bool leads_zone(instant now) const;

    /// @brief True where this host reads the store for its zone: of the live
    /// hosts there that reach the store, its name sorts first.
    bool reads_for_zone(instant now) const;

    /// @brief Live hosts of this zone, this one included.
    std::size_t zone_size(instant now) const;

    /// @brief The leads of the other zones; where a zone has no current lead,
    /// its first two hosts by name, as either may be the lead.
    std::vector<const peer*> other_zone_leads(instant now) const;

    /// @brief The loads of this zone's other hosts, by endpoint.
    std::vector<endpoint_load> zone_loads() const;

    /// @brief Sum of the requests that other hosts run at an endpoint.
    endpoint_load load(std::uint64_t endpoint) const;

    /// @brief Sum of the tokens of unfinished batch items that other live hosts
    /// own on a route.
    std::uint64_t backlog_tokens(std::uint64_t route, instant now) const;

    /// @brief Removes loads older than load_expiry; to be called often.
    void expire_loads(instant now);

private:
    struct zone_summary
    {
        std::string lead;
        std::uint64_t incarnation = 0;
        std::int64_t sent_ms = 0;
        instant last_received{};
        std::vector<endpoint_load> loads;
    };

    bool first_in_zone(instant now, bool reaching_store) const;
    bool receive_summary(const beacon& message, instant now);
    void update_peer(peer& entry, const beacon& message, instant now);
    void add_loads(const std::vector<endpoint_load>& loads, int sign);

    std::string own_name;
    std::string own_zone;
    std::uint64_t own_hash;
    std::uint64_t own_incarnation;
    limits bounds;
    std::map<std::string, peer, std::less<>> peers;
    std::map<std::string, zone_summary, std::less<>> summaries;
    /// Loads by endpoint, summed over peers and zones; maintained on each
    /// change, so that choosing an endpoint needs no loop over hosts.
    std::map<std::uint64_t, endpoint_load> sums;
};

} // namespace amaranthhatch::core::peers
