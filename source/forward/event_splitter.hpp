#pragma once

#include <string>
#include <string_view>

namespace amaranthhatch::forward
{

/// @brief Splits the bytes of a server-sent event stream into complete events.
///
/// An endpoint may fail in the middle of an event. The bytes of an incomplete
/// event are buffered and not forwarded, so that another endpoint can resume
/// the stream after the last complete event.
class event_splitter
{
public:
    /// @brief Appends received bytes and returns all events that are now
    /// complete.
    std::string feed(std::string_view bytes);

    /// @brief The last id field of the complete events; empty before the first.
    const std::string& last_id() const { return this->last_event_id; }

    /// @brief The buffered bytes of an event that isn't complete yet.
    std::string_view incomplete_event() const { return this->incomplete; }

    /// @brief True if the incomplete event is longer than any proper one.
    bool over_limit() const;

    /// @brief Drops the buffered bytes, before another endpoint resumes.
    void drop_incomplete_event() { this->incomplete.clear(); }

private:
    void record_last_id(std::string_view events);

    std::string incomplete;
    std::string last_event_id;
};

/// @brief True if any of the events has data that isn't empty. Comments and
/// empty events alone, with which a peer keeps a connection open, are no
/// progress of its request.
bool has_data(std::string_view events);

/// @brief Calls back with the data of each event; the data lines of one event
/// are joined by line feeds.
template <typename Callback>
void for_each_data(std::string_view events, Callback&& callback)
{
    constexpr std::string_view field = "data:";
    std::string data;
    bool has_data = false;
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
            if (has_data)
                data += '\n';
            data += line;
            has_data = true;
        }
        else if (line.empty() && has_data)
        {
            callback(std::string_view(data));
            data.clear();
            has_data = false;
        }
    }
}

} // namespace amaranthhatch::forward
