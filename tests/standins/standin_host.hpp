#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "http/server.hpp"

namespace amaranthhatch::standins
{

/// @brief A JSON answer.
http::response json_response(int status, const nlohmann::json& body);

/// @brief The path behind a prefix, or an empty view where it has another.
std::string_view path_below(std::string_view path, std::string_view prefix);

/// @brief Serves until SIGTERM; reads the address from --listen.
int serve(int argument_count, char** arguments,
          const http::server::handler& handle);

} // namespace amaranthhatch::standins
