#include "host/graceful_stop.hpp"

#include <csignal>

#include "host/boot_clock.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::host
{

namespace
{

constexpr core::milliseconds idle_check{50};
// What still runs after this share of the grace is cut, so that the process
// ends by itself before it is killed.
constexpr double cut_share = 0.9;

} // namespace

graceful_stop::graceful_stop(boost::asio::io_context& loop,
                             const host_settings& settings,
                             core::milliseconds notice, steps todo)
    : loop(loop), settings(settings), notice(notice), todo(std::move(todo)),
      signals(loop, SIGTERM, SIGINT), timer(loop)
{
    std::signal(SIGPIPE, SIG_IGN);
    this->signals.async_wait(
        [this](boost::system::error_code error, int)
        {
            if (!error)
                this->begin();
        });
}

void graceful_stop::begin()
{
    this->begun = true;
    this->began = boot_now();
    logging::event(logging::level::info, "stopping")
        .with("grace_ms", this->settings.grace.count());
    if (this->todo.announce)
        this->todo.announce();
    this->timer.expires_after(this->notice);
    this->timer.async_wait(
        [this](boost::system::error_code)
        {
            if (this->todo.stop_taking)
                this->todo.stop_taking();
            this->wait_idle();
        });
}

void graceful_stop::wait_idle()
{
    auto passed = boot_now() - this->began;
    bool late = static_cast<double>(passed.count()) >
                cut_share * static_cast<double>(this->settings.grace.count());
    bool idle = !this->todo.idle || this->todo.idle();
    if (idle || late)
    {
        logging::event(logging::level::info, "stopped")
            .with("idle", idle ? 1 : 0)
            .with("after_ms", passed.count());
        if (this->todo.finish)
            this->todo.finish();
        // The last writes go out before the loop ends.
        this->timer.expires_after(idle_check);
        this->timer.async_wait([this](boost::system::error_code)
                               { this->loop.stop(); });
        return;
    }
    this->timer.expires_after(idle_check);
    this->timer.async_wait([this](boost::system::error_code)
                           { this->wait_idle(); });
}

} // namespace amaranthhatch::host
