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

/// @brief Asks the coordinator of a group for a slot on one of its endpoints.
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
    std::uint64_t prefix = 0;
    /// How long the asker will wait for a slot.
    std::uint32_t wait_timeout_ms = 0;
    /// How long it has waited in earlier asks; it keeps its place in the queue.
    std::uint32_t waited_ms = 0;
    /// Targets of the class: first token and gap between tokens.
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

/// @brief A granted slot, or why there is none.
struct slot_answer
{
    static constexpr auto kind_of_message = message_kind::slot_answer;

    std::uint64_t ticket = 0;
    std::string endpoint;
    std::string address;
    refusal reason = refusal::none;
    std::uint32_t retry_after_ms = 0;
    /// A first token later than this is worth a hedge.
    std::uint32_t hedge_after_ms = 0;

    auto fields()
    {
        return std::tie(ticket, endpoint, address, reason, retry_after_ms,
                        hedge_after_ms);
    }
};

/// @brief A slot that is in use.
struct held_ticket
{
    std::uint64_t ticket = 0;
    std::string endpoint;
    work_kind kind = work_kind::online;
    std::uint32_t expected_tokens = 0;

    auto fields() { return std::tie(ticket, endpoint, kind, expected_tokens); }
};

/// @brief A slot that is free again, with what was seen on it.
struct finished_ticket
{
    std::uint64_t ticket = 0;
    std::string endpoint;
    bool failed = false;
    std::uint32_t first_token_ms = 0;

    auto fields() { return std::tie(ticket, endpoint, failed, first_token_ms); }
};

/// @brief Progress of all of an asker's streams on one endpoint in an interval.
struct endpoint_progress
{
    std::string endpoint;
    std::uint32_t tokens = 0;
    /// Time spent generating, summed over the streams.
    std::uint32_t stream_ms = 0;

    auto fields() { return std::tie(endpoint, tokens, stream_ms); }
};

/// @brief Sent to the coordinator of a group as things change.
///
/// A whole report lists every held ticket: it renews the leases of those, frees
/// the rest, and teaches a coordinator that has just taken over.
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

/// @brief The answer to a report: where not to go on.
struct report_answer
{
    static constexpr auto kind_of_message = message_kind::report_answer;

    /// Endpoints whose streams should be resumed elsewhere.
    std::vector<std::string> ejected;

    auto fields() { return std::tie(ejected); }
};

/// @brief A batch host waits for tickets that it must give back.
struct await_preemption
{
    static constexpr auto kind_of_message = message_kind::await_preemption;

    std::string requester;
    std::uint32_t wait_timeout_ms = 0;

    auto fields() { return std::tie(requester, wait_timeout_ms); }
};

/// @brief Tickets whose streams must be cancelled at once.
struct preemption_answer
{
    static constexpr auto kind_of_message = message_kind::preemption_answer;

    std::vector<std::uint64_t> tickets;

    auto fields() { return std::tie(tickets); }
};

/// @brief Asks for the endpoints of a group or a service, for local choice.
struct endpoints_request
{
    static constexpr auto kind_of_message = message_kind::endpoints_request;

    std::string group;

    auto fields() { return std::tie(group); }
};

/// @brief One endpoint that takes new work.
struct endpoint_address
{
    std::string name;
    std::string address;
    std::string region;

    auto fields() { return std::tie(name, address, region); }
};

/// @brief The endpoints of a group that take new work.
struct endpoints_answer
{
    static constexpr auto kind_of_message = message_kind::endpoints_answer;

    std::vector<endpoint_address> endpoints;

    auto fields() { return std::tie(endpoints); }
};

} // namespace amaranthhatch::core::messages
