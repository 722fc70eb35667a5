#include "openai/batch_input.hpp"

#include <set>

#include <nlohmann/json.hpp>

#include "openai/completion_request.hpp"

namespace amaranthhatch::openai
{

namespace
{

using nlohmann::json;

constexpr std::uint32_t item_limit = 100'000;

[[noreturn]] void refuse_line(std::uint32_t line, std::string_view reason)
{
    throw bad_batch_input("line " + std::to_string(line) + ": " +
                          std::string(reason));
}

void check_line(std::string_view text, std::uint32_t line,
                std::set<std::string, std::less<>>& known)
{
    json item;
    try
    {
        item = json::parse(text);
    }
    catch (const json::parse_error& error)
    {
        refuse_line(line,
                    "no valid JSON at byte " + std::to_string(error.byte));
    }
    bool has_id = item.is_object() && item.contains("custom_id") &&
                  item["custom_id"].is_string();
    if (!has_id)
        refuse_line(line, "\"custom_id\" must be a string");
    if (!known.insert(item["custom_id"].get<std::string>()).second)
        refuse_line(line, "\"custom_id\" stands on an earlier line too");
    std::string url = item.value("url", "");
    if (url != "/v1/completions" && url != "/v1/chat/completions")
        refuse_line(line, "\"url\" must be /v1/completions or "
                          "/v1/chat/completions");
    if (!item.contains("body"))
        refuse_line(line, "\"body\" is missing");
    try
    {
        parse_completion(item["body"].dump(), url == "/v1/chat/completions");
    }
    catch (const bad_completion& error)
    {
        refuse_line(line, std::string("body: ") + error.what());
    }
}

} // namespace

std::uint32_t check_batch_input(std::string_view content)
{
    std::set<std::string, std::less<>> known;
    std::uint32_t line = 0;
    while (!content.empty())
    {
        auto end = content.find('\n');
        auto text = content.substr(0, end);
        ++line;
        if (!text.empty() && text.back() == '\r')
            text.remove_suffix(1);
        bool last = end == content.npos;
        if (text.empty() && !last)
            refuse_line(line, "the line is empty");
        if (!text.empty())
            check_line(text, line, known);
        if (known.size() > item_limit)
            refuse_line(line, "over the limit of 100000 items in a job");
        content = last ? std::string_view() : content.substr(end + 1);
    }
    if (known.empty())
        throw bad_batch_input("line 1: the file holds no items");
    return static_cast<std::uint32_t>(known.size());
}

std::string file_of_form(std::string_view body, std::string_view content_type)
{
    constexpr std::string_view mark = "boundary=";
    auto at = content_type.find(mark);
    if (at == content_type.npos)
        throw bad_batch_input("the form's boundary is missing");
    auto boundary = content_type.substr(at + mark.size());
    if (boundary.size() >= 2 && boundary.front() == '"')
        boundary = boundary.substr(1, boundary.find('"', 1) - 1);
    std::string delimiter = "--" + std::string(boundary);
    auto part = body.find(delimiter);
    while (part != body.npos)
    {
        auto head = part + delimiter.size() + 2;
        auto head_end = body.find("\r\n\r\n", head);
        auto next = body.find("\r\n" + delimiter, head);
        if (head_end == body.npos || next == body.npos)
            break;
        auto headers = body.substr(head, head_end - head);
        if (headers.find("name=\"file\"") != headers.npos)
            return std::string(body.substr(head_end + 4, next - head_end - 4));
        part = next + 2;
    }
    throw bad_batch_input("the form has no field \"file\"");
}

} // namespace amaranthhatch::openai
