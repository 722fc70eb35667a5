#pragma once

#include "core/instant.hpp"

namespace amaranthhatch::core::quotas
{

/// @brief Events per second over the last moments, weighted by their age.
class rate_estimate
{
public:
    /// @brief time_constant: the age at which an event counts for a third.
    explicit rate_estimate(milliseconds time_constant);

    void add(double events, instant now);
    double per_second(instant now) const;

private:
    double decayed(instant now) const;

    milliseconds time_constant;
    /// Sum of the weights of all events as of updated_at.
    double weight = 0;
    instant updated_at{};
};

} // namespace amaranthhatch::core::quotas
