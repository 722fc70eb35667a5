#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/batches/item_progress.hpp"

namespace amaranthhatch::batches
{

/// @brief Packs events of open items that an owner sends to a copy.
std::string pack(const std::vector<core::batches::progress_delta>& deltas);

/// @brief Packs a copy's response: how many events of each item it has.
std::string pack(const std::vector<core::batches::progress_mark>& marks);

std::optional<std::vector<core::batches::progress_delta>>
unpack_progress(std::string_view bytes);

std::optional<std::vector<core::batches::progress_mark>>
unpack_progress_marks(std::string_view bytes);

} // namespace amaranthhatch::batches
