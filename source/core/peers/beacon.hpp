#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace amaranthhatch::core::peers
{

/// @brief Requests that one host has running at an endpoint.
struct endpoint_load
{
    /// Hash of the endpoint's identifier.
    std::uint64_t endpoint = 0;
    std::uint32_t online = 0;
    std::uint32_t batch = 0;
};

/// @brief The last beacon that the sender had from another host.
struct echo
{
    /// Hash of the other host's name.
    std::uint64_t peer = 0;
    std::uint64_t incarnation = 0;
    /// The other host's own clock when it sent that beacon.
    std::int64_t sent_ms = 0;
};

/// @brief How new a host's copy of one part of the shared store is.
struct copy_revision
{
    /// The newest change in the copy.
    std::uint64_t changed = 0;
    /// The store's revision at which the copy was known to be complete.
    std::uint64_t as_of = 0;
};

/// @brief Tokens of unfinished batch items that one host owns on a route.
struct backlog
{
    /// Hash of the route's name.
    std::uint64_t route = 0;
    std::uint64_t tokens = 0;
};

/// @brief What hosts send each other many times a second.
///
/// A host's own beacon goes to its zone, and between hosts with a disk. One
/// host of each zone also sends the sum of its zone's loads to the other zones,
/// so that messages between zones don't grow with the hosts in them.
struct beacon
{
    std::string name;
    /// New at each start of the process.
    std::uint64_t incarnation = 0;
    /// The sender's own clock, which counts suspended time.
    std::int64_t sent_ms = 0;
    std::string address;
    std::string zone;
    std::string region;
    /// Identifies the disk of a host that keeps jobs; empty otherwise.
    std::string disk;
    bool leaving = false;
    /// True while the store doesn't answer the sender.
    bool store_unreachable = false;
    /// True where the loads are those of the sender's whole zone.
    bool zone_summary = false;
    std::vector<echo> echoes;
    std::vector<endpoint_load> loads;
    std::vector<copy_revision> copies;
    std::vector<backlog> backlogs;
};

} // namespace amaranthhatch::core::peers
