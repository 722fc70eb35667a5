#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/peers/beacon.hpp"
#include "store/async_store.hpp"

namespace amaranthhatch::peers
{

/// @brief Packs a beacon for a datagram.
std::string pack(const core::peers::beacon& beacon);

/// @brief Unpacks a datagram; nothing where it is no beacon of ours.
std::optional<core::peers::beacon> unpack_beacon(std::string_view bytes);

/// @brief Packs a copy of a part of the store.
std::string pack(const store::listing& listing);
std::optional<store::listing> unpack_listing(std::string_view bytes);

} // namespace amaranthhatch::peers
