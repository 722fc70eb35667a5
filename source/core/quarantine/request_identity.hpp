#pragma once

#include <string_view>

#include "core/quarantine/crash_report.hpp"

namespace amaranthhatch::core::quarantine
{

/// @brief What repeats of one request have in common.
struct request_content
{
    std::string_view method;
    std::string_view authority;
    std::string_view target;
    /// Names all parts of its prompt, the last of which is its caller's own.
    std::string_view prompt;
    std::string_view body;
};

/// @brief The id of a request, the same on every host and marked as such.
part_id identify_request(const request_content& content);

} // namespace amaranthhatch::core::quarantine
