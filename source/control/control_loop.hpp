#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "core/instant.hpp"

namespace amaranthhatch::control
{

/// @brief Milliseconds on the monotonic clock since the process started.
core::instant monotonic_now();

/// @brief Milliseconds since 1970 by the wall clock.
std::int64_t unix_now_ms();

/// @brief The one thread that owns a process's control state.
///
/// Other threads hand it work; none of it may block.
class control_loop
{
public:
    using work = std::function<void()>;

    control_loop() = default;
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;
    ~control_loop();

    /// @brief Runs work at intervals; to be called before start().
    void run_every(core::milliseconds interval, work repeated);

    void start();
    void stop();

    /// @brief Hands over work from any thread.
    void post(work once);

private:
    struct timer
    {
        core::milliseconds interval;
        core::instant due;
        work repeated;
    };

    void run();
    core::milliseconds run_due_timers();

    std::mutex guard;
    std::condition_variable arrived;
    std::deque<work> pending;
    std::vector<timer> timers;
    bool stopping = false;
    std::thread thread;
};

} // namespace amaranthhatch::control
