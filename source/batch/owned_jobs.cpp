#include "batch/owned_jobs.hpp"

#include <algorithm>

namespace amaranthhatch::batch
{

void owned_jobs::add(std::shared_ptr<owned_job> job)
{
    std::lock_guard lock(this->guard);
    this->jobs[job->about().job] = std::move(job);
    this->arrived.notify_all();
}

void owned_jobs::remove(const std::string& job)
{
    std::lock_guard lock(this->guard);
    this->jobs.erase(job);
}

std::shared_ptr<owned_job> owned_jobs::find(const std::string& job) const
{
    std::lock_guard lock(this->guard);
    auto found = this->jobs.find(job);
    return found == this->jobs.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<owned_job>> owned_jobs::all() const
{
    std::lock_guard lock(this->guard);
    std::vector<std::shared_ptr<owned_job>> list;
    for (const auto& [name, job] : this->jobs)
        list.push_back(job);
    return list;
}

std::optional<board_item> owned_jobs::take()
{
    std::vector<std::shared_ptr<owned_job>> by_due;
    for (const auto& [name, job] : this->jobs)
        by_due.push_back(job);
    std::sort(by_due.begin(), by_due.end(),
              [](const auto& one, const auto& other) {
                  return one->about().due_unix_ms < other->about().due_unix_ms;
              });
    for (const auto& job : by_due)
    {
        if (auto run = job->next())
            return board_item{job, std::move(*run)};
    }
    return std::nullopt;
}

std::optional<board_item> owned_jobs::next(std::chrono::milliseconds wait)
{
    std::unique_lock lock(this->guard);
    if (auto item = this->take())
        return item;
    this->arrived.wait_for(lock, wait);
    return this->take();
}

void owned_jobs::changed()
{
    std::lock_guard lock(this->guard);
    this->arrived.notify_all();
}

} // namespace amaranthhatch::batch
