#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/batches/job_log.hpp"

namespace amaranthhatch::core::batches
{

/// @brief An owner's record of how many log records of each job every copy has
/// stored.
///
/// A log record is committed once all copies have synced it. The committed
/// count never decreases for this owner, not even while it reconciles a copy
/// again.
class replication_state
{
public:
    replication_state(std::string own_disk, std::vector<std::string> copies);

    void set_copies(std::vector<std::string> disks);
    const std::vector<std::string>& copies() const { return this->disks; }

    /// @brief Sets how many records of a job are synced on a disk.
    void note_stored(std::string_view disk, std::string_view job,
                     std::uint64_t count);

    std::uint64_t stored(std::string_view disk, std::string_view job) const;

    /// @brief Clears the counts of a disk, before the owner reconciles it
    /// again.
    void forget_disk(std::string_view disk);
    void forget_job(std::string_view job);

    /// @brief Recomputes a job's committed count; true where it has grown.
    bool advance(const std::string& job);

    std::uint64_t committed(std::string_view job) const;

    /// @brief Requires that a job's records up to a count are committed before
    /// the owner counts as recovered.
    ///
    /// An earlier owner may have shown these records to callers.
    void require_committed(const std::string& job, std::uint64_t count);

    /// @brief True where all required records are committed.
    bool recovered() const { return this->required.empty(); }

private:
    using counts = std::map<std::string, std::uint64_t, std::less<>>;

    std::string own_disk;
    std::vector<std::string> disks;
    std::map<std::string, counts, std::less<>> stored_counts;
    counts committed_counts;
    counts required;
};

/// @brief Number of records in a copy's log where that log is a prefix of the
/// owner's; 0 where it differs.
std::uint64_t common_prefix(const job_log& own, log_mark copy_mark);

} // namespace amaranthhatch::core::batches
