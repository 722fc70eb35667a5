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

/// @brief Names an open request of an asker, to be answered once.
using waiter_id = std::uint64_t;

/// @brief An endpoint of the group as the platform lists it.
struct group_endpoint
{
    std::string name;
    std::string address;
    std::string region;
    bool leaving = false;
    /// Plain services have no tokens to measure.
    bool measured_by_tokens = true;
};

/// @brief Sizes and times of one group's scheduling.
struct scheduler_options
{
    /// Waiting requests beyond this are refused.
    std::size_t queue_limit = 384;
    /// A ticket that no whole report has renewed for this long is free again.
    milliseconds ticket_lease{4000};
    /// Share of each endpoint's slots that batch work leaves to online work.
    double online_reserve_share = 0.1;
    const queue_order* order = &short_first;
    limits::concurrency_options concurrency;
    health::outlier_options outliers;
};

/// @brief An answer to give to a waiter.
struct slot_decision
{
    waiter_id waiter = 0;
    messages::slot_answer answer;
};

/// @brief A ticket that a batch host has to give back.
struct slot_preemption
{
    std::string requester;
    std::uint64_t ticket = 0;
};

/// @brief An endpoint that is set aside and due for a small generation.
struct slot_probe
{
    std::string endpoint;
    std::string address;
};

/// @brief What came of the last calls.
struct scheduler_output
{
    std::vector<slot_decision> decisions;
    std::vector<slot_preemption> preemptions;
    std::vector<slot_probe> probes;
};

/// @brief Grants the slots of one group of endpoints.
///
/// All load of the group comes here, so one short queue in front of the
/// endpoints replaces many blind ones: online before batch, short before long.
/// An online request takes a batch ticket's place at once; the batch stream is
/// cancelled one message later.
class slot_scheduler
{
public:
    slot_scheduler(std::string group, scheduler_options options,
                   std::uint64_t first_ticket);

    void set_endpoints(instant now, std::span<const group_endpoint> listed);

    void request_slot(instant now, waiter_id waiter,
                      const messages::want_slot& request);

    messages::report_answer report(instant now,
                                   const messages::slot_report& report);

    /// @brief What a probe has seen; no tokens where it failed.
    void probe_ended(instant now, std::string_view endpoint,
                     std::uint32_t tokens, milliseconds time);

    /// @brief Refuses requests whose patience has ended, frees lapsed tickets.
    void tick(instant now);

    /// @brief Answers and yields that have come up since the last call.
    scheduler_output take_output();

    std::vector<messages::endpoint_status> status() const;

    /// @brief Endpoints that take new work.
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
        /// Kept, since the bound between short and long moves.
        bool is_long = false;
    };

    struct endpoint
    {
        group_endpoint listed;
        limits::concurrency_limit limit;
        std::uint32_t online = 0;
        std::uint32_t batch = 0;
        std::uint32_t preempted = 0;
        std::uint32_t long_online = 0;
    };

    struct waiting_request
    {
        waiter_id waiter = 0;
        messages::want_slot request;
        instant arrived{};
        instant end{};
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
    double median_first_token_ms = 0;
};

} // namespace amaranthhatch::core::slots
