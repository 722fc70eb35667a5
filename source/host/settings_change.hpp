#pragma once

#include <string>
#include <vector>

#include "host/host_settings.hpp"

namespace amaranthhatch::host
{

/// @brief What a changed settings file means for a running process.
struct settings_change
{
    /// The settings to go on with.
    host_settings next;
    /// Fields that differ and are in force from now on.
    std::vector<std::string> applied;
    /// Fields that differ and wait for the next start.
    std::vector<std::string> after_restart;

    bool empty() const
    {
        return this->applied.empty() && this->after_restart.empty();
    }
};

/// @brief Compares the settings in force with those that were read again.
///
/// Bounds, seeds and the store's address change while a process runs. What
/// names the host, its ports and its disk waits for a restart.
settings_change compare_settings(const host_settings& in_force,
                                 const host_settings& reloaded);

} // namespace amaranthhatch::host
