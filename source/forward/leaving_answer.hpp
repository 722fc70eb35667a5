#pragma once

#include <string_view>

#include "core/endpoints/endpoint_table.hpp"
#include "forward/header_names.hpp"
#include "host/host_runtime.hpp"
#include "http/exchange.hpp"

namespace amaranthhatch::forward
{

/// @brief True if an answer says that its endpoint leaves.
///
/// One value that says so is enough, in a list or in several lines: stopping
/// too early costs an endpoint, going on breaks a rule. Any other text, also 0,
/// says nothing.
bool says_leaving(const header_names& names, const http::header_list& headers);

/// @brief Makes this host send no further requests to the endpoint of a running
/// request, if the head of an answer says that the endpoint leaves.
///
/// Called for each head that came on the run's connection, whether the answer
/// is used or not. The id is that of the running request.
void record_leaving_answer(host::host_runtime& runtime,
                           const header_names& names,
                           const http::header_list& headers,
                           std::string_view id,
                           const core::endpoints::run_key& run);

} // namespace amaranthhatch::forward
