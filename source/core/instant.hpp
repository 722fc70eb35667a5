#pragma once

#include <chrono>
#include <cstdint>

namespace amaranthhatch::core
{

/// @brief A span of time in whole milliseconds.
using milliseconds = std::chrono::milliseconds;

/// @brief A point on one process's monotonic clock, counted from its start.
///
/// The core never reads a clock; callers pass the current time.
using instant = std::chrono::milliseconds;

} // namespace amaranthhatch::core
