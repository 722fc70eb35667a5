#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/peers/zone_view.hpp"

namespace amaranthhatch::peers
{

/// @brief Serializes a view. An endpoint whose neighbours in the list changed,
/// too, takes one byte while it runs at most ten requests of each kind.
std::string pack(const core::peers::view_message& view);

/// @brief Parses a view; nothing if it is malformed.
std::optional<core::peers::view_message> unpack_view(std::string_view bytes);

} // namespace amaranthhatch::peers
