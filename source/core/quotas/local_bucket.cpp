#include "core/quotas/local_bucket.hpp"

#include <algorithm>

#include "core/quotas/timing.hpp"

namespace amaranthhatch::core::quotas
{

namespace
{

constexpr double ms_per_s = 1000;
// Others are expected to go on admitting as they did for this long; an owner
// tells all hosts at shorter intervals while tokens are scarce.
constexpr milliseconds expectation_limit{2 * notice_interval};
// Part of an equal share of the limit that a host admits while it is cut off.
constexpr double isolated_share = 0.5;
constexpr milliseconds min_retry_after{100};

double seconds(milliseconds time)
{
    return static_cast<double>(std::max(milliseconds(0), time).count()) /
           ms_per_s;
}

} // namespace

local_bucket::local_bucket(workspaces::rate_limit limit, double depth,
                           instant now)
    : limit(limit), depth(depth), tokens(depth), known_at(now),
      own_asked(rate_memory)
{
}

void local_bucket::set_limit(workspaces::rate_limit changed,
                             double changed_depth, instant now)
{
    auto expected = this->expected_tokens(now);
    this->limit = changed;
    this->depth = changed_depth;
    this->tokens = std::min(expected, changed_depth);
    this->included = this->admitted_count;
    this->known_at = now;
}

double local_bucket::expected_tokens(instant now) const
{
    auto age = now - this->known_at;
    auto others =
        this->admitted_per_second * seconds(std::min(age, expectation_limit));
    auto own = static_cast<double>(this->admitted_count - this->included);
    auto refilled = std::min(
        this->depth, this->tokens + this->limit.per_second * seconds(age));
    return std::min(this->depth, refilled - std::max(others, own));
}

milliseconds local_bucket::time_until(double missing, double rate) const
{
    auto wait = milliseconds(static_cast<std::int64_t>(
        std::max(0.0, missing) * ms_per_s / std::max(rate, 1e-3)));
    return std::max(wait, min_retry_after);
}

admission local_bucket::admit(instant now, double uniform, std::size_t hosts)
{
    this->asked_count++;
    this->asked_at = now;
    this->own_asked.add(1, now);
    if (this->isolated(now))
        return this->admit_share(now, hosts);
    this->share_tokens.reset();
    auto expected = this->expected_tokens(now);
    auto asked =
        std::max(this->asked_per_second, this->own_asked.per_second(now));
    auto in_flight = std::max(1.0, asked * report_delay_s);
    if (uniform < expected / in_flight)
    {
        this->admitted_count++;
        return {true, {}};
    }
    return {false,
            this->time_until(in_flight - expected, this->limit.per_second)};
}

// The other hosts go on to use the whole limit, as they don't know that this
// one is cut off; what it admits beside them has to fit into the bound's
// overshoot.
admission local_bucket::admit_share(instant now, std::size_t hosts)
{
    auto share =
        isolated_share / static_cast<double>(std::max<std::size_t>(1, hosts));
    if (!this->share_tokens)
    {
        this->share_tokens = std::max(0.0, this->expected_tokens(now) * share);
        this->share_refilled_at = now;
    }
    auto rate = this->limit.per_second * share;
    this->share_tokens = std::min(
        std::max(1.0, this->depth * share),
        *this->share_tokens + rate * seconds(now - this->share_refilled_at));
    this->share_refilled_at = now;
    if (*this->share_tokens < 1)
        return {false, this->time_until(1 - *this->share_tokens, rate)};
    this->share_tokens = *this->share_tokens - 1;
    this->admitted_count++;
    return {true, {}};
}

bool local_bucket::has_report() const
{
    return this->asked_count != this->reported_asked ||
           this->admitted_count != this->reported_admitted ||
           this->waiting_since.has_value();
}

usage_report local_bucket::make_report(std::uint64_t workspace, instant now)
{
    this->reported_asked = this->asked_count;
    this->reported_admitted = this->admitted_count;
    if (!this->waiting_since)
        this->waiting_since = now;
    return {workspace, this->asked_count, this->admitted_count,
            this->admitted_count - this->included, this->expected_tokens(now)};
}

void local_bucket::receive(const bucket_state& state,
                           std::optional<instant> sent_at, instant now)
{
    this->asked_per_second = state.asked_per_second;
    this->admitted_per_second = state.admitted_per_second;
    this->tokens = state.tokens;
    // A state that answers no report includes what was last reported, but for
    // reports that are still on their way.
    if (state.answers_report)
        this->included = state.included;
    this->known_at = now;
    if (!sent_at)
        return;
    this->waiting_since.reset();
    this->silent_since.reset();
}

bool local_bucket::unanswered(instant now) const
{
    return this->waiting_since && now - *this->waiting_since > answer_timeout;
}

void local_bucket::ask_next_owner(instant now)
{
    if (!this->silent_since)
        this->silent_since = this->waiting_since;
    this->waiting_since = now;
}

bool local_bucket::isolated(instant now) const
{
    return this->silent_since.has_value() || this->unanswered(now);
}

} // namespace amaranthhatch::core::quotas
