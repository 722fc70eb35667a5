#pragma once

#include "core/instant.hpp"

namespace amaranthhatch::core::endpoints
{

/// @brief Time after an endpoint's last failure, or its readmission, for which
/// its runs are reported to other hosts.
inline constexpr milliseconds report_time{4000};

} // namespace amaranthhatch::core::endpoints
