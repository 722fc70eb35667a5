#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "core/messages/message_kind.hpp"
#include "core/outcome.hpp"

namespace amaranthhatch::core::messages
{

/// @brief Whether work is online or batch.
enum class work_kind : std::uint8_t
{
    online,
    batch
};

/// @brief Request to a group's coordinator for a slot on one of its endpoints.
struct want_slot
{
    static constexpr auto kind_of_message = message_kind::want_slot;

    std::string requester;
    std::string request;
    std::string group;
    work_kind kind = work_kind::online;
    /// Rank of the class; lower ranks are served first.
    std::uint32_t rank = 0;
    std::uint32_t expected_tokens = 0;
    std::uint32_t prompt_tokens = 0;
    /// Hash of the start of the prompt.
    std::uint64_t prefix = 0;
    /// The coordinator refuses the request after this time without a slot.
    std::uint32_t wait_timeout_ms = 0;
    /// Time spent waiting in earlier attempts; the request keeps its place in
    /// the queue.
    std::uint32_t waited_ms = 0;
    /// Latency targets of the class: first token and gap between tokens.
    std::uint32_t first_token_ms = 0;
    std::uint32_t token_gap_ms = 0;
    std::vector<std::string> excluded;

    auto fields()
    {
        return std::tie(requester, request, group, kind, rank, expected_tokens,
                        prompt_tokens, prefix, wait_timeout_ms, waited_ms,
                        first_token_ms, token_gap_ms, excluded);
    }
};

/// @brief Response to want_slot: a granted slot or the reason of a refusal.
struct slot_answer
{
    static constexpr auto kind_of_message = message_kind::slot_answer;

    std::uint64_t ticket = 0;
    std::string endpoint;
    std::string address;
    refusal reason = refusal::none;
    std::uint32_t retry_after_ms = 0;
    /// The requester may send a hedge request if the first token takes longer.
    std::uint32_t hedge_after_ms = 0;

    auto fields()
    {
        return std::tie(ticket, endpoint, address, reason, retry_after_ms,
                        hedge_after_ms);
    }
};

/// @brief A ticket for a slot that is in use.
struct held_ticket
{
    std::uint64_t ticket = 0;
    std::string endpoint;
    work_kind kind = work_kind::online;
    std::uint32_t expected_tokens = 0;

    auto fields() { return std::tie(ticket, endpoint, kind, expected_tokens); }
};

/// @brief A ticket whose request has ended, with the request's measurements.
struct finished_ticket
{
    std::uint64_t ticket = 0;
    std::string endpoint;
    bool failed = false;
    std::uint32_t first_token_ms = 0;

    auto fields() { return std::tie(ticket, endpoint, failed, first_token_ms); }
};

/// @brief Progress of a requester's streams on one endpoint in an interval.
struct endpoint_progress
{
    std::string endpoint;
    std::uint32_t tokens = 0;
    /// Generating time, summed over the streams.
    std::uint32_t stream_ms = 0;

    auto fields() { return std::tie(endpoint, tokens, stream_ms); }
};

/// @brief Report of a requester's tickets to the coordinator of a group.
///
/// A complete report lists every ticket that the requester holds. The
/// coordinator renews the leases of these tickets and releases the requester's
/// other tickets; a coordinator that has just become responsible for the group
/// restores its ticket table from such reports.
struct slot_report
{
    static constexpr auto kind_of_message = message_kind::slot_report;

    std::string requester;
    std::string group;
    bool complete = false;
    std::vector<held_ticket> held;
    std::vector<finished_ticket> finished;
    std::vector<endpoint_progress> progress;

    auto fields()
    {
        return std::tie(requester, group, complete, held, finished, progress);
    }
};

/// @brief Response to slot_report.
struct report_answer
{
    static constexpr auto kind_of_message = message_kind::report_answer;

    /// Ejected endpoints; the requester should resume their streams elsewhere.
    std::vector<std::string> ejected;

    auto fields() { return std::tie(ejected); }
};

/// @brief Long-poll request of a batch host for tickets that were preempted.
struct await_preemption
{
    static constexpr auto kind_of_message = message_kind::await_preemption;

    std::string requester;
    std::uint32_t wait_timeout_ms = 0;

    auto fields() { return std::tie(requester, wait_timeout_ms); }
};

/// @brief Response to await_preemption: tickets whose streams the batch host
/// must cancel at once.
struct preemption_answer
{
    static constexpr auto kind_of_message = message_kind::preemption_answer;

    std::vector<std::uint64_t> tickets;

    auto fields() { return std::tie(tickets); }
};

/// @brief Request for the endpoints of a group or a service.
///
/// The requester uses them to choose an endpoint without a coordinator.
struct endpoints_request
{
    static constexpr auto kind_of_message = message_kind::endpoints_request;

    std::string group;

    auto fields() { return std::tie(group); }
};

/// @brief An endpoint that accepts new work.
struct endpoint_address
{
    std::string name;
    std::string address;
    std::string region;

    auto fields() { return std::tie(name, address, region); }
};

/// @brief Response to endpoints_request: the endpoints that accept new work.
struct endpoints_answer
{
    static constexpr auto kind_of_message = message_kind::endpoints_answer;

    std::vector<endpoint_address> endpoints;

    auto fields() { return std::tie(endpoints); }
};

} // namespace amaranthhatch::core::messages
