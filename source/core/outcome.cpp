#include "core/outcome.hpp"

namespace amaranthhatch::core
{

namespace
{

constexpr std::string_view outcome_names[] = {"done", "not_run", "unknown"};

constexpr std::string_view refusal_names[] = {
    "none",           "bad_request",     "unknown_model",  "unknown_service",
    "unknown_class",  "not_configured",  "draining",       "queue_full",
    "no_endpoint",    "deadline_passed", "no_coordinator", "claim_taken",
    "connect_failed", "endpoint_failed", "stream_cut",     "store_unreachable",
    "no_second_copy", "not_doable",      "moved",          "unknown_job",
};

static_assert(std::size(refusal_names) ==
              static_cast<std::size_t>(refusal::count_of_refusals));

} // namespace

std::string_view name_of(outcome value)
{
    return outcome_names[static_cast<std::size_t>(value)];
}

std::string_view name_of(refusal value)
{
    auto index = static_cast<std::size_t>(value);
    return index < std::size(refusal_names) ? refusal_names[index] : "none";
}

} // namespace amaranthhatch::core
