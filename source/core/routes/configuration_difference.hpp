#pragma once

#include <string>
#include <vector>

#include "core/routes/route_table.hpp"

namespace amaranthhatch::core::routes
{

/// @brief One difference between two versions of the configuration.
struct difference
{
    /// "route", "workspace", "service", "limits", or "workspaces" for what
    /// concerns all of them.
    std::string part;
    std::string name;
    /// "added", "removed" or "changed".
    std::string change;
    /// The field that changed; empty for parts that were added or removed.
    std::string field;
    std::string before;
    std::string after;
};

/// @brief Lists the differences by part and name.
///
/// Keys appear as hashes only. Of parts of the same name, the last one counts.
std::vector<difference> compare_configurations(const route_table& in_force,
                                               const route_table& proposed);

} // namespace amaranthhatch::core::routes
