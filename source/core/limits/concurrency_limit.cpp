#include "core/limits/concurrency_limit.hpp"

#include <algorithm>

namespace amaranthhatch::core::limits
{

namespace
{

constexpr double grow_below_share_of_target = 0.8;
constexpr double shrink_factor = 0.9;
constexpr double in_use_share_to_grow = 0.8;
constexpr milliseconds change_interval{200};

} // namespace

concurrency_limit::concurrency_limit(concurrency_options options)
    : options(options), limit(options.initial)
{
}

void concurrency_limit::observe(instant now, double gap_ms, double target_ms,
                                std::uint32_t in_use)
{
    if (target_ms <= 0 || now - this->changed < change_interval)
        return;
    double lower_bound = this->options.min;
    double upper_bound = this->options.max;
    bool mostly_used = in_use >= this->limit * in_use_share_to_grow;
    if (gap_ms > target_ms)
    {
        double limit_in_use =
            std::min(this->limit, static_cast<double>(in_use));
        this->limit = std::max(lower_bound, limit_in_use * shrink_factor);
        this->changed = now;
    }
    else if (mostly_used && gap_ms < target_ms * grow_below_share_of_target)
    {
        this->limit = std::min(upper_bound, this->limit + 1);
        this->changed = now;
    }
}

std::uint32_t concurrency_limit::value() const
{
    return static_cast<std::uint32_t>(this->limit);
}

} // namespace amaranthhatch::core::limits
