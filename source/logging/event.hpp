#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace amaranthhatch::logging
{

/// @brief How grave an event is.
enum class level
{
    debug,
    info,
    warning,
    error
};

/// @brief The upper-case name of a level, as log lines show it.
std::string_view level_name(level severity);

/// @brief Takes finished lines: level, event name and key=value text.
using sink = std::function<void(level severity, std::string_view name,
                                std::string_view)>;

/// @brief Installs the sink of this process; to be called before any event.
void install(sink new_sink);

/// @brief One log line of key=value pairs, written when it goes out of scope.
///
/// Values with blanks or quotes are quoted, so that a line stays parsable.
class event
{
public:
    event(level severity, std::string_view name);
    event(const event&) = delete;
    event& operator=(const event&) = delete;
    ~event();

    event& with(std::string_view key, std::string_view value);
    event& with(std::string_view key, std::int64_t value);

private:
    level severity;
    std::string name;
    std::string line;
};

/// @brief Sends log lines to standard error, each with time, level and program.
void start(std::string_view program, std::string_view node);

} // namespace amaranthhatch::logging
