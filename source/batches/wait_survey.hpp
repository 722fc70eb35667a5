#pragma once

#include <map>
#include <string>
#include <string_view>

#include "batches/item_waits.hpp"
#include "batches/placement_agent.hpp"
#include "core/routes/route_table.hpp"
#include "host/host_runtime.hpp"

namespace amaranthhatch::batches
{

class item_scheduler;
struct item_progress;

/// @brief Finds why items of this host's jobs aren't running, for item_waits.
///
/// Only reads the state of the scheduler and of the jobs.
class wait_survey
{
public:
    wait_survey(host::host_runtime& runtime, const placement_agent& placement,
                const job_store& jobs, const item_scheduler& scheduler);

    /// @brief Records why a pass over the items started no more of them at a
    /// service.
    void record_full(std::string_view service, wait_reason reason);

    /// @brief Looks at all open items if that is due; to be called after each
    /// pass over the items.
    void look(core::instant now);

private:
    /// @brief A job as one round sees it.
    struct seen_job
    {
        const core::batches::job_log& log;
        std::size_t partition = 0;
        const partition_owner& owner;
        const core::routes::route* route = nullptr;
        core::instant now{};
    };

    void look_at(const seen_job& seen);
    wait_reason reason_of_job(const seen_job& seen) const;
    wait_reason reason_of_service(const seen_job& seen) const;
    const item_progress* progress_of(std::string_view job,
                                     std::uint32_t item) const;
    void describe(const seen_job& seen, const waiting_item& item,
                  logging::event& line) const;
    void describe_block(const core::batches::item& content,
                        logging::event& line) const;

    host::host_runtime& runtime;
    const placement_agent& placement;
    const job_store& jobs;
    const item_scheduler& scheduler;
    item_waits waits;
    std::map<std::string, wait_reason, std::less<>> full_services;
};

} // namespace amaranthhatch::batches
