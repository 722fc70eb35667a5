#include "core/batches/replication_state.hpp"

#include <algorithm>
#include <limits>

namespace amaranthhatch::core::batches
{

replication_state::replication_state(std::string own_disk,
                                     std::vector<std::string> copies)
    : own_disk(std::move(own_disk)), disks(std::move(copies))
{
}

void replication_state::set_copies(std::vector<std::string> listed)
{
    this->disks = std::move(listed);
}

void replication_state::note_stored(std::string_view disk, std::string_view job,
                                    std::uint64_t count)
{
    auto found = this->stored_counts.find(disk);
    if (found == this->stored_counts.end())
        found = this->stored_counts.emplace(std::string(disk), counts()).first;
    found->second[std::string(job)] = count;
}

std::uint64_t replication_state::stored(std::string_view disk,
                                        std::string_view job) const
{
    auto found = this->stored_counts.find(disk);
    if (found == this->stored_counts.end())
        return 0;
    auto count = found->second.find(job);
    return count == found->second.end() ? 0 : count->second;
}

void replication_state::forget_disk(std::string_view disk)
{
    auto found = this->stored_counts.find(disk);
    if (found != this->stored_counts.end())
        this->stored_counts.erase(found);
}

void replication_state::forget_job(std::string_view job)
{
    for (auto& [disk, by_job] : this->stored_counts)
        if (auto found = by_job.find(job); found != by_job.end())
            by_job.erase(found);
    if (auto found = this->committed_counts.find(job);
        found != this->committed_counts.end())
        this->committed_counts.erase(found);
    if (auto found = this->required.find(job); found != this->required.end())
        this->required.erase(found);
}

bool replication_state::advance(const std::string& job)
{
    auto count = std::numeric_limits<std::uint64_t>::max();
    for (const auto& disk : this->disks)
        count = std::min(count, this->stored(disk, job));
    if (this->disks.empty())
        return false;
    auto requirement = this->required.find(job);
    if (requirement != this->required.end() && count >= requirement->second)
        this->required.erase(requirement);
    auto& committed_count = this->committed_counts[job];
    if (count <= committed_count)
        return false;
    committed_count = count;
    return true;
}

std::uint64_t replication_state::committed(std::string_view job) const
{
    auto found = this->committed_counts.find(job);
    return found == this->committed_counts.end() ? 0 : found->second;
}

void replication_state::require_committed(const std::string& job,
                                          std::uint64_t count)
{
    if (count > this->committed(job))
        this->required[job] = count;
}

std::uint64_t common_prefix(const job_log& own, log_mark copy_mark)
{
    bool prefix = copy_mark.count <= own.records().size() &&
                  own.epoch_before(copy_mark.count) == copy_mark.epoch;
    return prefix ? copy_mark.count : 0;
}

} // namespace amaranthhatch::core::batches
