#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/peers/peer_table.hpp"

namespace amaranthhatch::host
{

/// @brief Writes what a host registers of itself in the store.
std::string pack_registration(const core::peers::peer& self);

/// @brief Reads a registration; nothing where it is none of ours.
std::optional<core::peers::peer> unpack_registration(std::string_view text);

} // namespace amaranthhatch::host
