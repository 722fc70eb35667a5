#pragma once

#include <cstdint>

#include "core/instant.hpp"

namespace amaranthhatch::core::limits
{

/// @brief Bounds of an endpoint's concurrency limit.
struct concurrency_options
{
    std::uint32_t initial = 16;
    std::uint32_t min = 1;
    std::uint32_t max = 256;
};

/// @brief How many streams an endpoint may run, by its measured token gap.
///
/// The limit grows while it is in use and the gap stays well under the target,
/// and shrinks when the gap passes the target. The endpoint's own load report
/// plays no part, since it lags.
class concurrency_limit
{
public:
    explicit concurrency_limit(concurrency_options options);

    /// @brief Takes a measured gap; in_use is the number of streams.
    void observe(instant now, double gap_ms, double target_ms,
                 std::uint32_t in_use);

    std::uint32_t value() const;

private:
    concurrency_options options;
    double limit;
    instant changed{};
};

} // namespace amaranthhatch::core::limits
