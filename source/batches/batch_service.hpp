#pragma once

#include <list>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "batches/disk_log.hpp"
#include "batches/job_store.hpp"
#include "batches/placement_agent.hpp"
#include "batches/progress_sync.hpp"
#include "forward/header_names.hpp"
#include "host/host_runtime.hpp"

namespace amaranthhatch::batches
{

/// @brief Stores and runs batch jobs on a host that has a disk.
///
/// Serves the entries' requests for jobs whose partition this host owns, and
/// the replication requests of other hosts that have a disk.
class batch_service
{
public:
    batch_service(host::host_runtime& runtime, disk_log& disk,
                  forward::header_names names);

    void start();
    void stop();

    void apply(std::shared_ptr<const core::routes::route_table> table);

    /// @brief Sets the names of the hosts whose disks are to be emptied.
    void set_retiring(std::set<std::string> hosts);

    /// @brief True if the placement assigns no copy to this host's disk.
    bool emptied() const { return this->placement.emptied(); }

private:
    using exchange_ptr = std::shared_ptr<http::server_exchange>;

    struct submission
    {
        std::string job;
        exchange_ptr exchange;
        core::instant deadline{};
    };

    struct waiting_read
    {
        std::string job;
        /// Number of the job's results that the reader has already received.
        std::uint32_t after = 0;
        exchange_ptr exchange;
        core::instant deadline{};
    };

    struct waiting_end
    {
        std::string job;
        /// The request is confirmed once this many records are committed.
        std::uint64_t records = 0;
        exchange_ptr exchange;
        core::instant deadline{};
    };

    void tick();
    void schedule_tick();
    void on_append(const exchange_ptr& exchange);
    void on_reconcile(const exchange_ptr& exchange);
    void on_jobs(const exchange_ptr& exchange);
    void submit(const exchange_ptr& exchange);
    void accept(core::batches::job&& job);
    void refuse(const core::batches::job& job, http::server_exchange& exchange,
                int status, std::string_view reason);
    /// @brief True if the job doesn't fit into the limit of its route, which
    /// this host must know.
    bool over_limit(const core::batches::job& job) const;
    void read(const std::string& job, const exchange_ptr& exchange);
    void read_body(const std::string& job, const exchange_ptr& exchange);
    void end(const std::string& job, const exchange_ptr& exchange);
    bool respond_with_results(const std::string& job, std::uint32_t after,
                              http::server_exchange& exchange,
                              bool respond_if_empty);
    std::shared_ptr<partition_owner>
    owner_for_reading(std::string_view job, http::server_exchange& exchange);
    /// @brief True if the sender of a call may see the job; answers the call if
    /// not, as if there were no such job.
    bool check_visible(const std::string& job,
                       http::server_exchange& exchange) const;
    void on_commit(const std::string& job);
    void expire_waiting_requests();
    void expire_jobs();

    host::host_runtime& runtime;
    job_store jobs;
    placement_agent placement;
    item_scheduler scheduler;
    progress_sync progress;
    boost::asio::steady_timer timer;
    std::list<submission> submissions;
    std::list<waiting_read> reads;
    std::list<waiting_end> ends;
    core::instant next_expiry{};
    bool stopped = false;
};

} // namespace amaranthhatch::batches
