#pragma once

#include <cstdint>
#include <string>

#include "batch/batch_folder.hpp"
#include "batch/batch_peers.hpp"
#include "batch/manifest_cache.hpp"
#include "batch/owned_jobs.hpp"
#include "core/messages/jobs.hpp"

namespace amaranthhatch::batch
{

/// @brief Answers questions about jobs, from what this host owns and holds.
class job_views
{
public:
    job_views(batch_folder& folder, batch_peers& peers, owned_jobs& owned,
              manifest_cache& manifests);

    /// @brief A job that this host doesn't run, from its copy if it has one.
    core::messages::job_answer describe_unowned(const known_manifest& from);

    /// @brief Committed results, from a record of the journal on.
    core::messages::output_answer
    output(const core::messages::output_request& request);

    core::messages::jobs_answer
    jobs(const core::messages::jobs_request& request);

private:
    std::uint64_t committed_end(const std::string& job,
                                const journal_file& journal) const;

    batch_folder& folder;
    batch_peers& peers;
    owned_jobs& owned;
    manifest_cache& manifests;
};

} // namespace amaranthhatch::batch
