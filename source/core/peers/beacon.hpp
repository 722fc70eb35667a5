#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace amaranthhatch::core::peers
{

/// @brief Number of requests that one host is running at an endpoint.
struct endpoint_load
{
    /// Hash of the endpoint's identifier.
    std::uint64_t endpoint = 0;
    std::uint32_t online = 0;
    std::uint32_t batch = 0;
};

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

/// @brief Tokens of unfinished batch items that one host owns on a route.
struct backlog
{
    /// Hash of the route's name.
    std::uint64_t route = 0;
    std::uint64_t tokens = 0;
};

/// @brief Status message that hosts send each other many times a second.
///
/// A host sends its own beacon to the hosts of its zone; hosts with a disk also
/// send theirs to each other. One host of each zone, the lead, sends the sum of
/// its zone's loads to the other zones, so that the number of messages between
/// zones doesn't grow with the number of hosts.
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
    bool leaving = false;
    /// True while the sender gets no response from the store.
    bool store_unreachable = false;
    /// True where the loads are the sums over the sender's zone.
    bool zone_summary = false;
    std::vector<echo> echoes;
    std::vector<endpoint_load> loads;
    std::vector<copy_revision> copies;
    std::vector<backlog> backlogs;
};

} // namespace amaranthhatch::core::peers
