#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/instant.hpp"
#include "core/messages/slots.hpp"

namespace amaranthhatch::core::configuration
{

/// @brief A class of work with the targets that its operators declare.
struct work_class
{
    std::string name;
    messages::work_kind kind = messages::work_kind::online;
    /// Lower ranks are served first and refused last.
    std::uint32_t rank = 0;
    milliseconds first_token{};
    milliseconds token_gap{};
    /// An online answer that has not ended by then is of no use.
    milliseconds deadline{};
    /// A batch job without a due time of its own is due this long after.
    milliseconds completion_window{};
};

/// @brief A model that engines serve.
struct model
{
    std::string name;
    std::vector<std::string> classes;
    std::uint32_t max_tokens = 0;
};

/// @brief A plain service.
struct service
{
    std::string name;
    std::string work_class;
    /// False where a call may run at most once.
    bool repeatable = true;
};

/// @brief A customer's workspace; undeclared ones have the default limits.
struct workspace
{
    std::string name;
    std::uint32_t max_concurrent = 0;
};

/// @brief The operators' declarations of one revision.
struct declarations
{
    std::vector<work_class> classes;
    std::vector<model> models;
    std::vector<service> services;
    std::vector<workspace> workspaces;

    const work_class* find_class(std::string_view name) const;
    const model* find_model(std::string_view name) const;
    const service* find_service(std::string_view name) const;
    const workspace* find_workspace(std::string_view name) const;
};

} // namespace amaranthhatch::core::configuration
