#pragma once

#include <map>
#include <memory>
#include <string>

#include "batches/item_scheduler.hpp"
#include "core/batches/item_progress.hpp"

namespace amaranthhatch::batches
{

/// @brief Replicates the events of open items to the copies of the jobs that
/// this host owns, including the copy on its own disk.
///
/// No other operation waits for this replication. It allows a new owner, or
/// this host after a restart, to resume items instead of running them from the
/// start.
class progress_sync
{
public:
    progress_sync(host::host_runtime& runtime, placement_agent& placement,
                  job_store& jobs, item_scheduler& scheduler);

    /// @brief Sends the events that the copies lack; called periodically.
    void tick();

    /// @brief Stores events that an owner sends and responds with this host's
    /// marks.
    void handle(const std::shared_ptr<http::server_exchange>& exchange);

private:
    struct copy_state
    {
        core::batches::progress_marks marks;
        bool sending = false;
    };

    void send_all();
    void send(const std::string& disk,
              std::vector<core::batches::progress_delta> deltas);
    void record_marks(const std::string& disk,
                      const std::vector<core::batches::progress_mark>& marks);
    void forget_finished();

    host::host_runtime& runtime;
    placement_agent& placement;
    job_store& jobs;
    item_scheduler& scheduler;
    std::map<std::string, copy_state> disks;
    core::instant next_send{};
    /// Observed by pending requests: responses that arrive after the
    /// destruction of this object are dropped.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace amaranthhatch::batches
