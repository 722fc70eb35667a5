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

/// @brief Who owns one partition of the jobs, and on which disks it lies.
///
/// Kept in the platform's store and changed by compare-and-swap only.
struct partition_place
{
    /// Rises with each change of the owner.
    std::uint64_t epoch = 0;
    std::string owner_disk;
    /// The start of the owner's process; a later start owns nothing yet.
    std::uint64_t owner_incarnation = 0;
    /// Disks that hold every committed record, the owner's among them.
    std::vector<std::string> copies;

    bool holds_copy(std::string_view disk) const;
    bool operator==(const partition_place&) const = default;
};

/// @brief The places of all partitions.
struct placement
{
    std::vector<partition_place> partitions;

    std::size_t partition_of(std::string_view job) const;
};

/// @brief A live host with a disk, as far as placing goes.
struct disk_host
{
    std::string disk;
    std::string zone;
    std::string region;
    std::uint64_t incarnation = 0;
    /// False where its disk is to be emptied.
    bool accepts_copies = true;
};

/// @brief What a host knows of a job in a partition that it holds no copy of.
struct orphaned_job_ages
{
    /// How long the host's copy of the placement hasn't named its disk.
    milliseconds unassigned{};
    /// How long no owner has sent records of the partition.
    milliseconds since_records{};
    /// How long the job has been past the time in which it may be asked for.
    milliseconds past_retention{};
};

/// @brief True where such a job may be forgotten.
///
/// A host that is being taught isn't named yet, and its copy of the placement
/// may be old, so that only what nobody can ask for any more may go.
bool may_delete_orphaned(const orphaned_job_ages& job);

} // namespace amaranthhatch::core::batches
