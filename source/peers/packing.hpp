#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/peers/beacon.hpp"
#include "store/async_store.hpp"

namespace amaranthhatch::peers
{

/// @brief Serializes a beacon for a datagram. Views and parts, which small
/// zones never send, end with a view_message.
std::string pack(const core::peers::beacon& beacon);

/// @brief Puts the time of the receiver's own loads in front of a serialized
/// beacon, so that it is serialized once for all hosts of a zone.
std::string with_included(std::int64_t included_ms, std::string_view beacon);

/// @brief Parses a datagram; nothing if it is malformed or of another format.
std::optional<core::peers::beacon> unpack_beacon(std::string_view bytes);

/// @brief Serializes reports of crashes for the store, with the time of day in
/// milliseconds, from which their age is known when they are read.
std::string
pack_crashes(std::span<const core::quarantine::crash_report> reports,
             std::int64_t wall_ms);
std::optional<std::vector<core::quarantine::crash_report>>
unpack_crashes(std::string_view bytes, std::int64_t wall_ms);

/// @brief Serializes a copy of one part of the store.
std::string pack(const store::listing& listing);
std::optional<store::listing> unpack_listing(std::string_view bytes);

} // namespace amaranthhatch::peers
