#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/messages/members.hpp"

namespace amaranthhatch::core::members
{

/// @brief Members in the order of their rendezvous hash for a key.
///
/// Every node with the same members computes the same order, and a member that
/// goes moves only the keys it came first for.
std::vector<messages::member>
rendezvous_order(std::string_view key,
                 std::span<const messages::member> members);

/// @brief The coordinators that may be home to a group, the home first.
///
/// Coordinators in the group's region come before those in others.
std::vector<messages::member>
coordinators_for(std::string_view group, std::string_view region,
                 std::span<const messages::member> members);

} // namespace amaranthhatch::core::members
