#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string_view>
#include <vector>

#include "core/messages/members.hpp"

namespace amaranthhatch::core::claims
{

/// @brief Earlier generations that a history holds at most.
constexpr std::size_t history_limit = 16;

/// @brief The keepers that have to be added or whose address has changed.
std::vector<messages::keeper>
keepers_to_add(const messages::keeper_history& history,
               std::span<const messages::member> members);

/// @brief The history after keepers were added or replaced.
///
/// An earlier generation is dropped only where may_drop agrees that it can
/// grant nothing more.
messages::keeper_history
with_keepers(const messages::keeper_history& history,
             std::span<const messages::keeper> added, std::int64_t unix_ms,
             const std::function<bool(const messages::keeper_set&)>& may_drop);

/// @brief The history after a keeper was retired for good.
messages::keeper_history without_keeper(const messages::keeper_history& history,
                                        std::string_view name,
                                        std::int64_t unix_ms);

} // namespace amaranthhatch::core::claims
