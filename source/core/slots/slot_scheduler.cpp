#include "core/slots/slot_scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace amaranthhatch::core::slots
{

namespace
{

using messages::work_kind;

// A request counts as long if it expects more tokens than this multiple of the
// mean of recent requests.
constexpr double long_factor = 2.0;
constexpr double size_smoothing = 0.02;
constexpr double first_token_smoothing = 0.05;
// A requester may send a hedge request when the first token takes longer than
// this multiple of the mean time to the first token, but not before
// min_hedge_ms.
constexpr double hedge_factor = 2.5;
constexpr std::uint32_t min_hedge_ms = 60;

// Added to the load of a suspect endpoint, so that it is chosen only if no
// other endpoint has room.
constexpr double suspect_load = 100;
constexpr std::uint32_t default_retry_after_ms = 1000;

} // namespace

slot_scheduler::slot_scheduler(std::string group, scheduler_options options,
                               std::uint64_t first_ticket)
    : group(std::move(group)), options(options), next_ticket(first_ticket),
      outliers(options.outliers)
{
}

void slot_scheduler::set_endpoints(instant now,
                                   std::span<const group_endpoint> listed)
{
    std::vector<std::string> measured;
    for (auto& [name, tracked_endpoint] : this->endpoints_by_name)
        tracked_endpoint.listed.leaving = true;
    for (const auto& endpoint_info : listed)
    {
        auto [found, added] = this->endpoints_by_name.try_emplace(
            endpoint_info.name,
            endpoint{endpoint_info,
                     limits::concurrency_limit(this->options.concurrency)});
        found->second.listed = endpoint_info;
        if (endpoint_info.measured_by_tokens)
            measured.push_back(endpoint_info.name);
    }
    // An endpoint that is no longer listed stays in the table until its last
    // ticket is released; otherwise its counters would be lost.
    std::erase_if(
        this->endpoints_by_name,
        [&](const auto& entry)
        {
            const endpoint& tracked_endpoint = entry.second;
            bool on_list =
                std::any_of(listed.begin(), listed.end(),
                            [&](const auto& endpoint_info)
                            { return endpoint_info.name == entry.first; });
            return !on_list &&
                   tracked_endpoint.online + tracked_endpoint.batch == 0;
        });
    this->outliers.set_endpoints(measured);
    this->place_waiting(now);
}

void slot_scheduler::request_slot(instant now, waiter_id waiter,
                                  const messages::want_slot& request)
{
    // A request that was sent before (waited_ms > 0) is already part of the
    // mean size.
    if (request.kind == work_kind::online && request.waited_ms == 0)
    {
        this->update_mean_size(request.expected_tokens);
        if (request.token_gap_ms > 0)
            this->token_gap_target_ms = request.token_gap_ms;
    }
    waiting_request waiting{waiter, request,
                            now - milliseconds(request.waited_ms),
                            now + milliseconds(request.wait_timeout_ms)};
    if (this->queue.empty() && this->try_place(now, waiting))
        return;
    if (this->queue.size() >= this->options.queue_limit)
    {
        this->refuse(waiting, refusal::queue_full);
        return;
    }
    this->insert_waiting(std::move(waiting));
    this->place_waiting(now);
}

void slot_scheduler::insert_waiting(waiting_request waiting)
{
    auto sort_key = [this](const waiting_request& queued)
    {
        queue_place place{queued.arrived, queued.request.rank,
                          queued.request.expected_tokens};
        return std::tuple(queued.request.kind, queued.request.rank,
                          this->options.order->key(place));
    };
    auto before = [&](const waiting_request& left, const waiting_request& right)
    { return sort_key(left) < sort_key(right); };
    auto position = std::upper_bound(this->queue.begin(), this->queue.end(),
                                     waiting, before);
    this->queue.insert(position, std::move(waiting));
}

void slot_scheduler::place_waiting(instant now)
{
    // A request that can't be placed doesn't block the ones behind it: a short
    // request, for example, may use the reserved slots that a long one may not.
    std::vector<waiting_request> still_waiting;
    still_waiting.reserve(this->queue.size());
    for (auto& waiting : this->queue)
    {
        if (!this->try_place(now, waiting))
            still_waiting.push_back(std::move(waiting));
    }
    this->queue = std::move(still_waiting);
}

bool slot_scheduler::try_place(instant now, const waiting_request& waiting)
{
    bool online = waiting.request.kind == work_kind::online;
    endpoint* chosen = online ? this->choose_online(waiting.request)
                              : this->choose_batch(waiting.request);
    if (chosen == nullptr)
        return false;
    bool full = this->in_use(*chosen) >= chosen->limit.value();
    if (online && full && chosen->batch > chosen->preempted)
        this->preempt_one(*chosen);
    this->grant(now, waiting, *chosen);
    return true;
}

std::uint32_t slot_scheduler::in_use(const endpoint& candidate) const
{
    return candidate.online + candidate.batch - candidate.preempted;
}

bool slot_scheduler::is_usable(const endpoint& candidate,
                               const messages::want_slot& request) const
{
    if (candidate.listed.leaving)
        return false;
    const auto& excluded = request.excluded;
    if (std::find(excluded.begin(), excluded.end(), candidate.listed.name) !=
        excluded.end())
        return false;
    return !this->outliers.is_ejected(candidate.listed.name);
}

bool slot_scheduler::has_room(const endpoint& candidate,
                              const messages::want_slot& request) const
{
    std::uint32_t limit = candidate.limit.value();
    if (candidate.online >= limit)
        return false;
    if (!this->is_long(request.expected_tokens) || limit < 2)
        return true;
    auto reserve = static_cast<std::uint32_t>(
        std::ceil(limit * this->options.order->short_reserve_share));
    return candidate.long_online + reserve < limit ||
           this->options.order->short_reserve_share <= 0;
}

slot_scheduler::endpoint*
slot_scheduler::choose_online(const messages::want_slot& request)
{
    endpoint* best = nullptr;
    double median_gap_ms = this->outliers.median_gap_ms();
    double best_load = 0;
    for (auto& [name, candidate] : this->endpoints_by_name)
    {
        if (!this->is_usable(candidate, request) ||
            !this->has_room(candidate, request))
            continue;
        // Batch streams are preempted if necessary, but preemption delays the
        // first token, so endpoints with fewer batch streams are preferred.
        double load = (candidate.online + 0.5 * candidate.batch) /
                      candidate.limit.value();
        if (this->outliers.is_suspect(name, median_gap_ms))
            load += suspect_load;
        if (best == nullptr || load < best_load)
        {
            best = &candidate;
            best_load = load;
        }
    }
    return best;
}

slot_scheduler::endpoint*
slot_scheduler::choose_batch(const messages::want_slot& request)
{
    endpoint* best = nullptr;
    double best_load = 0;
    for (auto& [name, candidate] : this->endpoints_by_name)
    {
        if (!this->is_usable(candidate, request))
            continue;
        std::uint32_t limit = candidate.limit.value();
        auto reserve = static_cast<std::uint32_t>(
            std::ceil(limit * this->options.online_reserve_share));
        bool room = candidate.online + candidate.batch + reserve < limit ||
                    (limit == 1 && candidate.online + candidate.batch == 0);
        if (!room)
            continue;
        double load =
            static_cast<double>(candidate.online + candidate.batch) / limit;
        if (best == nullptr || load < best_load)
        {
            best = &candidate;
            best_load = load;
        }
    }
    return best;
}

void slot_scheduler::preempt_one(endpoint& target)
{
    // Preempts the newest batch stream, since it loses the least work.
    std::uint64_t newest = 0;
    for (const auto& [number, granted_ticket] : this->tickets)
    {
        bool eligible = granted_ticket.endpoint == target.listed.name &&
                        granted_ticket.kind == work_kind::batch &&
                        !granted_ticket.preempted;
        if (eligible)
            newest = number;
    }
    if (newest == 0)
        return;
    ticket& granted_ticket = this->tickets[newest];
    granted_ticket.preempted = true;
    ++target.preempted;
    this->output.preemptions.push_back({granted_ticket.requester, newest});
}

void slot_scheduler::grant(instant now, const waiting_request& waiting,
                           endpoint& target)
{
    const auto& request = waiting.request;
    std::uint64_t number = this->next_ticket++;
    this->add_ticket(number,
                     {request.requester, target.listed.name, request.kind,
                      request.expected_tokens, now, now, false, false});
    slot_decision decision;
    decision.waiter = waiting.waiter;
    decision.answer.ticket = number;
    decision.answer.endpoint = target.listed.name;
    decision.answer.address = target.listed.address;
    auto hedge =
        static_cast<std::uint32_t>(hedge_factor * this->mean_first_token_ms);
    decision.answer.hedge_after_ms = std::max(hedge, min_hedge_ms);
    this->output.decisions.push_back(std::move(decision));
}

void slot_scheduler::refuse(const waiting_request& waiting, refusal reason)
{
    slot_decision decision;
    decision.waiter = waiting.waiter;
    decision.answer.reason = reason;
    decision.answer.retry_after_ms = default_retry_after_ms;
    this->output.decisions.push_back(std::move(decision));
}

void slot_scheduler::add_ticket(std::uint64_t number, ticket added)
{
    auto found = this->endpoints_by_name.find(added.endpoint);
    if (found == this->endpoints_by_name.end())
        return;
    endpoint& target = found->second;
    added.is_long = this->is_long(added.expected_tokens);
    this->tickets[number] = added;
    if (added.kind == work_kind::batch)
    {
        ++target.batch;
        return;
    }
    ++target.online;
    target.long_online += added.is_long ? 1 : 0;
}

void slot_scheduler::remove_ticket(std::uint64_t number)
{
    auto found_ticket = this->tickets.find(number);
    if (found_ticket == this->tickets.end())
        return;
    ticket removed = std::move(found_ticket->second);
    this->tickets.erase(found_ticket);
    auto found = this->endpoints_by_name.find(removed.endpoint);
    if (found == this->endpoints_by_name.end())
        return;
    endpoint& target = found->second;
    if (removed.kind == work_kind::batch)
    {
        --target.batch;
        target.preempted -= removed.preempted ? 1 : 0;
        return;
    }
    --target.online;
    target.long_online -= removed.is_long ? 1 : 0;
}

messages::report_answer
slot_scheduler::report(instant now, const messages::slot_report& report)
{
    for (const auto& finished : report.finished)
    {
        this->remove_ticket(finished.ticket);
        if (finished.failed)
            this->outliers.failed(now, finished.endpoint);
        if (finished.first_token_ms > 0)
            this->mean_first_token_ms +=
                (finished.first_token_ms - this->mean_first_token_ms) *
                (this->mean_first_token_ms <= 0 ? 1 : first_token_smoothing);
    }
    this->renew(now, report);
    this->apply_progress(now, report);
    this->place_waiting(now);
    messages::report_answer answer;
    answer.ejected = this->outliers.ejected();
    return answer;
}

void slot_scheduler::renew(instant now, const messages::slot_report& report)
{
    for (const auto& held_ticket : report.held)
    {
        auto found = this->tickets.find(held_ticket.ticket);
        if (found != this->tickets.end())
        {
            found->second.renewed = now;
            continue;
        }
        // The ticket was granted by the coordinator that managed the group
        // before this one.
        this->add_ticket(held_ticket.ticket,
                         {report.requester, held_ticket.endpoint,
                          held_ticket.kind, held_ticket.expected_tokens, now,
                          now, false, false});
    }
    if (!report.complete)
        return;
    std::vector<std::uint64_t> released;
    for (const auto& [number, granted_ticket] : this->tickets)
    {
        // The requester may not have received a recently granted ticket when it
        // sent this report.
        constexpr milliseconds in_flight_limit{500};
        bool recent = now - granted_ticket.granted < in_flight_limit;
        if (granted_ticket.requester == report.requester &&
            granted_ticket.renewed != now && !recent)
            released.push_back(number);
    }
    for (std::uint64_t number : released)
        this->remove_ticket(number);
}

void slot_scheduler::apply_progress(instant now,
                                    const messages::slot_report& report)
{
    for (const auto& progress : report.progress)
    {
        this->outliers.progress(now, progress.endpoint, progress.tokens,
                                progress.stream_ms);
        auto found = this->endpoints_by_name.find(progress.endpoint);
        if (found == this->endpoints_by_name.end() ||
            this->outliers.is_ejected(progress.endpoint))
            continue;
        endpoint& target = found->second;
        target.limit.observe(now, this->outliers.gap_ms(progress.endpoint),
                             this->token_gap_target_ms,
                             target.online + target.batch);
    }
}

void slot_scheduler::probe_ended(instant now, std::string_view endpoint,
                                 std::uint32_t tokens, milliseconds time)
{
    this->outliers.progress(now, endpoint, tokens,
                            static_cast<double>(time.count()));
    this->place_waiting(now);
}

void slot_scheduler::tick(instant now)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [number, granted_ticket] : this->tickets)
    {
        if (now - granted_ticket.renewed > this->options.ticket_lease)
            expired.push_back(number);
    }
    for (std::uint64_t number : expired)
        this->remove_ticket(number);
    for (const auto& name : this->outliers.take_due_probes(now))
    {
        auto found = this->endpoints_by_name.find(name);
        if (found != this->endpoints_by_name.end())
            this->output.probes.push_back({name, found->second.listed.address});
    }
    this->place_waiting(now);
    bool any_endpoint = !this->endpoints_by_name.empty();
    std::erase_if(this->queue,
                  [&](const waiting_request& waiting)
                  {
                      if (now < waiting.wait_deadline)
                          return false;
                      this->refuse(waiting, any_endpoint
                                                ? refusal::deadline_passed
                                                : refusal::no_endpoint);
                      return true;
                  });
}

