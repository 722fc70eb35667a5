#pragma once

#include <string>

#include "core/configuration/declarations.hpp"
#include "entry/workspace_limits.hpp"
#include "http/exchange.hpp"
#include "metrics/registry.hpp"
#include "openai/completion_request.hpp"
#include "routing/generation_run.hpp"
#include "routing/view_client.hpp"

namespace amaranthhatch::entry
{

/// @brief Serves chat and plain completions, streamed or whole.
class completion_handler
{
public:
    completion_handler(routing::generation_tools tools,
                       routing::view_client& view, workspace_limits& limits,
                       metrics::registry& metrics);

    http::response handle(const http::request& asked, bool chat);

private:
    http::response run(const http::request& asked,
                       const openai::completion_request& request,
                       const core::configuration::work_class& by);

    routing::generation_tools tools;
    routing::view_client& view;
    workspace_limits& limits;
    metrics::registry& metrics;
};

/// @brief The class a request asks for, or the model's first one; nullptr
/// where it isn't declared for the model.
const core::configuration::work_class*
choose_class(const core::configuration::declarations& declared,
             const core::configuration::model& model, std::string_view wanted);

/// @brief What to ask of a group for a class.
core::messages::want_slot want_for(const core::configuration::work_class& by,
                                   std::uint32_t expected_tokens,
                                   std::string_view prompt);

} // namespace amaranthhatch::entry
