#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "batches/item_waits.hpp"
#include "batches/placement_agent.hpp"
#include "batches/wait_survey.hpp"
#include "core/batches/item_order.hpp"
#include "core/batches/item_progress.hpp"
#include "core/batches/start_share.hpp"
#include "core/routes/route_table.hpp"
#include "forward/header_names.hpp"
#include "host/host_runtime.hpp"

namespace amaranthhatch::batches
{

class item_run;

/// @brief The state of an item that has no result yet.
struct item_progress
{
    bool running = false;
    core::batches::item_events events;
    core::instant retry_at{};
    /// Why it isn't looked at before retry_at.
    wait_reason held_by = wait_reason::none;
    /// Time for which its runs of the present attempt have held slots.
    core::milliseconds held_slot{};
    /// Runs that were interrupted because they had stalled.
    int stalls = 0;
    /// Runs whose endpoint closed the connection at their start.
    int closes = 0;
    /// Runs whose endpoint responded with an error that says nothing of the
    /// item.
    int endpoint_errors = 0;
};

/// @brief The open items of the jobs that this host owns, by job id and item
/// number.
using open_items =
    std::map<std::string, std::map<std::uint32_t, item_progress>>;

/// @brief Runs the items of the jobs that this host owns, on slots that online
/// requests don't use.
class item_scheduler
{
public:
    item_scheduler(host::host_runtime& runtime, placement_agent& placement,
                   job_store& jobs, forward::header_names names);
    ~item_scheduler();

    void apply(std::shared_ptr<const core::routes::route_table> table);

    /// @brief Starts items on free slots, and preempts runs at endpoints where
    /// online requests need the slots.
    void schedule();

    /// @brief Drops the state of items whose jobs this host no longer owns.
    void forget_unowned();

    /// @brief Interrupts the runs of a job that was ended by its caller.
    void end_job(const std::string& job);

    /// @brief Interrupts all runs and starts no more, as the process stops.
    void stop();

    /// @brief The number by which beacons name a route and, for jobs of a
    /// workspace, that workspace.
    static std::uint64_t backlog_key(const core::routes::route& route,
                                     std::string_view workspace);

    /// @brief Tokens of this host's open items by route and workspace, for the
    /// beacon.
    std::vector<core::peers::backlog> backlogs() const;

    /// @brief Tokens of this host's open items under one key.
    std::uint64_t backlog_tokens(std::uint64_t key) const;

    const core::routes::route* route_of(const core::batches::job& job) const;

    /// @brief True if this host has read the configuration in which the job's
    /// route was found, or a later one: a route that is missing then has ended.
    bool knows_configuration_of(const core::batches::job& job) const;

    const core::routes::route_table* routes() const
    {
        return this->table.get();
    }

    const batches::open_items& open_items() const { return this->progress; }

    std::size_t running() const { return this->runs.size(); }

    /// @brief The parts of an item's prompt that other requests can share.
    std::vector<std::uint64_t>
    shared_parts(const core::batches::item& content) const;

private:
    friend class item_run;

    struct candidate
    {
        std::string job;
        std::uint32_t item = 0;
        const core::routes::route* route = nullptr;
        core::batches::item_demand demand;
    };

    void preempt_runs();
    void preempt_at(const std::string& endpoint,
                    std::vector<std::shared_ptr<item_run>>& endpoint_runs,
                    core::instant now);
    core::batches::item_demand demand_of(const item_run& run,
                                         core::instant now);
    core::batches::item_demand demand(const core::routes::route& route,
                                      std::int64_t submitted_ms,
                                      core::milliseconds held) const;
    void record_work(const core::routes::route& route, core::milliseconds held);
    void start_items();
    std::set<std::string_view> batch_services() const;
    std::vector<candidate> candidates(core::instant now);
    void report_waiting_jobs(std::size_t count);
    void add_candidates(const core::batches::job_log& log, core::instant now,
                        std::vector<candidate>& out);
    bool start_item(const candidate& next, std::string_view service,
                    core::instant now);
    bool may_start(std::string_view service, core::instant now);
    void give_up(const std::string& job, std::uint32_t item,
                 std::string_view reason);
    void store_result(const std::string& job, std::uint32_t item,
                      core::batches::item_state state, std::string text);
    void on_run_end(const std::shared_ptr<item_run>& run);
    item_progress& progress_of(const std::string& job, std::uint32_t item);

    host::host_runtime& runtime;
    placement_agent& placement;
    job_store& jobs;
    forward::header_names names;
    std::shared_ptr<const core::routes::route_table> table;
    batches::open_items progress;
    std::vector<std::shared_ptr<item_run>> runs;
    /// Runs that this host may still start on the present view of the loads, by
    /// service.
    std::map<std::string, core::batches::start_share, std::less<>> shares;
    /// When runs were last interrupted at an endpoint.
    std::map<std::string, core::instant> preempted_at;
    /// Mean time in milliseconds for which an item holds a slot, by route.
    std::map<std::string, double, std::less<>> mean_work;
    wait_survey survey;
    /// Open jobs whose configuration this host hasn't read yet.
    std::size_t waiting_jobs = 0;
    bool scheduling = false;
    bool stopped = false;
};

} // namespace amaranthhatch::batches