scheduler_output slot_scheduler::take_output()
{
    return std::exchange(this->output, {});
}

bool slot_scheduler::is_long(std::uint32_t expected_tokens) const
{
    return expected_tokens > this->mean_size_tokens * long_factor &&
           this->mean_size_tokens > 0;
}

void slot_scheduler::update_mean_size(std::uint32_t expected_tokens)
{
    double weight = this->mean_size_tokens <= 0 ? 1 : size_smoothing;
    this->mean_size_tokens +=
        (expected_tokens - this->mean_size_tokens) * weight;
}

std::vector<messages::endpoint_status> slot_scheduler::status() const
{
    std::vector<messages::endpoint_status> all;
    for (const auto& [name, tracked_endpoint] : this->endpoints_by_name)
        all.push_back({name, this->group, tracked_endpoint.limit.value(),
                       tracked_endpoint.online, tracked_endpoint.batch,
                       tracked_endpoint.listed.leaving,
                       this->outliers.is_ejected(name)});
    return all;
}

messages::endpoints_answer slot_scheduler::endpoints() const
{
    messages::endpoints_answer answer;
    for (const auto& [name, tracked_endpoint] : this->endpoints_by_name)
    {
        if (!tracked_endpoint.listed.leaving)
            answer.endpoints.push_back({name, tracked_endpoint.listed.address,
                                        tracked_endpoint.listed.region});
    }
    return answer;
}

} // namespace amaranthhatch::core::slots
