#pragma once

#include <cstdint>
#include <string_view>

namespace amaranthhatch::core
{

/// @brief Whether a request that has ended was executed.
enum class outcome : std::uint8_t
{
    /// The complete response was sent.
    done,
    /// The request wasn't executed: no byte of it can have reached a back end.
    not_run,
    /// A back end may have executed the request.
    unknown
};

/// @brief Why a request was refused; each reason has its own counter.
enum class refusal : std::uint8_t
{
    none,
    bad_request,
    unknown_model,
    unknown_service,
    unknown_class,
    not_configured,
    draining,
    queue_full,
    no_endpoint,
    deadline_passed,
    no_coordinator,
    /// Another call with the same idempotency key holds its claim.
    claim_taken,
    connect_failed,
    endpoint_failed,
    /// The endpoint's response ended before it was complete.
    stream_cut,
    store_unreachable,
    /// No second batch host could be reached to store the other copy.
    no_second_copy,
    /// The job can't be finished by its deadline.
    not_doable,
    /// Another batch host accepts or owns the job.
    moved,
    unknown_job,
    count_of_refusals
};

std::string_view name_of(outcome value);
std::string_view name_of(refusal value);

} // namespace amaranthhatch::core
