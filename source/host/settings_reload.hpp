#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "host/settings_change.hpp"

namespace amaranthhatch::host
{

/// @brief Reloads the settings file on SIGHUP and when its modification time
/// changes.
///
/// A file that can't be read or has an invalid field is logged with the reason
/// and changes nothing.
class settings_reload
{
public:
    using reader = std::function<host_settings()>;
    using listener = std::function<void(const host_settings&)>;

    /// Calls on_applied with the new settings if any took effect.
    /// read_settings reads the file at path and throws errors::failure if it
    /// is invalid.
    settings_reload(boost::asio::io_context& loop, std::string path,
                    host_settings in_force, reader read_settings,
                    listener on_applied);

private:
    void wait_signal();
    void wait_file_change();
    void reload(std::string_view reason);
    std::int64_t write_time() const;

    std::string path;
    host_settings in_force;
    reader read_settings;
    listener on_applied;
    boost::asio::signal_set signals;
    boost::asio::steady_timer timer;
    std::int64_t seen_write_time = 0;
};

} // namespace amaranthhatch::host
