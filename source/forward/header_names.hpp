#pragma once

#include <string>

namespace amaranthhatch::forward
{

/// @brief The header names that callers and endpoints use for what the
/// forwarder reads or sets.
struct header_names
{
    /// Identifies one attempt of a caller; endpoints echo it.
    std::string request_id;
    /// Milliseconds that the caller waits, or that an endpoint may work.
    std::string deadline;
    /// Proves that an answer is an endpoint's.
    std::string signature;
    /// Names the only endpoint instance that may run the request.
    std::string target_instance;
    /// Says that an endpoint did not run the request.
    std::string not_run;
};

} // namespace amaranthhatch::forward
