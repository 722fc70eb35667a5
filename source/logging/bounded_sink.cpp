#include "logging/bounded_sink.hpp"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <cstdio>
#include <ctime>
#include <memory>

namespace amaranthhatch::logging
{

namespace
{

// One line for each request at several times a host's usual rate of 15 a
// second; a storm of one kind leaves the other kinds their own budget.
constexpr int lines_per_second = 100;
// Some seconds of lines while the reader of standard output pauses.
constexpr std::size_t waiting_bytes = 128u << 10;

std::string time_text()
{
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    std::tm parts{};
    gmtime_r(&now.tv_sec, &parts);
    char text[40];
    auto length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text + length, sizeof text - length, ".%03ld",
                  now.tv_nsec / 1000000);
    return text;
}

bool takes_bytes(int descriptor)
{
    pollfd asked{descriptor, POLLOUT, 0};
    return poll(&asked, 1, 0) == 1 && (asked.revents & POLLOUT) != 0;
}

} // namespace

bounded_sink::bounded_sink(int descriptor, std::string_view program,
                           std::string_view node)
    : descriptor(descriptor),
      prefix(" program=" + std::string(program) + " node=" + std::string(node))
{
    int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool bounded_sink::allowed(std::string_view name, std::int64_t second)
{
    auto found = this->budgets.find(name);
    if (found == this->budgets.end())
        found = this->budgets.emplace(std::string(name), budget{}).first;
    auto& used = found->second;
    if (used.second != second)
        used = {second, 0};
    return ++used.lines <= lines_per_second;
}

void bounded_sink::append(level grave, std::string_view line)
{
    this->waiting += "time=" + time_text();
    this->waiting += " level=";
    this->waiting += level_name(grave);
    this->waiting += this->prefix;
    this->waiting += ' ';
    this->waiting += line;
    this->waiting += '\n';
}

void bounded_sink::drain()
{
    while (!this->waiting.empty() && takes_bytes(this->descriptor))
    {
        auto count = ::write(this->descriptor, this->waiting.data(),
                             this->waiting.size());
        if (count <= 0)
            return;
        this->waiting.erase(0, static_cast<std::size_t>(count));
    }
}

void bounded_sink::write(level grave, std::string_view name,
                         std::string_view line)
{
    bool full = this->waiting.size() > waiting_bytes;
    if (full || !this->allowed(name, time(nullptr)))
    {
        this->unreported++;
        this->total_dropped++;
        if (full)
            this->drain();
        return;
    }
    if (this->unreported > 0)
    {
        this->append(level::warning, "event=log_lines_dropped count=" +
                                         std::to_string(this->unreported));
        this->unreported = 0;
    }
    this->append(grave, line);
    this->drain();
}

void start_bounded(std::string_view program, std::string_view node)
{
    auto lines = std::make_shared<bounded_sink>(STDOUT_FILENO, program, node);
    install([lines](level grave, std::string_view name, std::string_view line)
            { lines->write(grave, name, line); });
}

} // namespace amaranthhatch::logging
