#pragma once

#include "core/instant.hpp"

namespace amaranthhatch::core::limits
{

/// @brief The times of a request that comes while its host stops.
struct request_times
{
    /// Until the host ends all open requests.
    milliseconds until_stop{};
    milliseconds until_deadline{};
    /// Mean time that the service takes for a request.
    milliseconds mean{};
};

/// @brief True if a request that starts now is answered before its stopping
/// host ends it.
///
/// Answers the load of a planned stop, in which requests still come on
/// connections that are in use or take long to upload. One that would be cut is
/// refused as not run, and its caller can ask another host. More time is left
/// to a request that may not be repeated, as its caller can do nothing once it
/// was cut.
bool ends_before_stop(const request_times& times, bool repeatable);

} // namespace amaranthhatch::core::limits
