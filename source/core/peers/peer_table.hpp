#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
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
    std::uint32_t capacity = 0;
    std::uint64_t incarnation = 0;
    /// When its last beacon arrived; zero where none has arrived.
    instant last_received{};
    /// The time within which it sends its next beacon, by its last one.
    milliseconds next_within{};
    /// Since when this host has taken the peer for a relay of its zone; zero
    /// where it doesn't.
    instant relay_since{};
    /// Until then the peer isn't taken for a relay, as it was silent.
    instant relay_excluded_until{};
    /// Its clock's value in its last beacon, which this host echoes.
    std::int64_t sent_ms = 0;
    /// Send time, by this host's clock, of the newest own beacon that the peer
    /// has echoed; zero where it has echoed none.
    instant last_echoed{};
    bool registered = false;
    bool leaving = false;
    bool store_unreachable = false;
    /// It has asked for a complete view since it was last sent one.
    bool wants_view = false;
    std::vector<endpoint_load> loads;
    /// Its clock's value in the beacon that brought the loads.
    std::int64_t loads_sent_ms = 0;
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
        /// After this time a host counts as not alive, or after three of the
        /// intervals that its last beacon named, where these are longer.
        milliseconds alive_timeout;
        /// After this time a host without a registration is removed.
        milliseconds removal_timeout;
    };

    peer_table(std::string own_name, std::string own_zone,
               std::uint64_t own_incarnation, limits bounds,
               std::uint32_t own_capacity = 0);

    const std::string& name() const { return this->own_name; }
    std::uint64_t incarnation() const { return this->own_incarnation; }

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

    /// @brief Sets the disks that hold copies of the same partitions as this
    /// host's disk. Their hosts get beacons often, and echoes.
    void set_partner_disks(std::set<std::string, std::less<>> disks);
    bool is_partner(const peer& other) const;

    /// @brief Echoes of live partner hosts, to be put into the next beacon.
    std::vector<echo> disk_echoes(instant now) const;

    /// @brief True where this host sends the sums of its zone: of the live
    /// hosts there, it ranks first by capacity, then by name.
    bool leads_zone(instant now) const;

    /// @brief True where this host reads the store for its zone: of the live
    /// hosts there that reach the store, it ranks first.
    bool reads_for_zone(instant now) const;

    /// @brief The first two live hosts of this zone by rank, without this host.
    std::vector<const peer*> relays(instant now) const;

    /// @brief True where this host is one of the zone's two relays.
    bool is_relay(instant now) const;

    /// @brief Excludes relays that have been silent, so that the next hosts by
    /// rank take their place; to be called often.
    void check_relays(instant now);

    /// @brief Live hosts of this zone, this one included.
    std::size_t zone_size(instant now) const;

    /// @brief The leads of the other zones; where a zone has no current lead,
    /// its first two hosts by name, as either may be the lead.
    std::vector<const peer*> other_zone_leads(instant now) const;

    /// @brief The loads of this zone's other hosts, by endpoint.
    std::vector<endpoint_load> zone_loads() const;

    /// @brief The loads of all other hosts, by endpoint, as this host sums them
    /// from beacons of its zone and summaries of the others.
    std::vector<endpoint_load> fleet_loads() const;

    /// @brief Records own loads that the relays are told at a time. The lead's
    /// sums name that time and contain them until it has a later report.
    void add_report(std::int64_t sent_ms, std::vector<endpoint_load> loads);

    /// @brief Sum of the requests that other hosts run at an endpoint: by the
    /// lead's last message where it is current, else as this host sums them.
    endpoint_load load(std::uint64_t endpoint) const;

    /// @brief Free slots of a service in another zone where its loads aren't
    /// known by endpoint; nothing where they are, as in small zones. 0 where
    /// that zone's lead hasn't been heard of lately.
    std::optional<std::uint32_t> free_capacity(std::string_view zone,
                                               std::string_view service) const;

    /// @brief True where this host has missed views and waits for a whole one.
    bool wants_view() const { return this->view.incomplete; }

    /// @brief Records that a host was sent a complete view.
    void on_view_sent(std::string_view name);

    /// @brief Number of live or registered hosts of another zone.
    std::size_t hosts_in(std::string_view zone, instant now) const;

    /// @brief The host whose views this host follows, or null.
    const peer* view_lead() const { return this->find(this->view.lead); }

    /// @brief True while the loads come from the lead of the zone.
    bool follows_lead() const { return this->following; }

    /// @brief A number that changes with each message of the lead.
    std::uint64_t view_number() const { return this->view_count; }

    /// @brief Sum of the tokens of unfinished batch items that other live hosts
    /// own under a key.
    std::uint64_t backlog_tokens(std::uint64_t key, instant now) const;

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
        /// True where the sender names only the loads at this zone's endpoints.
        bool partial = false;
        std::vector<zone_capacity> capacities;
    };

    /// @brief Own loads as the relays were told them.
    struct report
    {
        std::int64_t sent_ms = 0;
        std::vector<endpoint_load> loads;
    };

    /// @brief The loads of the other hosts as a zone's lead last sent them.
    struct fleet_view
    {
        std::string lead;
        instant last_received{};
        /// The time within which the lead sends its next view.
        milliseconds next_within{};
        /// Sums of an earlier version's lead, without this host's loads.
        std::map<std::uint64_t, endpoint_load> loads;
        /// True where the lead names only the loads at this zone's endpoints.
        bool zone_only = false;
        bool incomplete = false;
        view_receiver received;
        /// This host's loads that the received ones contain.
        std::map<std::uint64_t, endpoint_load> included;
        std::vector<zone_capacity> capacities;
    };

    bool first_in_zone(instant now, bool reaching_store) const;
    bool eligible(const peer& other, instant now) const;
    bool ranks_before_self(const peer& other) const;
    bool receive_summary(const beacon& message, instant now);
    bool receive_fleet_view(const beacon& message, instant now);
    bool receive_zone_view(const beacon& message, instant now);
    bool is_late(const beacon& message) const;
    bool takes_view_of(const beacon& message, instant now);
    milliseconds view_expiry() const;
    const report* find_report(std::int64_t included_ms);
    void update_peer(peer& entry, const beacon& message, instant now);
    void add_loads(const std::vector<endpoint_load>& loads, int sign);

    std::string own_name;
    std::string own_zone;
    std::uint64_t own_hash;
    std::uint64_t own_incarnation;
    limits bounds;
    std::uint32_t own_capacity;
    std::map<std::string, peer, std::less<>> peers;
    std::set<std::string, std::less<>> partner_disks;
    fleet_view view;
    bool following = false;
    std::uint64_t view_count = 0;
    /// Own reports to the relays, oldest first, as far as a lead's sums may
    /// still contain them.
    std::deque<report> reports;
    std::map<std::string, zone_summary, std::less<>> summaries;
    /// Loads by endpoint, summed over peers and zones; maintained on each
    /// change, so that choosing an endpoint needs no loop over hosts.
    std::map<std::uint64_t, endpoint_load> sums;
};

} // namespace amaranthhatch::core::peers
