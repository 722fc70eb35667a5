#include "errors/contain.hpp"

#include <atomic>

#include "logging/event.hpp"

namespace amaranthhatch::errors
{

namespace
{

std::atomic<unsigned long> reported{0};

} // namespace

void report_unexpected(std::string_view step, std::string_view detail)
{
    auto count = ++reported;
    logging::event(logging::level::error, "unexpected_error")
        .with("step", step)
        .with("detail", detail)
        .with("count", static_cast<std::int64_t>(count));
}

unsigned long unexpected_count()
{
    return reported;
}

} // namespace amaranthhatch::errors
