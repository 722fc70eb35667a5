#include "forward/event_splitter.hpp"

namespace amaranthhatch::forward
{

namespace
{

// An event holds a few tokens; a whole result as one event fits, too.
constexpr std::size_t event_limit_bytes = 4u << 20;
// Bytes of an event's end that may have arrived before the rest of it.
constexpr std::size_t end_overlap_bytes = 3;

std::size_t end_of_last_event(std::string_view text)
{
    auto after_line_feeds = text.rfind("\n\n");
    auto after_returns = text.rfind("\r\n\r\n");
    std::size_t end = 0;
    if (after_line_feeds != text.npos)
        end = after_line_feeds + 2;
    if (after_returns != text.npos && after_returns + 4 > end)
        end = after_returns + 4;
    return end;
}

} // namespace

std::string event_splitter::feed(std::string_view bytes)
{
    // The bytes that were buffered before contain no end of an event.
    auto searched = this->incomplete.size() > end_overlap_bytes
                        ? this->incomplete.size() - end_overlap_bytes
                        : 0;
    this->incomplete += bytes;
    auto end =
        end_of_last_event(std::string_view(this->incomplete).substr(searched));
    end += end > 0 ? searched : 0;
    std::string complete = this->incomplete.substr(0, end);
    this->incomplete.erase(0, end);
    this->record_last_id(complete);
    return complete;
}

bool event_splitter::over_limit() const
{
    return this->incomplete.size() > event_limit_bytes;
}

bool has_data(std::string_view events)
{
    constexpr std::string_view field = "data:";
    while (!events.empty())
    {
        auto end = events.find('\n');
        auto line = events.substr(0, end);
        events.remove_prefix(end == events.npos ? events.size() : end + 1);
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        if (line.find_first_not_of("\r", line.starts_with(' ') ? 1 : 0) !=
            line.npos)
            return true;
    }
    return false;
}

void event_splitter::record_last_id(std::string_view events)
{
    constexpr std::string_view field = "id:";
    auto id_start = events.rfind("\nid:");
    if (id_start != events.npos)
        id_start++;
    else if (events.starts_with(field))
        id_start = 0;
    else
        return;
    auto line = events.substr(id_start + field.size());
    line = line.substr(0, line.find_first_of("\r\n"));
    if (line.starts_with(' '))
        line.remove_prefix(1);
    this->last_event_id = line;
}

} // namespace amaranthhatch::forward
