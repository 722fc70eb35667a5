#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthhatch::core::configuration
{

/// @brief The current configuration of one node.
///
/// Only a higher revision replaces it, so that a delayed message from a node
/// with an older configuration can't revert it.
class revision_register
{
public:
    /// @brief Replaces the configuration; returns false if revision isn't
    /// higher than the current one.
    bool adopt(std::uint64_t revision, std::string_view text);

    std::uint64_t revision() const { return this->current_revision; }
    const std::string& text() const { return this->current_text; }

private:
    std::uint64_t current_revision = 0;
    std::string current_text;
};

} // namespace amaranthhatch::core::configuration
