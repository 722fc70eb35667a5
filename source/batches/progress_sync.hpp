#pragma once

#include <map>
#include <memory>
#include <string>

#include "batches/item_scheduler.hpp"
#include "core/batches/item_progress.hpp"

namespace amaranthhatch::batches
{

/// @brief Tells the copies of owned jobs, this host's own disk among them, how
/// far the open items are.
///
/// Nothing waits for it: it only spares a new owner, or this host after a
/// restart, from running items anew.
class progress_sync
{
public:
    progress_sync(host::host_runtime& runtime, placement_agent& placement,
                  job_store& jobs, item_scheduler& scheduler);

    /// @brief Sends what the copies lack; to be called often.
    void tick();

    /// @brief Answers an owner that sends events.
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
    /// Answers that come after the end of this object are dropped.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace amaranthhatch::batches
