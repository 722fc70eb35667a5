#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthhatch::core::configuration
{

/// @brief The configuration in force on one node.
///
/// Only a higher revision replaces it, so that an old node's late message
/// can't revert a node.
class revision_register
{
public:
    /// @brief Takes a configuration; false where it is no newer.
    bool adopt(std::uint64_t revision, std::string_view text);

    std::uint64_t revision() const { return this->current_revision; }
    const std::string& text() const { return this->current_text; }

private:
    std::uint64_t current_revision = 0;
    std::string current_text;
};

} // namespace amaranthhatch::core::configuration
