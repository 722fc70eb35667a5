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

// Bounds change seldom, and nobody waits for them: asking the file system
// for one time every five seconds costs nothing that can be seen.
constexpr std::chrono::seconds look_interval{5};

std::string joined(const std::vector<std::string>& names)
{
    std::string out;
    for (const auto& each : names)
        out += (out.empty() ? "" : ",") + each;
    return out;
}

} // namespace

settings_reload::settings_reload(boost::asio::io_context& loop,
                                 std::string path, host_settings in_force,
                                 reader read, listener applied)
    : path(std::move(path)), in_force(std::move(in_force)),
      read(std::move(read)), applied(std::move(applied)), signals(loop, SIGHUP),
      timer(loop), seen_change(this->changed_at())
{
    this->wait_signal();
    this->wait_change();
}

std::int64_t settings_reload::changed_at() const
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

void settings_reload::wait_change()
{
    this->timer.expires_after(look_interval);
    this->timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (error)
                return;
            if (this->changed_at() != this->seen_change)
                this->reload("file");
            this->wait_change();
        });
}

void settings_reload::reload(std::string_view reason)
{
    this->seen_change = this->changed_at();
    try
    {
        auto change = compare_settings(this->in_force, this->read());
        logging::event(logging::level::info, "settings_reloaded")
            .with("reason", reason)
            .with("applied", joined(change.applied))
            .with("after_restart", joined(change.waiting));
        if (change.applied.empty())
            return;
        this->in_force = std::move(change.next);
        this->applied(this->in_force);
    }
    catch (const errors::failure& error)
    {
        logging::event(logging::level::error, "settings_refused")
            .with("reason", reason)
            .with("detail", error.what());
    }
}

} // namespace amaranthhatch::host
