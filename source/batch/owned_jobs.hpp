#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "batch/owned_job.hpp"

namespace amaranthhatch::batch
{

/// @brief An item taken from the owned jobs, with its job.
struct board_item
{
    std::shared_ptr<owned_job> job;
    item_run run;
};

/// @brief The jobs that this host owns.
class owned_jobs
{
public:
    void add(std::shared_ptr<owned_job> job);
    void remove(const std::string& job);
    std::shared_ptr<owned_job> find(const std::string& job) const;
    std::vector<std::shared_ptr<owned_job>> all() const;

    /// @brief The next item, of the job that is due first; waits a while.
    std::optional<board_item> next(std::chrono::milliseconds wait);

    /// @brief Wakes threads that wait for an item.
    void changed();

private:
    std::optional<board_item> take();

    mutable std::mutex guard;
    std::condition_variable arrived;
    std::map<std::string, std::shared_ptr<owned_job>, std::less<>> jobs;
};

} // namespace amaranthhatch::batch
