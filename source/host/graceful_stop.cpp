#include "host/graceful_stop.hpp"

#include <csignal>

#include "host/boot_clock.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::host
{

namespace
{

constexpr core::milliseconds idle_check{50};
// Requests that still run after this share of the grace period are ended with
// an answer, so that the process exits by itself before it is killed.
constexpr double forced_stop_share = 0.9;

} // namespace

graceful_stop::graceful_stop(boost::asio::io_context& loop,
                             const host_settings& settings,
                             core::milliseconds notice, steps actions)
    : loop(loop), settings(settings), notice(notice),
      actions(std::move(actions)), signals(loop, SIGTERM, SIGINT), timer(loop)
{
    std::signal(SIGPIPE, SIG_IGN);
    this->signals.async_wait(
        [this](boost::system::error_code error, int)
        {
            if (!error)
                this->begin();
        });
}

core::milliseconds graceful_stop::request_time(core::milliseconds grace)
{
    return std::chrono::duration_cast<core::milliseconds>(grace *
                                                          forced_stop_share);
}

void graceful_stop::begin()
{
    this->stop_requested = true;
    this->begun_at = boot_now();
    logging::event(logging::level::info, "stopping")
        .with("grace_ms", this->settings.grace.count());
    if (this->actions.announce)
        this->actions.announce();
    this->timer.expires_after(this->notice);
    this->timer.async_wait(
        [this](boost::system::error_code)
        {
            if (this->actions.stop_accepting)
                this->actions.stop_accepting();
            this->wait_idle();
        });
}

void graceful_stop::wait_idle()
{
    auto elapsed = boot_now() - this->begun_at;
    bool out_of_time = elapsed > request_time(this->settings.grace);
    bool idle = !this->actions.idle || this->actions.idle();
    if (idle || out_of_time)
    {
        logging::event(logging::level::info, "stopped")
            .with("idle", idle ? 1 : 0)
            .with("after_ms", elapsed.count());
        if (!idle && this->actions.end_requests)
            this->actions.end_requests();
        if (this->actions.finish)
            this->actions.finish();
        // Leaves time for pending writes before the event loop stops.
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
