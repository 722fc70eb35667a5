#include "core/hedging/delay_distribution.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numeric>

namespace amaranthhatch::core::hedging
{

namespace
{

// Buckets for each doubling of the delay: the bounds are 19% apart. 70 buckets
// reach 131 s, above all timeouts of routes.
constexpr double buckets_per_doubling = 4;
// Each sample weighs this much more than the one before it: the last 700 make
// up half of the weight, some seconds of the requests of a busy entry.
constexpr double weight_growth = 1.001;
// The weights are scaled down before they lose precision.
constexpr double weight_limit = 1e9;

double lower_bound(std::size_t bucket)
{
    return bucket == 0
               ? 0
               : std::exp2(static_cast<double>(bucket) / buckets_per_doubling);
}

} // namespace

void delay_distribution::add(milliseconds delay)
{
    auto time = std::max(1.0, static_cast<double>(delay.count()));
    auto bucket =
        static_cast<std::size_t>(std::log2(time) * buckets_per_doubling);
    this->buckets[std::min(bucket, bucket_count - 1)] += this->next_weight;
    this->next_weight *= weight_growth;
    this->added++;
    if (this->next_weight < weight_limit)
        return;
    for (auto& bucket_weight : this->buckets)
        bucket_weight /= this->next_weight;
    this->next_weight = 1;
}

std::optional<milliseconds> delay_distribution::quantile(double share) const
{
    if (this->added == 0)
        return std::nullopt;
    auto total =
        std::accumulate(this->buckets.begin(), this->buckets.end(), 0.0);
    double wanted = total * share;
    double below = 0;
    for (std::size_t bucket = 0; bucket < bucket_count; bucket++)
    {
        double weight = this->buckets[bucket];
        if (weight <= 0 || below + weight < wanted)
        {
            below += weight;
            continue;
        }
        double from = lower_bound(bucket);
        double within = (wanted - below) / weight;
        double time = from + within * (lower_bound(bucket + 1) - from);
        return milliseconds(static_cast<std::int64_t>(std::ceil(time)));
    }
    // Rounding left the sum of the weights below the share that was asked for.
    return milliseconds(
        static_cast<std::int64_t>(std::ceil(lower_bound(bucket_count))));
}

} // namespace amaranthhatch::core::hedging
