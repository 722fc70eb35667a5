#pragma once

#include <string_view>

#include "core/instant.hpp"
#include "core/outcome.hpp"
#include "http/exchange.hpp"

namespace amaranthhatch::entry
{

/// @brief A refusal to tell the caller, with what is known of the request.
struct refusal_notice
{
    core::refusal reason = core::refusal::none;
    core::outcome known = core::outcome::not_run;
    std::string_view detail;
    core::milliseconds retry_after{};
};

/// @brief An OpenAI-shaped error answer that also says whether the request ran.
http::response refusal_response(const refusal_notice& notice);

/// @brief The same as the body of an event in a stream that has begun.
std::string refusal_event(const refusal_notice& notice);

} // namespace amaranthhatch::entry
