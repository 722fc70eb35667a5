#include "logging/event.hpp"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace amaranthhatch::logging
{

namespace
{

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

log4cxx::LevelPtr library_level(level grave)
{
    switch (grave)
    {
    case level::debug:
        return log4cxx::Level::getDebug();
    case level::info:
        return log4cxx::Level::getInfo();
    case level::warning:
        return log4cxx::Level::getWarn();
    case level::error:
        break;
    }
    return log4cxx::Level::getError();
}

} // namespace

event::event(level grave, std::string_view name) : grave(grave)
{
    this->line = "event=" + quoted(name);
}

event::~event()
{
    auto logger = log4cxx::Logger::getRootLogger();
    logger->log(library_level(this->grave), this->line);
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
    return this->with(key, std::to_string(value));
}

void start(std::string_view program, std::string_view node)
{
    std::string pattern =
        "time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p program=" + quoted(program) +
        " node=" + quoted(node) + " %m%n";
    auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
    auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(log4cxx::Level::getInfo());
}

} // namespace amaranthhatch::logging
