#include "routing/slot_client.hpp"

#include <algorithm>
#include <utility>

#include "control/control_loop.hpp"
#include "coordinator/slot_service.hpp"
#include "core/members/rendezvous.hpp"
#include "logging/event.hpp"
#include "net/codec.hpp"
#include "process/program.hpp"

namespace amaranthhatch::routing
{

namespace
{

namespace messages = core::messages;

using core::milliseconds;
using core::refusal;

constexpr milliseconds report_interval{45};
constexpr milliseconds least_report_interval{5};
constexpr milliseconds whole_interval{1000};
constexpr milliseconds report_limit{500};
constexpr milliseconds answer_slack{250};
constexpr milliseconds silent_home_pause{1000};
constexpr milliseconds endpoints_interval{1000};
constexpr milliseconds group_forget{60'000};
constexpr milliseconds yield_patience{2000};
constexpr std::size_t homes_tried = 3;

// A request waits at a coordinator in turns of this length, so that the death
// of the coordinator shows after one turn and not after the whole patience.
constexpr milliseconds wait_turn{600};

} // namespace

slot_client::slot_client(std::string asker, std::string region,
                         bool takes_yields, view_client& view,
                         net::rpc_client& peers, metrics::registry& metrics)
    : asker(std::move(asker)), region(std::move(region)),
      takes_yields(takes_yields), view(view), peers(peers), metrics(metrics),
      next_local_ticket(process::random_number() | (1ull << 63))
{
}

slot_client::~slot_client()
{
    this->stopping = true;
    if (this->reporter.joinable())
        this->reporter.join();
}

void slot_client::start()
{
    this->reporter = std::thread([this] { this->report_loop(); });
}

slot_result slot_client::acquire(const slot_request& request)
{
    slot_result result;
    result.reason = refusal::no_endpoint;
    auto regions = this->view.now()->regions(this->region);
    for (const auto& one : regions)
    {
        auto group = coordinator::group_name(request.serves, one);
        result = this->acquire_in(group, one, request);
        // Another region is tried only where this one has nothing at all; a
        // full one refuses, which is cheaper than the link between regions.
        if (result.reason != refusal::no_endpoint)
            return result;
    }
    return result;
}

slot_result slot_client::acquire_in(const std::string& group,
                                    const std::string& in,
                                    const slot_request& request)
{
    auto view_now = this->view.now();
    auto homes = core::members::coordinators_for(group, in, view_now->members);
    messages::want_slot want = request.want;
    want.requester = this->asker;
    want.group = group;
    homes.resize(std::min(homes.size(), homes_tried));
    for (const auto& home : homes)
    {
        if (this->is_silent(home.address))
            continue;
        auto answer = this->ask_patiently(home, want);
        if (!answer)
            continue;
        if (answer->reason == refusal::none)
            return this->granted(group, home.address, request, *answer);
        slot_result refused;
        refused.reason = answer->reason;
        refused.retry_after = milliseconds(answer->retry_after_ms);
        return refused;
    }
    return this->choose_locally(group, request);
}

bool slot_client::is_silent(const std::string& address) const
{
    std::lock_guard lock(this->guard);
    auto silent = this->silent_homes.find(address);
    return silent != this->silent_homes.end() &&
           control::monotonic_now() < silent->second + silent_home_pause;
}

std::optional<messages::slot_answer>
slot_client::ask_patiently(const messages::member& home,
                           messages::want_slot want)
{
    auto patience = milliseconds(want.wait_timeout_ms);
    auto started = control::monotonic_now();
    while (true)
    {
        auto waited = control::monotonic_now() - started;
        auto turn = std::min(patience - waited, wait_turn);
        turn = std::max(turn, milliseconds(1));
        want.wait_timeout_ms = static_cast<std::uint32_t>(turn.count());
        want.waited_ms = static_cast<std::uint32_t>(waited.count());
        auto answer = net::decode_answer<messages::slot_answer>(this->peers.ask(
            home.address, net::encode(want), turn + answer_slack));
        if (!answer)
        {
            this->metrics.count("hatch_coordinator_timeouts_total", "peer",
                                home.name);
            std::lock_guard lock(this->guard);
            this->silent_homes[home.address] = control::monotonic_now();
            return std::nullopt;
        }
        bool again = answer->reason == refusal::deadline_passed &&
                     control::monotonic_now() - started < patience;
        if (!again)
            return answer;
    }
}

slot_result slot_client::granted(const std::string& group,
                                 const std::string& home,
                                 const slot_request& request,
                                 const messages::slot_answer& answer)
{
    auto slot = std::make_shared<held_slot>();
    slot->ticket = answer.ticket;
    slot->group = group;
    slot->endpoint = answer.endpoint;
    slot->address = answer.address;
    slot->kind = request.want.kind;
    slot->expected_tokens = request.want.expected_tokens;
    slot->hedge_after = milliseconds(answer.hedge_after_ms);
    std::lock_guard lock(this->guard);
    auto& state = this->groups[group];
    if (state.home != home)
    {
        // The new home learns of everything held before it decides on more.
        state.home = home;
        state.whole_sent = {};
    }
    state.used = control::monotonic_now();
    state.held[slot->ticket] = slot;
    slot_result result;
    result.slot = std::move(slot);
    return result;
}

slot_result slot_client::choose_locally(const std::string& group,
                                        const slot_request& request)
{
    slot_result result;
    result.reason = refusal::no_coordinator;
    if (request.want.kind == messages::work_kind::batch)
        return result;
    std::lock_guard lock(this->guard);
    auto found = this->groups.find(group);
    if (found == this->groups.end() || found->second.endpoints.empty())
        return result;
    auto& state = found->second;
    const messages::endpoint_address* best = nullptr;
    std::size_t best_count = 0;
    for (const auto& one : state.endpoints)
    {
        const auto& excluded = request.want.excluded;
        if (std::find(excluded.begin(), excluded.end(), one.name) !=
            excluded.end())
            continue;
        auto count = static_cast<std::size_t>(
            std::count_if(state.held.begin(), state.held.end(),
                          [&](const auto& entry)
                          { return entry.second->endpoint == one.name; }));
        if (best == nullptr || count < best_count)
        {
            best = &one;
            best_count = count;
        }
    }
    if (best == nullptr)
        return result;
    this->metrics.count("hatch_local_choices_total", "group", group);
    auto slot = std::make_shared<held_slot>();
    slot->ticket = this->next_local_ticket++;
    slot->group = group;
    slot->endpoint = best->name;
    slot->address = best->address;
    slot->kind = request.want.kind;
    slot->expected_tokens = request.want.expected_tokens;
    slot->hedge_after = milliseconds(request.want.first_token_ms);
    slot->local = true;
    state.held[slot->ticket] = slot;
    state.used = control::monotonic_now();
    result.reason = refusal::none;
    result.slot = std::move(slot);
    return result;
}

void slot_client::release(const slot_ptr& slot, bool failed,
                          milliseconds first_token)
{
    std::lock_guard lock(this->guard);
    auto found = this->groups.find(slot->group);
    if (found == this->groups.end())
        return;
    found->second.held.erase(slot->ticket);
    found->second.finished.push_back(
        {slot->ticket, slot->endpoint, failed,
         static_cast<std::uint32_t>(first_token.count())});
    this->release_pending = true;
    this->released.notify_one();
}

std::size_t slot_client::held_count() const
{
    std::lock_guard lock(this->guard);
    std::size_t count = 0;
    for (const auto& [name, state] : this->groups)
        count += state.held.size();
    return count;
}

void slot_client::report_loop()
{
    while (!this->stopping)
    {
        for (const auto& out : this->collect_reports())
        {
            this->send(out);
            if (out.read_endpoints)
                this->read_endpoints(out.report.group, out.home);
        }
        if (this->takes_yields)
            this->yield_loop();
        // A freed slot is reported soon, or it would stand idle for the rest
        // of the interval; a few more may free themselves meanwhile.
        std::this_thread::sleep_for(least_report_interval);
        std::unique_lock lock(this->guard);
        this->released.wait_for(lock, report_interval,
                                [this] { return this->release_pending; });
        this->release_pending = false;
    }
}

std::vector<slot_client::outgoing> slot_client::collect_reports()
{
    std::vector<outgoing> reports;
    auto now = control::monotonic_now();
    auto view_now = this->view.now();
    std::lock_guard lock(this->guard);
    for (auto& [name, state] : this->groups)
    {
        outgoing out;
        out.report.requester = this->asker;
        out.report.group = name;
        out.report.complete = now - state.whole_sent >= whole_interval;
        out.report.finished = std::exchange(state.finished, {});
        this->count_progress(state, out.report);
        if (out.report.complete)
        {
            state.whole_sent = now;
            for (const auto& [ticket, slot] : state.held)
                out.report.held.push_back({ticket, slot->endpoint, slot->kind,
                                           slot->expected_tokens});
        }
        if (now - state.endpoints_read >= endpoints_interval)
        {
            state.endpoints_read = now;
            out.read_endpoints = true;
        }
        bool said = !out.report.finished.empty() ||
                    !out.report.progress.empty() || out.report.complete;
        bool idle = state.held.empty() && now - state.used > group_forget;
        out.home = state.home;
        if (said && !out.home.empty() && !idle)
            reports.push_back(std::move(out));
    }
    return reports;
}

void slot_client::count_progress(group_state& group,
                                 messages::slot_report& report)
{
    auto now_ms = control::monotonic_now().count();
    std::map<std::string, messages::endpoint_progress, std::less<>> sums;
    for (auto& [ticket, slot] : group.held)
    {
        auto from = slot->counted_from_ms.load();
        auto tokens = slot->tokens.exchange(0);
        if (from == 0 && tokens == 0)
            continue;
        auto& sum = sums[slot->endpoint];
        sum.endpoint = slot->endpoint;
        sum.tokens += tokens;
        if (from == 0)
            continue;
        sum.stream_ms += static_cast<std::uint32_t>(
            std::max<std::int64_t>(now_ms - from, 0));
        slot->counted_from_ms.compare_exchange_strong(from, now_ms);
    }
    for (auto& [name, sum] : sums)
        report.progress.push_back(std::move(sum));
}

void slot_client::send(const outgoing& out)
{
    std::string group = out.report.group;
    this->peers.post(out.home, net::encode(out.report), report_limit,
                     [this, group](std::optional<std::string> frame)
                     {
                         auto answer =
                             net::decode_answer<messages::report_answer>(frame);
                         if (answer)
                             this->apply_leave(group, *answer);
                     });
}

void slot_client::apply_leave(const std::string& group,
                              const messages::report_answer& answer)
{
    std::lock_guard lock(this->guard);
    auto found = this->groups.find(group);
    if (found == this->groups.end())
        return;
    for (auto& [ticket, slot] : found->second.held)
    {
        bool slow = std::find(answer.ejected.begin(), answer.ejected.end(),
                              slot->endpoint) != answer.ejected.end();
        slot->leave = slow;
    }
}

void slot_client::read_endpoints(const std::string& group,
                                 const std::string& home)
{
    messages::endpoints_request request{group};
    this->peers.post(
        home, net::encode(request), report_limit,
        [this, group](std::optional<std::string> frame)
        {
            auto answer = net::decode_answer<messages::endpoints_answer>(frame);
            if (!answer || answer->endpoints.empty())
                return;
            std::lock_guard lock(this->guard);
            this->groups[group].endpoints = answer->endpoints;
        });
}

void slot_client::yield_loop()
{
    std::set<std::string> homes;
    {
        std::lock_guard lock(this->guard);
        for (const auto& [name, state] : this->groups)
        {
            bool ask = !state.home.empty() && !state.held.empty() &&
                       this->awaiting_yield.insert(state.home).second;
            if (ask)
                homes.insert(state.home);
        }
    }
    messages::await_preemption request{
        this->asker, static_cast<std::uint32_t>(yield_patience.count())};
    for (const auto& home : homes)
    {
        this->peers.post(
            home, net::encode(request), yield_patience + answer_slack,
            [this, home](std::optional<std::string> frame)
            {
                auto answer =
                    net::decode_answer<messages::preemption_answer>(frame);
                if (answer)
                    this->apply_yield(answer->tickets);
                std::lock_guard lock(this->guard);
                this->awaiting_yield.erase(home);
            });
    }
}

void slot_client::apply_yield(std::span<const std::uint64_t> tickets)
{
    std::lock_guard lock(this->guard);
    for (std::uint64_t ticket : tickets)
    {
        for (auto& [name, state] : this->groups)
        {
            auto found = state.held.find(ticket);
            if (found != state.held.end())
                found->second->yielded = true;
        }
    }
}

} // namespace amaranthhatch::routing
