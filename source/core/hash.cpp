#include "core/hash.hpp"

#include <xxhash.h>

namespace amaranthhatch::core
{

std::uint64_t hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string hash_hex(std::string_view text)
{
    constexpr char digits[] = "0123456789abcdef";
    XXH128_hash_t value = XXH3_128bits(text.data(), text.size());
    std::string hex;
    for (std::uint64_t half : {value.high64, value.low64})
    {
        for (int shift = 60; shift >= 0; shift -= 4)
            hex += digits[(half >> shift) & 15u];
    }
    return hex;
}

} // namespace amaranthhatch::core
