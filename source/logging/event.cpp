#include "logging/event.hpp"

#include <utility>

namespace amaranthhatch::logging
{

namespace
{

sink& current_sink()
{
    static sink installed;
    return installed;
}

std::string quoted(std::string_view value)
{
    bool plain = !value.empty() && value.find_first_of(" \"=\n") == value.npos;
    if (plain)
        return std::string(value);
    std::string text = "\"";
    for (char character : value)
    {
        if (character == '"' || character == '\\')
            text += '\\';
        text += character == '\n' ? ' ' : character;
    }
    text += '"';
    return text;
}

} // namespace

void install(sink new_sink)
{
    current_sink() = std::move(new_sink);
}

std::string_view level_name(level severity)
{
    switch (severity)
    {
    case level::debug:
        return "DEBUG";
    case level::info:
        return "INFO";
    case level::warning:
        return "WARN";
    case level::error:
        break;
    }
    return "ERROR";
}

event::event(level severity, std::string_view name)
    : severity(severity), name(name), line("event=" + quoted(name))
{
}

event::~event()
{
    if (current_sink())
        current_sink()(this->severity, this->name, this->line);
}

event& event::with(std::string_view key, std::string_view value)
{
    this->line += ' ';
    this->line += key;
    this->line += '=';
    this->line += quoted(value);
    return *this;
}

event& event::with(std::string_view key, std::int64_t value)
{
    this->line += ' ';
    this->line += key;
    this->line += '=';
    this->line += std::to_string(value);
    return *this;
}

} // namespace amaranthhatch::logging
