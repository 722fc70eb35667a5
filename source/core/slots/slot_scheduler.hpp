#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/health/outlier_detector.hpp"
#include "core/instant.hpp"
#include "core/limits/concurrency_limit.hpp"
#include "core/messages/members.hpp"
#include "core/messages/slots.hpp"
#include "core/slots/queue_order.hpp"

namespace amaranthhatch::core::slots
{

/// @brief Identifies a waiting request, which gets exactly one decision.
using waiter_id = std::uint64_t;

/// @brief An endpoint of the group as registered with the platform.
struct group_endpoint
{
    std::string name;
    std::string address;
    std::string region;
    bool leaving = false;
    /// False for plain services, which generate no tokens.
    bool measured_by_tokens = true;
};

/// @brief Settings of the scheduler of one group.
struct scheduler_options
{
    /// Requests beyond this number of waiting ones are refused.
    std::size_t queue_limit = 384;
    /// A ticket expires if no report has listed it as held for this long.
    milliseconds ticket_lease{4000};
    /// Share of each endpoint's slots that batch work may not occupy.
    double online_reserve_share = 0.1;
    const queue_order* order = &short_first;
    limits::concurrency_options concurrency;
    health::outlier_options outliers;
};

/// @brief The response to send to a waiting request.
struct slot_decision
{
    waiter_id waiter = 0;
    messages::slot_answer answer;
};

/// @brief A batch ticket that its requester has to release.
struct slot_preemption
{
    std::string requester;
    std::uint64_t ticket = 0;
};

/// @brief An ejected endpoint that the caller must probe with a small
/// generation.
struct slot_probe
{
    std::string endpoint;
    std::string address;
};

/// @brief Decisions, preemptions and probes for the caller to carry out.
struct scheduler_output
{
    std::vector<slot_decision> decisions;
    std::vector<slot_preemption> preemptions;
    std::vector<slot_probe> probes;
};

/// @brief Grants the slots of one group of endpoints.
///
/// All requests for the group go through one scheduler, so one short queue in
/// front of the endpoints replaces long queues inside of them. Online requests
/// are served before batch requests, short ones before long ones (depending on
/// the queue order). An online request gets the slot of a preempted batch
/// ticket at once; the message that cancels the batch stream follows.
class slot_scheduler
{
public:
    slot_scheduler(std::string group, scheduler_options options,
                   std::uint64_t first_ticket);

    /// @brief Replaces the list of the group's endpoints.
    void set_endpoints(instant now, std::span<const group_endpoint> listed);

    /// @brief Queues a request for a slot; take_output() returns its decision.
    void request_slot(instant now, waiter_id waiter,
                      const messages::want_slot& request);

    /// @brief Applies a requester's report and returns the ejected endpoints.
    messages::report_answer report(instant now,
                                   const messages::slot_report& report);

    /// @brief Records the result of a probe; tokens is zero if it failed.
    void probe_ended(instant now, std::string_view endpoint,
                     std::uint32_t tokens, milliseconds time);

    /// @brief Releases expired tickets, schedules probes, and refuses requests
    /// whose wait timeout has ended.
    void tick(instant now);

    /// @brief Returns and clears the output since the last call.
    scheduler_output take_output();

    std::vector<messages::endpoint_status> status() const;

    /// @brief Returns the endpoints that accept new work.
    messages::endpoints_answer endpoints() const;

    std::size_t waiting() const { return this->queue.size(); }

private:
    struct ticket
    {
        std::string requester;
        std::string endpoint;
        messages::work_kind kind = messages::work_kind::online;
        std::uint32_t expected_tokens = 0;
        instant granted{};
        instant renewed{};
        bool preempted = false;
        /// Stored when the ticket is granted, since the threshold between
        /// short and long changes with the mean size.
        bool is_long = false;
    };

    struct endpoint
    {
        group_endpoint listed;
        limits::concurrency_limit limit;
        std::uint32_t online = 0;
        std::uint32_t batch = 0;
        /// Batch tickets that are preempted but not yet released; also counted
        /// in batch.
        std::uint32_t preempted = 0;
        std::uint32_t long_online = 0;
    };

    struct waiting_request
    {
        waiter_id waiter = 0;
        messages::want_slot request;
        instant arrived{};
        instant wait_deadline{};
    };

    bool try_place(instant now, const waiting_request& waiting);
    void place_waiting(instant now);
    std::uint32_t in_use(const endpoint& candidate) const;
    endpoint* choose_online(const messages::want_slot& request);
    endpoint* choose_batch(const messages::want_slot& request);
    bool is_usable(const endpoint& candidate,
                   const messages::want_slot& request) const;
    bool has_room(const endpoint& candidate,
                  const messages::want_slot& request) const;
    void preempt_one(endpoint& target);
    void grant(instant now, const waiting_request& waiting, endpoint& target);
    void refuse(const waiting_request& waiting, refusal reason);
    void add_ticket(std::uint64_t number, ticket added);
    void remove_ticket(std::uint64_t number);
    void renew(instant now, const messages::slot_report& report);
    void apply_progress(instant now, const messages::slot_report& report);
    bool is_long(std::uint32_t expected_tokens) const;
    void update_mean_size(std::uint32_t expected_tokens);
    void insert_waiting(waiting_request waiting);

    std::string group;
    scheduler_options options;
    std::uint64_t next_ticket;
    std::map<std::string, endpoint, std::less<>> endpoints_by_name;
    std::map<std::uint64_t, ticket> tickets;
    std::vector<waiting_request> queue;
    health::outlier_detector outliers;
    scheduler_output output;
    double token_gap_target_ms = 0;
    double mean_size_tokens = 0;
    double mean_first_token_ms = 0;
};

} // namespace amaranthhatch::core::slots
