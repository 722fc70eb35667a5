#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

#include "batch/owned_jobs.hpp"
#include "metrics/registry.hpp"
#include "routing/generation_run.hpp"
#include "routing/view_client.hpp"

namespace amaranthhatch::batch
{

/// @brief Runs items of owned jobs on slots that online work may take back.
class item_runner
{
public:
    item_runner(unsigned threads, owned_jobs& owned,
                routing::generation_tools tools, routing::view_client& view,
                metrics::registry& metrics);
    ~item_runner();

    void start();

    /// @brief Starts no further item and gives running ones back.
    void stop();

    std::size_t running() const { return this->running_items; }

private:
    void run();
    void run_item(board_item item);

    unsigned thread_count;
    owned_jobs& owned;
    routing::generation_tools tools;
    routing::view_client& view;
    metrics::registry& metrics;
    std::atomic<bool> stopping{false};
    std::atomic<std::size_t> running_items{0};
    std::vector<std::thread> threads;
};

} // namespace amaranthhatch::batch
