#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhatch::batches
{

/// @brief One result as a reader gets it.
struct read_result
{
    std::string item;
    bool done = false;
    std::string text;
};

/// @brief Some results of a job, from a position on.
struct read_answer
{
    std::uint32_t total = 0;
    std::vector<read_result> results;
};

std::string pack(const read_answer& from);
std::optional<read_answer> unpack_read_answer(std::string_view bytes);

} // namespace amaranthhatch::batches
