#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace amaranthhatch::logging
{

/// @brief The severity of an event.
enum class level
{
    debug,
    info,
    warning,
    error
};

/// @brief The upper-case name of a level, as log lines show it.
std::string_view level_name(level severity);

/// @brief Receives complete lines: severity, event name and key=value text.
using sink = std::function<void(level severity, std::string_view name,
                                std::string_view)>;

/// @brief Installs the sink of this process.
///
/// It must be called before the first event; events without a sink are
/// dropped.
void install(sink new_sink);

/// @brief One log line of key=value pairs, written when it goes out of scope.
///
/// Values with blanks, quotes, equals signs or line breaks are quoted, so that
/// a line stays parsable.
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

/// @brief Installs a sink that writes to standard error and prefixes each line
/// with time, level, program and node.
void start(std::string_view program, std::string_view node);

} // namespace amaranthhatch::logging
