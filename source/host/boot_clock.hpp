#pragma once

#include "core/instant.hpp"

namespace amaranthhatch::host
{

/// @brief Milliseconds since the machine was booted, including suspended time.
///
/// Leases and liveness timeouts use this clock, so that a process that was
/// suspended notices expired leases before it acts on them.
core::instant boot_now();

/// @brief Wall clock time in milliseconds since the Unix epoch.
std::int64_t wall_now_ms();

/// @brief A uniformly distributed random number in [0, 1).
double uniform();

} // namespace amaranthhatch::host
