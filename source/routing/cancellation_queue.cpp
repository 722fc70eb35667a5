#include "routing/cancellation_queue.hpp"

namespace amaranthhatch::routing
{

namespace
{

// A frozen endpoint holds up one thread for the cancel's time limit; the
// others go on.
constexpr unsigned thread_count = 4;

// Orders beyond this are dropped: the closed connection cancels as well.
constexpr std::size_t order_limit = 4096;

} // namespace

cancellation_queue::cancellation_queue(adapters::model_engine& engine)
    : engine(engine)
{
    for (unsigned index = 0; index < thread_count; ++index)
        this->threads.emplace_back([this] { this->run(); });
}

cancellation_queue::~cancellation_queue()
{
    {
        std::lock_guard lock(this->guard);
        this->stopping = true;
    }
    this->arrived.notify_all();
    for (auto& thread : this->threads)
        thread.join();
}

void cancellation_queue::cancel(std::string_view address,
                                std::string_view request)
{
    std::lock_guard lock(this->guard);
    if (this->orders.size() >= order_limit)
        return;
    this->orders.push_back({std::string(address), std::string(request)});
    this->arrived.notify_one();
}

void cancellation_queue::run()
{
    std::unique_lock lock(this->guard);
    while (true)
    {
        this->arrived.wait(lock, [this]
                           { return this->stopping || !this->orders.empty(); });
        if (this->stopping)
            return;
        order next = std::move(this->orders.front());
        this->orders.pop_front();
        lock.unlock();
        this->engine.cancel(next.address, next.request);
        lock.lock();
    }
}

} // namespace amaranthhatch::routing
