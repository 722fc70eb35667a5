#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/instant.hpp"

namespace amaranthhatch::host
{

/// @brief Settings of a process: its host, addresses, disk and limits.
struct host_settings
{
    std::string name;
    std::string zone;
    std::string region;
    std::map<std::string, std::string> region_of_zone;
    /// Listen address for callers; empty on hosts that accept none.
    std::string front_address;
    /// Listen address for the load balancer's readiness checks.
    std::string ready_address;
    /// Listen address from which hosts that start without the store fetch
    /// copies of its entries; may be empty.
    std::string seed_address;
    /// Listen address for calls (TCP) and beacons (UDP) of other hosts.
    std::string internal_address;
    /// Seed addresses of a few hosts; some may no longer be in use.
    std::vector<std::string> seeds;
    /// The folder for job data; empty on hosts without a disk.
    std::string data_folder;
    std::string store_address;
    /// Processor share of this host, in thousandths of a core; the hosts of a
    /// zone with the largest share relay for the others.
    std::uint32_t capacity = 0;
    /// Number of disks that may be lost at once without loss of jobs.
    std::uint32_t lost_disks = 0;
    /// Limit for the size of the job log on the disk; 0: none is set.
    std::uint64_t disk_bytes = 0;
    /// Longest answer of an endpoint that is read; longer ones are broken.
    std::size_t response_bytes = 16u << 20;
    /// Memory of the whole process in bytes.
    std::size_t memory_bytes = 128'000'000;
    /// Descriptors that the process may open; 0: the system's limit.
    std::size_t max_descriptors = 0;
    /// Interval at which an endpoint renews its entry in the store.
    core::milliseconds heartbeat{};
    /// An endpoint that announced that it leaves gets no new request after
    /// this time.
    core::milliseconds drain{};
    /// Time from SIGTERM until the process is killed.
    core::milliseconds grace{};
    /// Time after its submission for which a job stays readable.
    core::milliseconds job_status{};
    /// Whether a host refuses requests that need a key once its configuration
    /// hasn't been confirmed for the revocation limit; else it goes on with the
    /// keys that it knows.
    bool fail_closed = false;
    /// A withdrawn key is refused after this time.
    core::milliseconds revocation_limit{};
    /// Requests of a workspace beyond its limit that may be run in a short
    /// time.
    double quota_slack = 0;
    /// Retry-After of refusals for which no better estimate exists.
    core::milliseconds retry_after{};
};

} // namespace amaranthhatch::host
