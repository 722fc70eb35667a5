#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthhatch::load
{

/// @brief The token that a stand-in engine generates at a position.
///
/// It depends on the prompt alone, so that the load tool can tell a lost,
/// doubled or crossed token from the right one.
std::string expected_token(std::string_view prompt, std::uint32_t position);

/// @brief The whole text of an answer.
std::string expected_text(std::string_view prompt, std::uint32_t tokens);

} // namespace amaranthhatch::load
