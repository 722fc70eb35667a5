#pragma once

#include <cstdint>
#include <exception>
#include <string_view>

namespace amaranthhatch::errors
{

/// @brief Logs an unexpected exception of a step, with how many there were.
void report_unexpected(std::string_view step, std::string_view detail);

/// @brief The unexpected exceptions of this process so far.
unsigned long unexpected_count();

/// @brief Runs one step of a process and returns false if it threw.
///
/// One malformed message or one fault in the handling of a request must not end
/// a process that serves hundreds of others, nor stop a timer for good.
template <typename Step>
bool contain(std::string_view name, Step&& step) noexcept
{
    try
    {
        step();
        return true;
    }
    catch (const std::exception& error)
    {
        report_unexpected(name, error.what());
    }
    catch (...)
    {
        report_unexpected(name, "not an exception of the standard library");
    }
    return false;
}

} // namespace amaranthhatch::errors
