#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace amaranthhatch::openai
{

/// @brief A request body that isn't a valid completion request.
class bad_completion : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// @brief A chat or plain completion as a caller asks for it.
struct completion_request
{
    bool chat = false;
    bool stream = false;
    std::string model;
    std::string prompt;
    std::uint32_t max_tokens = 0;
};

/// @brief Reads an OpenAI-style body; throws bad_completion, naming the place.
completion_request parse_completion(std::string_view body, bool chat);

/// @brief One chunk of a streamed answer as a server-sent event.
std::string completion_event(const completion_request& asked,
                             std::string_view id, std::string_view text,
                             bool last);

/// @brief A whole answer's body.
std::string completion_body(const completion_request& asked,
                            std::string_view id, std::string_view text,
                            std::uint32_t tokens);

} // namespace amaranthhatch::openai
