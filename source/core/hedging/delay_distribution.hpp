#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "core/instant.hpp"

namespace amaranthhatch::core::hedging
{

/// @brief A histogram of delays in which newer samples weigh more.
///
/// The bounds of its buckets grow by a constant factor, so that its relative
/// error is the same for short and long delays. It takes some 0.6 KB.
class delay_distribution
{
public:
    /// @brief Adds a delay; negative ones count as zero.
    void add(milliseconds delay);

    /// @brief Returns the delay that this share of the samples doesn't exceed;
    /// nothing before the first sample. share lies in (0, 1].
    std::optional<milliseconds> quantile(double share) const;

    /// @brief Number of samples, those that hardly count any more included.
    std::size_t samples() const { return this->added; }

private:
    static constexpr std::size_t bucket_count = 70;

    std::array<double, bucket_count> buckets{};
    /// Weight of the next sample; the weights of the earlier ones stay.
    double next_weight = 1;
    std::size_t added = 0;
};

} // namespace amaranthhatch::core::hedging
