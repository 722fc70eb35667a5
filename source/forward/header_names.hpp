#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

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
    /// Signature that proves that an endpoint produced the response.
    std::string signature;
    /// Id of the only endpoint instance that may run the request.
    std::string target_instance;
    /// Set on a response where the endpoint did not run the request.
    std::string not_run;
    /// Set on all responses of an endpoint that leaves, and the value that says
    /// so.
    std::string leaving;
    std::string leaving_value;
    /// Names the parts of the request's prompt.
    std::string prompt;
    /// Parses the value of that header: the ids of the parts that requests can
    /// share, in order.
    std::vector<std::uint64_t> (*parse_prompt)(std::string_view value) =
        nullptr;
    /// Bears the key of a caller's workspace.
    std::string credentials;
    /// Parses the value of that header; nothing if it isn't well-formed.
    std::optional<std::string_view> (*parse_key)(std::string_view value) =
        nullptr;
    /// The scheme of that header, which a 401 response asks for.
    std::string credentials_scheme;
    /// Tells the endpoint the name of the caller's workspace.
    std::string workspace;
    /// Tells the size of the request's prompt.
    std::string prompt_size;
    /// Parses the value of that header: the prompt's tokens, 0 if not known.
    std::uint64_t (*parse_prompt_size)(std::string_view value) = nullptr;
};

} // namespace amaranthhatch::forward
