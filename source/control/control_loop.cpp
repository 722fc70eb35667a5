#include "control/control_loop.hpp"

#include <algorithm>
#include <chrono>

#include "errors/contain.hpp"

namespace amaranthhatch::control
{

namespace
{

constexpr core::milliseconds longest_sleep{1000};

} // namespace

core::instant monotonic_now()
{
    using std::chrono::steady_clock;
    static const auto start = steady_clock::now();
    return std::chrono::duration_cast<core::instant>(steady_clock::now() -
                                                     start);
}

std::int64_t unix_now_ms()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<core::milliseconds>(now).count();
}

control_loop::~control_loop()
{
    this->stop();
}

void control_loop::run_every(core::milliseconds interval, work repeated)
{
    this->timers.push_back(
        {interval, monotonic_now() + interval, std::move(repeated)});
}

void control_loop::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void control_loop::stop()
{
    {
        std::lock_guard lock(this->guard);
        this->stopping = true;
    }
    this->arrived.notify_all();
    if (this->thread.joinable())
        this->thread.join();
}

void control_loop::post(work once)
{
    {
        std::lock_guard lock(this->guard);
        this->pending.push_back(std::move(once));
    }
    this->arrived.notify_one();
}

core::milliseconds control_loop::run_due_timers()
{
    core::milliseconds next = longest_sleep;
    for (auto& one : this->timers)
    {
        core::instant now = monotonic_now();
        if (now >= one.due)
        {
            // Missed turns are skipped, so that a process that was paused
            // doesn't run a burst of them.
            one.due = now + one.interval;
            errors::contain("run a timer of the control loop", one.repeated);
        }
        next = std::min(next, one.due - monotonic_now());
    }
    return std::max(next, core::milliseconds(0));
}

void control_loop::run()
{
    while (true)
    {
        core::milliseconds sleep = this->run_due_timers();
        std::deque<work> taken;
        {
            std::unique_lock lock(this->guard);
            this->arrived.wait_for(
                lock, sleep,
                [this] { return this->stopping || !this->pending.empty(); });
            if (this->stopping)
                return;
            taken.swap(this->pending);
        }
        for (auto& once : taken)
            errors::contain("run work of the control loop", once);
    }
}

} // namespace amaranthhatch::control
