#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "core/quotas/quota_messages.hpp"

namespace amaranthhatch::peers
{

std::string pack(const core::quotas::report_message& message);
std::string pack(const core::quotas::state_message& message);

/// @brief Unpacks either message; nothing (monostate) if it can't be read.
std::variant<std::monostate, core::quotas::report_message,
             core::quotas::state_message>
unpack_quota_message(std::string_view bytes);

} // namespace amaranthhatch::peers
