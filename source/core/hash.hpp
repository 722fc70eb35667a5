#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthhatch::core
{

/// @brief A 64-bit hash that is the same on every node (XXH3).
std::uint64_t hash(std::string_view text, std::uint64_t seed = 0);

/// @brief A 128-bit hash as 32 hexadecimal digits, for content identifiers.
std::string hash_hex(std::string_view text);

} // namespace amaranthhatch::core
