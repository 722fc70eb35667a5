#include "forward/request_hedge.hpp"

#include <algorithm>
#include <vector>

#include "host/boot_clock.hpp"

namespace amaranthhatch::forward
{

using core::hedging::hedge_decision;

namespace
{

// Pause before a second attempt that wasn't allowed is considered again.
constexpr core::milliseconds recheck_interval{50};

} // namespace

request_hedge::request_hedge(host::host_runtime& runtime,
                             core::hedging::hedge_policy& policy,
                             core::hedging::request_class kind)
    : runtime(runtime), policy(policy), service(kind.service), kind(kind)
{
    this->kind.service = this->service;
}

void request_hedge::on_sent(core::instant now)
{
    if (!this->policy.enabled())
        return;
    this->sent = now;
    this->waiting = true;
    if (!this->first_sent)
    {
        this->policy.record_first_attempt();
        this->runtime.metrics_recorder().set("hatch_hedge_extra_share",
                                             this->policy.extra_share());
    }
    this->first_sent = true;
}

void request_hedge::on_first_event(core::instant now)
{
    if (!this->waiting)
        return;
    this->waiting = false;
    this->policy.record_delay(this->kind, now - this->sent);
    if (!this->hedged || this->won)
        return;
    this->won = true;
    this->runtime.metrics_recorder().count("hatch_hedges_total", "result",
                                           "won");
}

void request_hedge::on_stall_move(core::instant now)
{
    if (!this->policy.enabled())
        return;
    if (this->waiting)
        this->policy.record_delay(this->kind, now - this->sent);
    this->policy.record_unlimited_attempt();
}

std::optional<core::milliseconds>
request_hedge::time_until_due(core::instant now) const
{
    if (!this->waiting || this->hedged)
        return std::nullopt;
    auto delay = this->policy.delay(this->kind);
    if (!delay)
        return std::nullopt;
    auto until = this->sent + *delay - now;
    return until > core::milliseconds(0) ? until : recheck_interval;
}

bool request_hedge::is_due(core::instant now) const
{
    if (!this->waiting || this->hedged)
        return false;
    auto delay = this->policy.delay(this->kind);
    return delay && now - this->sent >= *delay;
}

const core::endpoints::endpoint*
request_hedge::start(const request_state& state, core::instant now)
{
    if (!this->is_due(now))
        return nullptr;
    std::vector<std::string> excluded(state.excluded.begin(),
                                      state.excluded.end());
    excluded.emplace_back(state.endpoint);
    auto& endpoints = this->runtime.endpoints();
    auto alternative =
        endpoints.choose_online(this->service, excluded, now, host::uniform());
    auto decision = this->policy.decide(
        {this->kind, now - this->sent, state.time_left, state.attempts_left,
         alternative.chosen != nullptr && !alternative.preempts &&
             alternative.expected_wait == core::milliseconds(0),
         endpoints.free_online_share(this->service, now)});
    if (decision != hedge_decision::start)
    {
        this->count_denied(decision);
        return nullptr;
    }
    this->policy.record_delay(this->kind, now - this->sent);
    this->waiting = false;
    this->hedged = true;
    auto& metrics = this->runtime.metrics_recorder();
    metrics.count("hatch_hedges_total", "result", "started");
    metrics.set("hatch_hedge_extra_share", this->policy.extra_share());
    return alternative.chosen;
}

void request_hedge::count_denied(hedge_decision decision)
{
    if (this->denied)
        return;
    this->denied = true;
    this->runtime.metrics_recorder().count(
        "hatch_hedges_not_allowed_total", "reason",
        core::hedging::decision_name(decision));
}

void request_hedge::on_finished()
{
    this->waiting = false;
    if (this->hedged && !this->won)
        this->runtime.metrics_recorder().count("hatch_hedges_total", "result",
                                               "lost");
}

} // namespace amaranthhatch::forward
