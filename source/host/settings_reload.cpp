#include "host/settings_reload.hpp"

#include <chrono>
#include <csignal>
#include <filesystem>

#include "errors/failure.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::host
{

namespace
{

// Settings change seldom and needn't take effect at once. Reading one file
// time every five seconds has no measurable cost.
constexpr std::chrono::seconds poll_interval{5};

std::string join_names(const std::vector<std::string>& names)
{
    std::string joined;
    for (const auto& name : names)
        joined += (joined.empty() ? "" : ",") + name;
    return joined;
}

} // namespace

settings_reload::settings_reload(boost::asio::io_context& loop,
                                 std::string path, host_settings in_force,
                                 reader read_settings, listener on_applied)
    : path(std::move(path)), in_force(std::move(in_force)),
      read_settings(std::move(read_settings)),
      on_applied(std::move(on_applied)), signals(loop, SIGHUP), timer(loop),
      seen_write_time(this->write_time())
{
    this->wait_signal();
    this->wait_file_change();
}

std::int64_t settings_reload::write_time() const
{
    std::error_code error;
    auto time = std::filesystem::last_write_time(this->path, error);
    return error ? 0 : time.time_since_epoch().count();
}

void settings_reload::wait_signal()
{
    this->signals.async_wait(
        [this](boost::system::error_code error, int)
        {
            if (error)
                return;
            this->reload("signal");
            this->wait_signal();
        });
}

void settings_reload::wait_file_change()
{
    this->timer.expires_after(poll_interval);
    this->timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (error)
                return;
            if (this->write_time() != this->seen_write_time)
                this->reload("file");
            this->wait_file_change();
        });
}

void settings_reload::reload(std::string_view reason)
{
    this->seen_write_time = this->write_time();
    try
    {
        auto change = compare_settings(this->in_force, this->read_settings());
        logging::event(logging::level::info, "settings_reloaded")
            .with("reason", reason)
            .with("applied", join_names(change.applied))
            .with("after_restart", join_names(change.after_restart));
        if (change.applied.empty())
            return;
        this->in_force = std::move(change.next);
        this->on_applied(this->in_force);
    }
    catch (const errors::failure& error)
    {
        logging::event(logging::level::error, "settings_refused")
            .with("reason", reason)
            .with("detail", error.what());
    }
}

} // namespace amaranthhatch::host
