#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhatch::batches
{

/// @brief The result of one item as it is returned to a reader.
struct item_result
{
    std::string item;
    /// False if the item was given up; text is empty then.
    bool done = false;
    std::string text;
};

/// @brief Consecutive results of a job, starting at the position that the
/// reader requested.
struct result_page
{
    /// Number of items of the job.
    std::uint32_t total = 0;
    std::vector<item_result> results;
};

std::string pack(const result_page& page);
std::optional<result_page> unpack_result_page(std::string_view bytes);

} // namespace amaranthhatch::batches
