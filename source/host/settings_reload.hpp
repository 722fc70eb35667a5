#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "host/settings_change.hpp"

namespace amaranthhatch::host
{

/// @brief Reads the settings file again after SIGHUP, and when it changes
/// without a signal.
///
/// A file that can't be read or has a wrong field changes nothing; the log
/// names the field.
class settings_reload
{
public:
    using reader = std::function<host_settings()>;
    using listener = std::function<void(const host_settings&)>;

    /// The file is at path; read throws errors::failure for a wrong one.
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
