#include "http/exchange.hpp"

#include <strings.h>

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

bool is_framed(const header_list& headers)
{
    return !headers.get("Content-Length").empty() ||
           !headers.get("Transfer-Encoding").empty();
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
