#include "forward/event_splitter.hpp"

namespace amaranthhatch::forward
{

namespace
{

std::size_t end_of_last_event(std::string_view text)
{
    auto plain = text.rfind("\n\n");
    auto with_returns = text.rfind("\r\n\r\n");
    std::size_t end = 0;
    if (plain != text.npos)
        end = plain + 2;
    if (with_returns != text.npos && with_returns + 4 > end)
        end = with_returns + 4;
    return end;
}

} // namespace

std::string event_splitter::feed(std::string_view bytes)
{
    this->held += bytes;
    auto end = end_of_last_event(this->held);
    std::string whole = this->held.substr(0, end);
    this->held.erase(0, end);
    this->note_ids(whole);
    return whole;
}

void event_splitter::note_ids(std::string_view events)
{
    constexpr std::string_view field = "id:";
    auto at = events.rfind("\nid:");
    if (at != events.npos)
        at++;
    else if (events.starts_with(field))
        at = 0;
    else
        return;
    auto line = events.substr(at + field.size());
    line = line.substr(0, line.find_first_of("\r\n"));
    if (line.starts_with(' '))
        line.remove_prefix(1);
    this->last = line;
}

} // namespace amaranthhatch::forward
