#pragma once

#include <string>
#include <string_view>

namespace amaranthhatch::forward
{

/// @brief Cuts the bytes of an event stream into whole events.
///
/// An endpoint may stop in the middle of an event; what isn't whole is held
/// back, so that another endpoint can go on behind the last whole event.
class event_splitter
{
public:
    /// @brief Takes bytes in and gives all events that are now whole.
    std::string feed(std::string_view bytes);

    /// @brief The id of the last whole event; empty where there was none.
    const std::string& last_id() const { return this->last_event_id; }

    /// @brief Bytes of an event that isn't whole yet.
    std::string_view incomplete_event() const { return this->incomplete; }

    /// @brief Drops the rest, before another endpoint goes on.
    void drop_incomplete_event() { this->incomplete.clear(); }

private:
    void record_last_id(std::string_view events);

    std::string incomplete;
    std::string last_event_id;
};

/// @brief Calls back with the data of each event, lines joined by line feeds.
template <typename Callback>
void for_each_data(std::string_view events, Callback&& callback)
{
    constexpr std::string_view field = "data:";
    std::string data;
    bool any = false;
    while (!events.empty())
    {
        auto end = events.find('\n');
        auto line = events.substr(0, end);
        events.remove_prefix(end == events.npos ? events.size() : end + 1);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.starts_with(field))
        {
            line.remove_prefix(field.size());
            if (line.starts_with(' '))
                line.remove_prefix(1);
            if (any)
                data += '\n';
            data += line;
            any = true;
        }
        else if (line.empty() && any)
        {
            callback(std::string_view(data));
            data.clear();
            any = false;
        }
    }
}

} // namespace amaranthhatch::forward
