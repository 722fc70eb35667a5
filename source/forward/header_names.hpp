#pragma once

#include <string>

namespace amaranthhatch::forward
{

/// @brief Names of the HTTP headers that the forwarder reads from or sets on
/// the requests of callers and the responses of endpoints.
struct header_names
{
    /// Identifies one attempt of a caller; endpoints echo it in the response.
    std::string request_id;
    /// Milliseconds that the caller waits for the response; in a request to an
    /// endpoint, the milliseconds that are left for it.
    std::string deadline;
    /// Set by the endpoint on each response that it produced.
    std::string signature;
    /// Id of the only endpoint instance that may run the request.
    std::string target_instance;
    /// Set on a response where the endpoint did not run the request.
    std::string not_run;
};

} // namespace amaranthhatch::forward
