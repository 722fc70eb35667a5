#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "host/host_runtime.hpp"
#include "http/async_server.hpp"

namespace amaranthhatch::host
{

/// @brief Stops the process without leaving requests unanswered.
///
/// On SIGTERM or SIGINT the host reports that it isn't ready and continues to
/// serve for the notice time, in which the load balancer stops sending to it.
/// Then it closes its port and waits for running requests to end. Requests that
/// take longer than the grace period are ended before it is over.
class graceful_stop
{
public:
    /// @brief The actions of each step of the stop; any may be empty.
    /// idle returns whether no request is running. end_requests answers those
    /// that still run when the grace period is nearly over.
    struct steps
    {
        std::function<void()> announce;
        std::function<void()> stop_accepting;
        std::function<bool()> idle;
        std::function<void()> end_requests;
        std::function<void()> finish;
    };

    /// The grace period is read from settings during the stop, so a reload
    /// may change it.
    graceful_stop(boost::asio::io_context& loop, const host_settings& settings,
                  core::milliseconds notice, steps actions);

    /// @brief The part of a grace period after which open requests are ended.
    static core::milliseconds request_time(core::milliseconds grace);

    /// @brief True after SIGTERM or SIGINT was received.
    bool stopping() const { return this->stop_requested; }

private:
    void begin();
    void wait_idle();

    boost::asio::io_context& loop;
    const host_settings& settings;
    core::milliseconds notice;
    steps actions;
    boost::asio::signal_set signals;
    boost::asio::steady_timer timer;
    core::instant begun_at{};
    bool stop_requested = false;
};

} // namespace amaranthhatch::host
