#include "openai/completion_request.hpp"

#include <nlohmann/json.hpp>

namespace amaranthhatch::openai
{

namespace
{

using nlohmann::json;

constexpr std::uint32_t default_max_tokens = 256;
constexpr std::int64_t most_tokens = 1'000'000;
constexpr std::size_t bytes_per_token = 4;

std::string text_of(const json& body, const char* key)
{
    if (!body.contains(key))
        throw bad_completion(std::string("\"") + key + "\" is missing");
    if (!body[key].is_string())
        throw bad_completion(std::string("\"") + key + "\" must be a string");
    return body[key].get<std::string>();
}

// A message's content is a string, or a list of parts of which the text counts.
std::string content_of(const json& message, std::size_t index)
{
    std::string place = "messages[" + std::to_string(index) + "]";
    if (!message.is_object() || !message.contains("content"))
        throw bad_completion(place + ".content is missing");
    const json& content = message["content"];
    if (content.is_string())
        return content.get<std::string>();
    if (!content.is_array())
        throw bad_completion(place + ".content must be a string or a list");
    std::string text;
    for (const auto& part : content)
    {
        if (!part.is_object() || part.value("type", "") != "text")
            throw bad_completion(place + ".content: only text can be served");
        text += part.value("text", "");
    }
    return text;
}

std::string chat_prompt(const json& body)
{
    if (!body.contains("messages") || !body["messages"].is_array() ||
        body["messages"].empty())
        throw bad_completion("\"messages\" must be a list with an element");
    std::string prompt;
    std::size_t index = 0;
    for (const auto& message : body["messages"])
    {
        std::string content = content_of(message, index++);
        bool has_role = message.contains("role") && message["role"].is_string();
        if (!has_role)
            throw bad_completion("messages[" + std::to_string(index - 1) +
                                 "].role must be a string");
        prompt += message["role"].get<std::string>() + ": " + content + "\n";
    }
    return prompt;
}

std::uint32_t max_tokens_of(const json& body)
{
    const char* key = body.contains("max_completion_tokens")
                          ? "max_completion_tokens"
                          : "max_tokens";
    if (!body.contains(key))
        return default_max_tokens;
    bool valid = body[key].is_number_integer() &&
                 body[key].get<std::int64_t>() >= 1 &&
                 body[key].get<std::int64_t>() <= most_tokens;
    if (!valid)
        throw bad_completion(std::string("\"") + key +
                             "\" must be a whole number from 1 to 1000000");
    return body[key].get<std::uint32_t>();
}

std::string dump(const json& object)
{
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

completion_request parse_completion(std::string_view body, bool chat)
{
    json parsed;
    try
    {
        parsed = json::parse(body);
    }
    catch (const json::parse_error& error)
    {
        throw bad_completion("the body is no valid JSON at byte " +
                             std::to_string(error.byte));
    }
    if (!parsed.is_object())
        throw bad_completion("the body must be a JSON object");
    completion_request asked;
    asked.chat = chat;
    asked.model = text_of(parsed, "model");
    asked.prompt = chat ? chat_prompt(parsed) : text_of(parsed, "prompt");
    asked.max_tokens = max_tokens_of(parsed);
    if (parsed.contains("stream") && !parsed["stream"].is_boolean())
        throw bad_completion("\"stream\" must be true or false");
    asked.stream = parsed.value("stream", false);
    return asked;
}

std::string completion_event(const completion_request& asked,
                             std::string_view id, std::string_view text,
                             bool last)
{
    json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (last)
        choice["finish_reason"] = "length";
    if (asked.chat)
        choice["delta"] =
            last ? json::object() : json({{"content", std::string(text)}});
    else
        choice["text"] = std::string(text);
    json event = {
        {"id", std::string(id)},
        {"object", asked.chat ? "chat.completion.chunk" : "text_completion"},
        {"model", asked.model},
        {"choices", json::array({choice})}};
    return "data: " + dump(event) + "\n\n";
}

std::string completion_body(const completion_request& asked,
                            std::string_view id, std::string_view text,
                            std::uint32_t tokens)
{
    json choice = {{"index", 0}, {"finish_reason", "length"}};
    if (asked.chat)
        choice["message"] = {{"role", "assistant"},
                             {"content", std::string(text)}};
    else
        choice["text"] = std::string(text);
    auto prompt_tokens = asked.prompt.size() / bytes_per_token;
    return dump({{"id", std::string(id)},
                 {"object", asked.chat ? "chat.completion" : "text_completion"},
                 {"model", asked.model},
                 {"choices", json::array({choice})},
                 {"usage",
                  {{"prompt_tokens", prompt_tokens},
                   {"completion_tokens", tokens},
                   {"total_tokens", prompt_tokens + tokens}}}});
}

} // namespace amaranthhatch::openai
