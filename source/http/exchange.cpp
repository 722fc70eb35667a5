#include "http/exchange.hpp"

#include <strings.h>

#include "http/message_text.hpp"

namespace amaranthhatch::http
{

void header_list::add(std::string_view name, std::string_view value)
{
    this->lines.push_back({std::string(name), std::string(value)});
}

bool header_list::same_name(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view header_list::get(std::string_view name) const
{
    for (const auto& line : this->lines)
    {
        if (same_name(line.name, name))
            return line.value;
    }
    return {};
}

bool is_framed(int status, const header_list& headers)
{
    constexpr std::string_view chunked = "chunked";
    if (is_bodiless(status))
        return true;
    auto coding = headers.get("Transfer-Encoding");
    if (coding.empty())
        return !headers.get("Content-Length").empty();
    return coding.size() >= chunked.size() &&
           header_list::same_name(coding.substr(coding.size() - chunked.size()),
                                  chunked);
}

std::string_view query_value(std::string_view query, std::string_view key)
{
    while (!query.empty())
    {
        auto end = query.find('&');
        auto pair = query.substr(0, end);
        auto equals = pair.find('=');
        if (equals != pair.npos && pair.substr(0, equals) == key)
            return pair.substr(equals + 1);
        if (end == query.npos)
            break;
        query = query.substr(end + 1);
    }
    return {};
}

} // namespace amaranthhatch::http
