#pragma once

#include <string_view>

#include "core/configuration/declarations.hpp"

namespace amaranthhatch::configuration
{

/// @brief Parses and checks the operators' declarations as a whole.
///
/// Throws settings::settings_error, whose text names file, line and key.
core::configuration::declarations parse_declarations(std::string_view text,
                                                     std::string_view name);

} // namespace amaranthhatch::configuration
