#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/batches/job_log.hpp"

namespace amaranthhatch::core::batches
{

/// @brief What an owner knows of how far each copy has stored each job.
///
/// A record is committed once all copies have synced it; what was committed
/// stays so for this owner, also while a copy is asked anew.
class replication_state
{
public:
    replication_state(std::string own_disk, std::vector<std::string> copies);

    void set_copies(std::vector<std::string> disks);
    const std::vector<std::string>& copies() const { return this->disks; }

    /// @brief Notes records of a job that are synced on a disk.
    void note_stored(std::string_view disk, std::string_view job,
                     std::uint64_t count);

    std::uint64_t stored(std::string_view disk, std::string_view job) const;

    /// @brief Forgets what a disk has, before it is asked anew.
    void forget_disk(std::string_view disk);
    void forget_job(std::string_view job);

    /// @brief Counts again; true where more records are committed now.
    bool advance(const std::string& job);

    std::uint64_t committed(std::string_view job) const;

    /// @brief Requires that a job's records up to a count, which an earlier
    /// owner may have shown, are committed again.
    void require_committed(const std::string& job, std::uint64_t count);

    /// @brief True where all that was required is committed.
    bool recovered() const { return this->required.empty(); }

private:
    using counts = std::map<std::string, std::uint64_t, std::less<>>;

    std::string own_disk;
    std::vector<std::string> disks;
    std::map<std::string, counts, std::less<>> stored_counts;
    counts committed_counts;
    counts required;
};

/// @brief Records of a copy that an owner's log can go on from; 0 where the
/// copy's log differs.
std::uint64_t common_prefix(const job_log& own, log_mark theirs);

} // namespace amaranthhatch::core::batches
