#pragma once

#include <cstdint>

namespace amaranthhatch::core::messages
{

/// @brief The kinds of message between our processes.
///
/// Numbers are part of the protocol: new kinds go at the end.
enum class message_kind : std::uint8_t
{
    none,
    ping,
    pong,
    ping_request,
    view_request,
    view_answer,
    configuration_request,
    configuration_answer,
    status_request,
    status_answer,
    want_slot,
    slot_answer,
    slot_report,
    report_answer,
    await_preemption,
    preemption_answer,
    endpoints_request,
    endpoints_answer,
    file_put,
    stored_answer,
    file_get,
    file_answer,
    job_submit,
    submit_answer,
    job_request,
    job_answer,
    output_request,
    output_answer,
    journal_append,
    append_answer,
    journal_seal,
    seal_answer,
    jobs_request,
    jobs_answer,
    journal_record
};

} // namespace amaranthhatch::core::messages
