#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/instant.hpp"

namespace amaranthhatch::core::batches
{

/// @brief The owner of one partition of the jobs, and the disks that store it.
///
/// Stored in the platform's store and changed by compare-and-swap only.
struct partition_place
{
    /// Incremented with each change of the owner.
    std::uint64_t epoch = 0;
    std::string owner_disk;
    /// Incarnation of the owner's process; after a restart the process has to
    /// acquire the partition again.
    std::uint64_t owner_incarnation = 0;
    /// Disks that hold every committed record, the owner's among them.
    std::vector<std::string> copies;

    bool holds_copy(std::string_view disk) const;
    bool operator==(const partition_place&) const = default;
};

/// @brief Owner and copies of all partitions.
struct placement
{
    std::vector<partition_place> partitions;

    std::size_t partition_of(std::string_view job) const;
};

/// @brief A live host with a disk, with the properties that placement uses.
struct disk_host
{
    std::string disk;
    std::string zone;
    std::string region;
    std::uint64_t incarnation = 0;
    /// False while its disk is being drained.
    bool accepts_copies = true;
};

/// @brief Ages of an orphaned job: one that lies on this host's disk although
/// the placement lists no copy of its partition there.
struct orphaned_job_ages
{
    /// How long the host's cached placement hasn't listed its disk as a copy.
    milliseconds unassigned{};
    /// Time since an owner last sent records of the partition.
    milliseconds since_records{};
    /// Time since the end of the period in which callers may request the job.
    milliseconds past_retention{};
};

/// @brief True where an orphaned job may be deleted.
///
/// The placement doesn't list a host while an owner still replicates the
/// partition to it, and the host's cached placement may be outdated.
/// Therefore only jobs that no caller can request any more are deleted.
bool may_delete_orphaned(const orphaned_job_ages& job);

} // namespace amaranthhatch::core::batches
