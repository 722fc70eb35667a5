#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/instant.hpp"

namespace amaranthhatch::host
{

/// @brief What a process is told of its machine and of the bounds it serves.
struct host_settings
{
    std::string name;
    std::string zone;
    std::string region;
    std::map<std::string, std::string> region_of_zone;
    /// Where callers arrive; empty on hosts that take none.
    std::string front_address;
    /// Where the balancer asks whether this host takes requests.
    std::string ready_address;
    /// Where newcomers ask for what this host knows; may be empty.
    std::string seed_address;
    /// Where the other hosts' calls and beacons arrive.
    std::string internal_address;
    /// Seed addresses of a few hosts, which may be stale.
    std::vector<std::string> seeds;
    /// The folder for jobs; empty on hosts without a disk.
    std::string data_folder;
    std::string store_address;
    /// Disks that may be lost at once.
    std::uint32_t lost_disks = 0;
    /// What the jobs' log may take of the disk; 0: no limit is known.
    std::uint64_t disk_bytes = 0;
    /// How often an endpoint renews its entry.
    core::milliseconds heartbeat{};
    /// A leaving endpoint gets no request this long after it said so.
    core::milliseconds drain{};
    /// A process is killed this long after SIGTERM.
    core::milliseconds grace{};
    /// A job stays readable this long after it was submitted.
    core::milliseconds job_status{};
    /// Used where a refusal can't say better when to come back.
    core::milliseconds retry_after{};
};

} // namespace amaranthhatch::host
