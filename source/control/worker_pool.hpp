#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace amaranthhatch::control
{

/// @brief A bounded queue of work, done by a fixed number of threads.
class worker_pool
{
public:
    using work = std::function<void()>;

    worker_pool(unsigned threads, std::size_t queue_limit);
    ~worker_pool();

    /// @brief Hands work over; false where the queue is full.
    bool post(work once);

private:
    void run();

    std::size_t queue_limit;
    std::mutex guard;
    std::condition_variable arrived;
    std::deque<work> pending;
    bool stopping = false;
    std::vector<std::thread> threads;
};

} // namespace amaranthhatch::control
