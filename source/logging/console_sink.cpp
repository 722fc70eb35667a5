#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include "logging/event.hpp"

namespace amaranthhatch::logging
{

namespace
{

log4cxx::LevelPtr library_level(level severity)
{
    switch (severity)
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

void start(std::string_view program, std::string_view node)
{
    std::string pattern = "time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p program=" +
                          std::string(program) + " node=" + std::string(node) +
                          " %m%n";
    auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
    auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(log4cxx::Level::getInfo());
    install(
        [](level severity, std::string_view, std::string_view line)
        {
            log4cxx::Logger::getRootLogger()->log(library_level(severity),
                                                  std::string(line));
        });
}

} // namespace amaranthhatch::logging
