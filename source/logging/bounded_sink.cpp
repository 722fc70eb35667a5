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

// Limit for each event name: one line per request at several times the usual
// rate of a host, 15 requests per second. A burst of one event name doesn't use
// up the budgets of the others.
constexpr int lines_per_second = 100;
// The buffer holds the lines of some seconds while the reader of standard
// output pauses.
constexpr std::size_t pending_limit_bytes = 128u << 10;

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

bool is_writable(int descriptor)
{
    pollfd request{descriptor, POLLOUT, 0};
    return poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
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

void bounded_sink::append(level severity, std::string_view line)
{
    this->pending += "time=" + time_text();
    this->pending += " level=";
    this->pending += level_name(severity);
    this->pending += this->prefix;
    this->pending += ' ';
    this->pending += line;
    this->pending += '\n';
}

void bounded_sink::write_pending()
{
    while (!this->pending.empty() && is_writable(this->descriptor))
    {
        auto count = ::write(this->descriptor, this->pending.data(),
                             this->pending.size());
        if (count <= 0)
            return;
        this->pending.erase(0, static_cast<std::size_t>(count));
    }
}

void bounded_sink::write(level severity, std::string_view name,
                         std::string_view line)
{
    bool full = this->pending.size() > pending_limit_bytes;
    if (full || !this->allowed(name, time(nullptr)))
    {
        this->unreported++;
        this->total_dropped++;
        if (full)
            this->write_pending();
        return;
    }
    if (this->unreported > 0)
    {
        this->append(level::warning, "event=log_lines_dropped count=" +
                                         std::to_string(this->unreported));
        this->unreported = 0;
    }
    this->append(severity, line);
    this->write_pending();
}

void start_bounded(std::string_view program, std::string_view node)
{
    auto output = std::make_shared<bounded_sink>(STDOUT_FILENO, program, node);
    install(
        [output](level severity, std::string_view name, std::string_view line)
        { output->write(severity, name, line); });
}

} // namespace amaranthhatch::logging
