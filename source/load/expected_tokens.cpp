#include "load/expected_tokens.hpp"

#include "core/hash.hpp"

namespace amaranthhatch::load
{

std::string expected_token(std::string_view prompt, std::uint32_t position)
{
    constexpr std::uint64_t vocabulary = 100'000;
    return "w" + std::to_string(core::hash(prompt, position) % vocabulary) +
           " ";
}

std::string expected_text(std::string_view prompt, std::uint32_t tokens)
{
    std::string text;
    for (std::uint32_t position = 0; position < tokens; ++position)
        text += expected_token(prompt, position);
    return text;
}

} // namespace amaranthhatch::load
