#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/batches/item_progress.hpp"

namespace amaranthhatch::batches
{

/// @brief Events of open items, from an owner to a copy.
std::string pack(const std::vector<core::batches::progress_delta>& deltas);

/// @brief How far the copy is with these items.
std::string pack(const std::vector<core::batches::progress_mark>& marks);

std::optional<std::vector<core::batches::progress_delta>>
unpack_progress(std::string_view bytes);

std::optional<std::vector<core::batches::progress_mark>>
unpack_progress_marks(std::string_view bytes);

} // namespace amaranthhatch::batches
