#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "bench_plan.hpp"
#include "load/load_run.hpp"

namespace amaranthhatch::bench
{

/// @brief What one variant gave with one seed.
struct variant_result
{
    std::string variant;
    int seed = 0;
    load::load_report report;
    /// Tokens that all engines generated in a second of the measured time.
    double tokens_per_second = 0;
    /// Generations started on engines for each online request.
    double calls_per_request = 0;
    /// The same without streams that were resumed elsewhere.
    double repeats_per_request = 0;
    /// Batch streams that were taken back.
    double yields = 0;

    /// @brief A value by its metric's name, such as "first_token_p99".
    double value(std::string_view stream, std::string_view metric) const;
};

/// @brief Starts the plan's fleet and runs one variant on it.
variant_result run_variant(const bench_plan& plan, const variant& wanted,
                           int seed);

} // namespace amaranthhatch::bench
