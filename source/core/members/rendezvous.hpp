#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/messages/members.hpp"

namespace amaranthhatch::core::members
{

/// @brief Returns the members in the order of their rendezvous hash for a key.
///
/// Every node with the same members computes the same order. When a member is
/// removed, only the keys for which it was first move to another member.
std::vector<messages::member>
rendezvous_order(std::string_view key,
                 std::span<const messages::member> members);

/// @brief Returns the coordinators for a group in order of preference.
///
/// The first one manages the group. Coordinators in the region come before
/// those in other regions.
std::vector<messages::member>
coordinators_for(std::string_view group, std::string_view region,
                 std::span<const messages::member> members);

} // namespace amaranthhatch::core::members
