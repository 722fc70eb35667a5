#include "core/batches/placement.hpp"

#include <algorithm>

#include "core/hash.hpp"

namespace amaranthhatch::core::batches
{

bool partition_place::holds_copy(std::string_view disk) const
{
    return std::find(this->copies.begin(), this->copies.end(), disk) !=
           this->copies.end();
}

std::size_t placement::partition_of(std::string_view job) const
{
    return this->partitions.empty() ? 0 : hash(job) % this->partitions.size();
}

bool may_delete_orphaned(const orphaned_job_ages& job)
{
    // Several times the time that replicating a partition to a new disk takes,
    // and several times the largest age of a cached placement.
    constexpr milliseconds min_age{60000};
    return job.unassigned > min_age && job.since_records > min_age &&
           job.past_retention > min_age;
}

} // namespace amaranthhatch::core::batches
