#include "control/worker_pool.hpp"

#include "errors/contain.hpp"

namespace amaranthhatch::control
{

worker_pool::worker_pool(unsigned threads, std::size_t queue_limit)
    : queue_limit(queue_limit)
{
    for (unsigned index = 0; index < threads; ++index)
        this->threads.emplace_back([this] { this->run(); });
}

worker_pool::~worker_pool()
{
    {
        std::lock_guard lock(this->guard);
        this->stopping = true;
    }
    this->arrived.notify_all();
    for (auto& thread : this->threads)
        thread.join();
}

bool worker_pool::post(work once)
{
    std::lock_guard lock(this->guard);
    if (this->pending.size() >= this->queue_limit)
        return false;
    this->pending.push_back(std::move(once));
    this->arrived.notify_one();
    return true;
}

void worker_pool::run()
{
    std::unique_lock lock(this->guard);
    while (true)
    {
        this->arrived.wait(
            lock, [this] { return this->stopping || !this->pending.empty(); });
        if (this->stopping)
            return;
        work once = std::move(this->pending.front());
        this->pending.pop_front();
        lock.unlock();
        errors::contain("run queued work", once);
        lock.lock();
    }
}

} // namespace amaranthhatch::control
