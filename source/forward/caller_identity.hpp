#pragma once

#include <string_view>

#include "core/workspaces/workspace_table.hpp"
#include "forward/header_names.hpp"
#include "http/exchange.hpp"

namespace amaranthhatch::forward
{

/// @brief Who sent a request, by the key in it.
struct caller_identity
{
    /// The workspace that holds the key; null without a valid one.
    const core::workspaces::workspace* workspace = nullptr;
    /// Why there is no workspace; empty if there is one.
    std::string_view failure;
    /// The key itself; a view of the request's header, never to be logged.
    std::string_view key;

    std::string_view name() const
    {
        return this->workspace == nullptr ? std::string_view()
                                          : this->workspace->name;
    }
};

/// @brief Looks up the workspace that holds the key of a request.
caller_identity identify_caller(const header_names& names,
                                const core::workspaces::workspace_table& table,
                                const http::header_list& headers);

} // namespace amaranthhatch::forward
