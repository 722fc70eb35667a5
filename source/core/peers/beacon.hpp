#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/instant.hpp"
#include "core/peers/endpoint_load.hpp"
#include "core/peers/zone_view.hpp"
#include "core/quarantine/crash_report.hpp"

namespace amaranthhatch::core::peers
{

/// @brief The last beacon that the sender received from another host.
///
/// The other host recognizes its own sent_ms in the echo and so detects that
/// its beacons arrive.
struct echo
{
    /// Hash of the other host's name.
    std::uint64_t peer = 0;
    std::uint64_t incarnation = 0;
    /// The other host's own clock when it sent that beacon.
    std::int64_t sent_ms = 0;
};

/// @brief Revisions of a host's cached copy of one part of the shared store.
struct copy_revision
{
    /// Revision of the newest change in the cached copy.
    std::uint64_t changed = 0;
    /// The latest store revision at which the cached copy was complete.
    std::uint64_t as_of = 0;
};

/// @brief Tokens of unfinished batch items that one host owns on a route, of
/// one workspace if the jobs belong to any.
struct backlog
{
    /// Hash of the names of the route and the workspace.
    std::uint64_t key = 0;
    std::uint64_t tokens = 0;
};

/// @brief How a run at an endpoint failed.
enum class failure_kind : std::uint8_t
{
    /// The response was reset, cut or unusable.
    broken,
    /// The endpoint answered with a server error.
    error_status,
    /// The endpoint sent nothing.
    stalled
};

/// @brief What the requests of one or more hosts showed of an endpoint since
/// its first recent failure.
struct endpoint_evidence
{
    /// Hash of the endpoint's identifier and start.
    std::uint64_t endpoint = 0;
    /// Cumulative counts.
    std::uint32_t failed = 0;
    std::uint32_t answered = 0;
    /// Trial runs of the ejected endpoint that were answered.
    std::uint32_t cleared = 0;
    /// The kind of the newest failure.
    failure_kind reason = failure_kind::broken;
    /// Hash of the reporting host's or zone's name; 0: the sender's, of the
    /// scope that its beacon has.
    std::uint64_t reporter = 0;
    /// Hash of the reporter's zone; 0: the sender's.
    std::uint64_t zone = 0;
    /// Time since the newest failure became known to the sender.
    milliseconds age{};
};

/// @brief Whose loads a beacon holds.
enum class beacon_scope : std::uint8_t
{
    /// The sender's own.
    host,
    /// None; the beacon shows that its sender lives.
    presence,
    /// The sums over the sender's zone, for the leads of other zones.
    zone,
    /// The sums over all zones, for the hosts of the sender's zone. Sent only
    /// by earlier versions.
    fleet,
    /// The sums over the sender's zone at the endpoints of the receiver's zone,
    /// with the free slots of the sender's, for the leads of other zones.
    part,
    /// The sums at the zone's endpoints as a view_message, for its hosts.
    view,
    /// None; asks the lead for a complete view.
    view_request
};

/// @brief Status message that hosts send each other many times a second.
///
/// In a small zone each host sends its beacon to all others. In a large one it
/// sends them to the zone's two relays, and the first relay, the lead, sends
/// the sums at the zone's endpoints back, so that the number of messages grows
/// with the number of hosts and not with its square, and their length not with
/// the fleet. The lead also sends sums of its zone to the leads of the others.
/// Hosts with a disk send their beacons to the hosts with which they share a
/// partition, and to the others seldom.
struct beacon
{
    std::string name;
    /// Identifies the start of the process; differs after a restart.
    std::uint64_t incarnation = 0;
    /// Time by the sender's clock, which includes suspended time.
    std::int64_t sent_ms = 0;
    std::string address;
    std::string zone;
    std::string region;
    /// Identifies the disk of a host that stores jobs; empty otherwise.
    std::string disk;
    /// Processor share of the sender's host, in thousandths of a core; the
    /// hosts with the largest share relay for their zone.
    std::uint32_t capacity = 0;
    /// The receiver gets the sender's next beacon within this time.
    milliseconds next_within{};
    bool leaving = false;
    /// True while the sender gets no response from the store.
    bool store_unreachable = false;
    /// Time since the store last confirmed the sender's configuration, to it or
    /// to a host that has told it; negative where no host needs to know.
    milliseconds configuration_age{-1};
    beacon_scope scope = beacon_scope::host;
    /// In sums over all zones: the receiver's own clock when it sent the loads
    /// of its own that the sums contain; 0 where they contain none.
    std::int64_t included_ms = 0;
    std::vector<echo> echoes;
    std::vector<endpoint_load> loads;
    std::vector<copy_revision> copies;
    std::vector<backlog> backlogs;
    /// The sender's own and those that it has received.
    std::vector<quarantine::crash_report> crashes;
    std::vector<endpoint_evidence> evidence;
    /// Set in views; in parts only the capacities, those of the sender's zone.
    view_message view;
};

} // namespace amaranthhatch::core::peers
