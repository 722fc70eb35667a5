#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "load/load_plan.hpp"

namespace amaranthhatch::load
{

/// @brief What came of one kind of request.
struct stream_report
{
    std::string name;
    std::uint32_t sent = 0;
    std::uint32_t whole = 0;
    std::uint32_t refused = 0;
    /// Ended by an error event or a broken connection.
    std::uint32_t failed = 0;
    /// Ended as if whole, with fewer tokens than asked for.
    std::uint32_t cut = 0;
    /// A token came twice, was left out, or belongs to another request.
    std::uint32_t doubled = 0;
    std::uint32_t crossed = 0;
    /// No connection to any entry could be made.
    std::uint32_t unreached = 0;
    std::vector<double> first_token_ms;
    std::vector<double> answer_ms;
    std::vector<double> gap_ms;
};

/// @brief What came of a plan.
struct load_report
{
    std::vector<stream_report> streams;
    double seconds = 0;
};

/// @brief A quantile of unsorted values; zero where there are none.
double quantile(std::vector<double> values, double share);

/// @brief Sends a plan's requests to entries, as a balancer would spread them:
/// round robin, and on to the next where no connection can be made.
load_report run_load(const load_plan& plan,
                     const std::vector<std::string>& entries);

/// @brief The report as JSON.
std::string report_json(const load_report& report);

/// @brief The report as a plain table.
std::string report_table(const load_report& report);

/// @brief Answers that break a promise: cut, doubled or crossed.
std::uint32_t broken_answers(const load_report& report);

} // namespace amaranthhatch::load
