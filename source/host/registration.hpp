#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/peers/peer_table.hpp"

namespace amaranthhatch::host
{

/// @brief Serializes the entry under which a host registers in the store.
std::string pack_registration(const core::peers::peer& self);

/// @brief Parses a registration entry; nothing if it is malformed.
std::optional<core::peers::peer> unpack_registration(std::string_view text);

} // namespace amaranthhatch::host
