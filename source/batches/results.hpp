#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhatch::batches
{

/// @brief One result as a reader gets it.
struct item_result
{
    std::string item;
    bool done = false;
    std::string text;
};

/// @brief Some results of a job, from a position on.
struct result_page
{
    std::uint32_t total = 0;
    std::vector<item_result> results;
};

std::string pack(const result_page& page);
std::optional<result_page> unpack_result_page(std::string_view bytes);

} // namespace amaranthhatch::batches
