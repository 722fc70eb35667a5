#include "core/quotas/rate_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace amaranthhatch::core::quotas
{

rate_estimate::rate_estimate(milliseconds time_constant)
    : time_constant(time_constant)
{
}

double rate_estimate::decayed(instant now) const
{
    auto age = std::max(milliseconds(0), now - this->updated_at);
    return this->weight *
           std::exp(-static_cast<double>(age.count()) /
                    static_cast<double>(this->time_constant.count()));
}

void rate_estimate::add(double events, instant now)
{
    this->weight = this->decayed(now) + events;
    this->updated_at = std::max(this->updated_at, now);
}

double rate_estimate::per_second(instant now) const
{
    constexpr double ms_per_s = 1000;
    return this->decayed(now) * ms_per_s /
           static_cast<double>(this->time_constant.count());
}

} // namespace amaranthhatch::core::quotas
