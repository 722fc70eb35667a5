#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace amaranthhatch::coordinator
{

/// @brief The key of the operators' declarations in the platform's service.
constexpr std::string_view configuration_key = "shared/configuration";

/// @brief The prefix that is watched.
constexpr std::string_view shared_prefix = "shared/";

/// @brief The stored form of one revision of the declarations.
struct stored_configuration
{
    std::uint64_t revision = 0;
    /// Differs for every apply, so that a lost answer can be resolved.
    std::string apply;
    std::string operator_name;
    std::string text;
};

std::string write_configuration(const stored_configuration& value);
std::optional<stored_configuration> read_configuration(std::string_view text);

} // namespace amaranthhatch::coordinator
