#pragma once

#include <string>
#include <vector>

#include "host/host_settings.hpp"

namespace amaranthhatch::host
{

/// @brief The effect of a changed settings file on a running process.
struct settings_change
{
    /// The settings to use from now on.
    host_settings next;
    /// Names of changed fields that take effect immediately.
    std::vector<std::string> applied;
    /// Names of changed fields that take effect after a restart.
    std::vector<std::string> after_restart;

    bool empty() const
    {
        return this->applied.empty() && this->after_restart.empty();
    }
};

/// @brief Compares the settings in force with the reloaded ones.
///
/// Changed limits, seeds and the store's address take effect immediately.
/// Changes of the host's name, location, addresses and data folder take effect
/// after a restart.
settings_change compare_settings(const host_settings& in_force,
                                 const host_settings& reloaded);

} // namespace amaranthhatch::host
