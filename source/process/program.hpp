#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "settings/document.hpp"

namespace amaranthhatch::process
{

/// @brief Settings that every long-running program has.
struct node_settings
{
    std::string name;
    std::string zone;
    std::string region;
};

/// @brief Reads the table [node].
node_settings read_node(settings::document& from);

/// @brief Waits in the main thread until SIGTERM or SIGINT.
///
/// block_signals() must have been called before any thread was started.
void block_signals();
void wait_for_stop();

/// @brief What a daemon's main function does with its settings file.
struct daemon_program
{
    std::string_view name;
    std::string_view summary;
    /// Reads and checks the settings, then runs unless only_check is set.
    std::function<void(settings::document& from, bool only_check)> run;
};

/// @brief Handles --help, --version, --check and --settings; gives the exit
/// status.
int run_daemon(int argument_count, char** arguments,
               const daemon_program& program);

/// @brief A text that no other call gives, for identifiers.
std::string random_text();

/// @brief A number for seeds, from the machine's random device.
std::uint64_t random_number();

} // namespace amaranthhatch::process
