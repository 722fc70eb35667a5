#pragma once

#include <string>
#include <vector>

#include "core/routes/route_table.hpp"

namespace amaranthhatch::core::routes
{

/// @brief A part of a configuration that can't work as it is declared.
struct finding
{
    /// Stable name of the rule, for scripts.
    std::string rule;
    /// "route", "workspace", "service" or "limits".
    std::string part;
    std::string name;
    std::string detail;
};

/// @brief Checks one version of the configuration by itself.
///
/// Keys appear as hashes only.
std::vector<finding> check_configuration(const route_table& checked);

} // namespace amaranthhatch::core::routes
