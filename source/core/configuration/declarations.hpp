#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/instant.hpp"
#include "core/messages/slots.hpp"
#include "core/workspaces/workspace.hpp"

namespace amaranthhatch::core::configuration
{

/// @brief A class of work with latency targets declared by the operators.
struct work_class
{
    std::string name;
    messages::work_kind kind = messages::work_kind::online;
    /// Lower ranks are served first and refused last.
    std::uint32_t rank = 0;
    milliseconds first_token{};
    milliseconds token_gap{};
    /// An online response that isn't complete within this time is useless to
    /// the client.
    milliseconds deadline{};
    /// Deadline of a batch job that is submitted without one, counted from the
    /// submission.
    milliseconds completion_window{};
};

/// @brief A model that engines serve.
struct model
{
    std::string name;
    std::vector<std::string> classes;
    std::uint32_t max_tokens = 0;
};

/// @brief A service whose requests aren't model generations.
struct service
{
    std::string name;
    std::string work_class;
    /// False if a call may be executed at most once.
    bool repeatable = true;
};

/// @brief Undeclared workspaces get default limits.
using workspaces::workspace;

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
