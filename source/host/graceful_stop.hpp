#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "host/host_runtime.hpp"
#include "http/async_server.hpp"

namespace amaranthhatch::host
{

/// @brief Ends a process without cutting requests.
///
/// On SIGTERM the host says that it isn't ready, goes on serving until the
/// balancer has noticed, then closes its port and waits for what runs.
class graceful_stop
{
public:
    /// @brief What is to be done at each step; any may be empty.
    struct steps
    {
        std::function<void()> announce;
        std::function<void()> stop_accepting;
        std::function<bool()> idle;
        std::function<void()> finish;
    };

    /// The settings' grace may change until the stop begins.
    graceful_stop(boost::asio::io_context& loop, const host_settings& settings,
                  core::milliseconds notice, steps actions);

    /// @brief True once SIGTERM has come.
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
