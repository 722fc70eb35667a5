#include "forward/leaving_answer.hpp"

#include <algorithm>

#include "logging/event.hpp"

namespace amaranthhatch::forward
{

namespace
{

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blank = " \t";
    auto first = text.find_first_not_of(blank);
    if (first == text.npos)
        return {};
    return text.substr(first, text.find_last_not_of(blank) - first + 1);
}

bool list_contains(std::string_view list, std::string_view value)
{
    for (;;)
    {
        auto comma = list.find(',');
        if (trimmed(list.substr(0, comma)) == value)
            return true;
        if (comma == list.npos)
            return false;
        list.remove_prefix(comma + 1);
    }
}

} // namespace

bool says_leaving(const header_names& names, const http::header_list& headers)
{
    auto lines = headers.all();
    return std::any_of(
        lines.begin(), lines.end(),
        [&names](const http::header& line)
        {
            return http::header_list::same_name(line.name, names.leaving) &&
                   list_contains(line.value, names.leaving_value);
        });
}

void record_leaving_answer(host::host_runtime& runtime,
                           const header_names& names,
                           const http::header_list& headers,
                           std::string_view id,
                           const core::endpoints::run_key& run)
{
    if (!says_leaving(names, headers) ||
        !runtime.endpoints().record_leaving(run))
        return;
    runtime.metrics_recorder().count("hatch_endpoints_leaving_total", "source",
                                     "answer");
    logging::event(logging::level::info, "endpoint_leaving")
        .with("id", id)
        .with("endpoint", run.endpoint)
        .with("source", "answer");
}

} // namespace amaranthhatch::forward
