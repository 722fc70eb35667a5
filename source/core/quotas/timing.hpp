#pragma once

#include "core/instant.hpp"

namespace amaranthhatch::core::quotas
{

/// Time constant of the rates that owners and hosts measure: long enough for a
/// few requests of a workspace that sends ten a second, and short against the
/// seconds of a flood.
inline constexpr milliseconds rate_memory{200};
/// Shortest time between two reports of a host.
inline constexpr milliseconds report_interval{50};
/// Time from an admission at one host until the others know of it: half of a
/// report's interval, and twice the way to another region.
inline constexpr double report_delay_s = 0.1;
/// Interval at which an owner tells all hosts the state of a bucket that is
/// nearly empty, as hosts that are seldom asked have an old copy.
inline constexpr milliseconds notice_interval{200};
/// A host whose reports weren't answered for this time asks the next owner; the
/// way to another region and back takes 45 ms, and several reports are sent.
inline constexpr milliseconds answer_timeout{200};
/// Time for which an owner that didn't answer is passed over.
inline constexpr milliseconds owner_exclusion{3000};

} // namespace amaranthhatch::core::quotas
