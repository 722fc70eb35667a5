#include "core/limits/stopping_host.hpp"

#include <algorithm>

namespace amaranthhatch::core::limits
{

namespace
{

// Multiples of the mean time within which nearly all requests end.
constexpr int repeatable_factor = 2;
constexpr int once_factor = 4;

} // namespace

bool ends_before_stop(const request_times& times, bool repeatable)
{
    auto usual = times.mean * (repeatable ? repeatable_factor : once_factor);
    return std::min(usual, times.until_deadline) <= times.until_stop;
}

} // namespace amaranthhatch::core::limits
