#pragma once

#include "core/instant.hpp"

namespace amaranthhatch::host
{

/// @brief Milliseconds since the machine's start, suspended time included.
///
/// Leases and liveness are judged by it, so that a process that was frozen
/// finds out before it acts.
core::instant boot_now();

/// @brief Milliseconds since 1970 by the wall clock.
std::int64_t wall_now_ms();

/// @brief A uniform number in [0, 1).
double uniform();

} // namespace amaranthhatch::host
