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

/// @brief A host of the system, from its registration or its beacons.
struct peer
{
    std::string name;
    std::string address;
    std::string zone;
    std::string region;
    std::string disk;
    std::uint64_t incarnation = 0;
    /// When its last beacon arrived; zero: never.
    instant last_received{};
    /// Its own clock in its last beacon, to be echoed.
    std::int64_t sent_ms = 0;
    /// Our clock in our newest beacon that it has echoed; zero: none.
    instant last_echoed{};
    bool registered = false;
    bool leaving = false;
    bool store_unreachable = false;
    std::vector<endpoint_load> loads;
    std::vector<copy_revision> copies;
    std::vector<backlog> backlogs;
};

/// @brief What is known of the other hosts.
class peer_table
{
public:
    /// @brief Times after which silence counts.
    struct limits
    {
        /// Loads of a silent host no longer count.
        milliseconds load_expiry;
        /// A host that is silent this long isn't alive.
        milliseconds alive_timeout;
        /// An unregistered host that is silent this long is forgotten.
        milliseconds removal_timeout;
    };

    peer_table(std::string own_name, std::string own_zone,
               std::uint64_t own_incarnation, limits bounds);

    /// @brief Takes in a beacon; false where it is older than a known one.
    bool receive(const beacon& from, instant now);

    /// @brief Replaces what the store lists as registered.
    void set_registered(const std::vector<peer>& listed);

    /// @brief Forgets unregistered hosts that have been silent for long.
    void expire(instant now);

    const peer* find(std::string_view name) const;

    /// @brief The live host that has a disk, or null.
    const peer* live_disk_host(std::string_view disk, instant now) const;

    /// @brief The host that last had a disk, alive or not, or null.
    const peer* last_disk_host(std::string_view disk) const;

    bool alive(const peer& other, instant now) const;

    /// @brief All known hosts, by name.
    const std::map<std::string, peer, std::less<>>& all() const
    {
        return this->peers;
    }

    /// @brief Echoes of live hosts with a disk, for the next beacon.
    std::vector<echo> disk_echoes(instant now) const;

    /// @brief True where this host speaks for its zone: of the live hosts
    /// there, its name sorts first.
    bool leads_zone(instant now) const;

    /// @brief True where this host reads the store for its zone: no live host
    /// that the store answers sorts before it.
    bool reads_for_zone(instant now) const;

    /// @brief Live hosts of this zone, this one included.
    std::size_t zone_size(instant now) const;

    /// @brief The hosts that speak, or may speak, for the other zones.
    std::vector<const peer*> other_zone_leads(instant now) const;

    /// @brief The loads of this zone's other hosts, by endpoint.
    std::vector<endpoint_load> zone_loads() const;

    /// @brief Sum of what other live hosts run at an endpoint.
    endpoint_load load(std::uint64_t endpoint) const;

    /// @brief Sum of the tokens that other live hosts own on a route.
    std::uint64_t backlog_tokens(std::uint64_t route, instant now) const;

    /// @brief Drops the loads of silent hosts; to be called often.
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
    bool receive_summary(const beacon& from, instant now);
    void update_peer(peer& entry, const beacon& from, instant now);
    void add_loads(const std::vector<endpoint_load>& loads, int sign);

    std::string own_name;
    std::string own_zone;
    std::uint64_t own_hash;
    std::uint64_t own_incarnation;
    limits bounds;
    std::map<std::string, peer, std::less<>> peers;
    std::map<std::string, zone_summary, std::less<>> summaries;
    /// Sums over peers and zones, kept so that a choice needs no walk over
    /// hosts.
    std::map<std::uint64_t, endpoint_load> sums;
};

} // namespace amaranthhatch::core::peers
