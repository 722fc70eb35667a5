#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "logging/event.hpp"

namespace amaranthhatch::logging
{

/// @brief Writes log lines to a descriptor without ever waiting for its reader.
///
/// The lines per second are limited for each event name. Lines that the
/// descriptor doesn't accept are buffered up to a limit. Lines dropped by
/// either limit are counted, and the next line is preceded by an event with
/// that count.
class bounded_sink
{
public:
    bounded_sink(int descriptor, std::string_view program,
                 std::string_view node);

    void write(level severity, std::string_view name, std::string_view line);

    /// @brief Number of lines dropped since the sink was created.
    std::uint64_t dropped() const { return this->total_dropped; }

private:
    struct budget
    {
        std::int64_t second = 0;
        int lines = 0;
    };

    bool allowed(std::string_view name, std::int64_t second);
    void append(level severity, std::string_view line);
    void write_pending();

    int descriptor;
    std::string prefix;
    std::string pending;
    std::map<std::string, budget, std::less<>> budgets;
    std::uint64_t unreported = 0;
    std::uint64_t total_dropped = 0;
};

/// @brief Installs a bounded sink on standard output for this process.
void start_bounded(std::string_view program, std::string_view node);

} // namespace amaranthhatch::logging
