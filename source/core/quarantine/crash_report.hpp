#pragma once

#include <cstdint>
#include <vector>

#include "core/instant.hpp"

namespace amaranthhatch::core::quarantine
{

/// @brief Identifies a part of a prompt that several requests can share, or a
/// whole request that can come again.
using part_id = std::uint64_t;

/// Set in the ids of whole requests, clear in those of prompt parts.
inline constexpr part_id request_mark = part_id{1} << 63;

constexpr bool is_request(part_id id)
{
    return (id & request_mark) != 0;
}

/// Parts of a prompt that are tracked; further ones are ignored.
inline constexpr std::size_t max_tracked_parts = 16;

/// @brief A request that had hardly begun to generate when its endpoint closed
/// the connection. It, or each of its parts, may have crashed the endpoint.
///
/// Hosts send each other these reports. Two versions of one report are merged
/// by joining their marks, so hosts agree whatever the order of arrival.
struct crash_report
{
    /// Identifies the run of the request.
    std::uint64_t run = 0;
    /// Identifies the endpoint's incarnation.
    std::uint64_t endpoint = 0;
    /// Identifies the service of the endpoint.
    std::uint64_t service = 0;
    /// At most max_tracked_parts; the id of the request itself is the first.
    /// Items of batch jobs have none.
    std::vector<part_id> parts;
    /// A bit for each part that another request has been answered with since.
    std::uint32_t cleared = 0;
    /// A bit for each part that some host has confirmed as the cause.
    std::uint32_t confirmed = 0;
    /// Time since the crash.
    milliseconds age{};
    /// Equal for all crashes that one host noticed at once and that may have
    /// one cause; the endpoint if there is no other.
    std::uint64_t cause = 0;
};

} // namespace amaranthhatch::core::quarantine
