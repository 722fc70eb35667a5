#include "core/quotas/owned_bucket.hpp"

#include <algorithm>

#include "core/quotas/timing.hpp"

namespace amaranthhatch::core::quotas
{

namespace
{

// Debt of a bucket, in seconds of its rate. A bound, so that an owner that was
// told too much doesn't refuse a workspace for long.
constexpr double most_debt_s = 5;
// Time in which a new owner takes over what hosts expect. All hosts that are
// asked during a flood report in it.
constexpr milliseconds adoption_time{500};
// Weight of the reports by which the owner expects the next ones.
constexpr milliseconds report_memory{1000};
// Missing reports that chance doesn't explain: were they independent, seven in
// a thousand such pauses would come without a cause.
constexpr double missed_reports = 5;
// After a longer pause the workspace is taken to send nothing elsewhere.
constexpr milliseconds silence_limit{5000};
// Counts of a host that has been silent for this long are dropped. It is longer
// than any partition in which a host goes on with requests.
constexpr milliseconds reporter_memory{60000};

} // namespace

owned_bucket::owned_bucket(workspaces::rate_limit limit, double depth,
                           double expected, instant now)
    : limit(limit), depth(depth), tokens(std::min(expected, depth)),
      began_at(now), refilled_at(now), reported_at(now), asked(rate_memory),
      admitted(rate_memory), other_reports(report_memory),
      other_reported_at(now)
{
}

void owned_bucket::set_limit(workspaces::rate_limit changed,
                             double changed_depth, instant now)
{
    this->refill(now);
    this->limit = changed;
    this->depth = changed_depth;
    this->tokens = std::min(this->tokens, changed_depth);
}

void owned_bucket::refill(instant now)
{
    constexpr double ms_per_s = 1000;
    auto elapsed = std::max(milliseconds(0), now - this->refilled_at);
    this->refilled_at = std::max(this->refilled_at, now);
    this->tokens = std::min(
        this->depth, this->tokens + this->limit.per_second *
                                        static_cast<double>(elapsed.count()) /
                                        ms_per_s);
}

void owned_bucket::receive(const std::string& host, std::uint64_t incarnation,
                           const usage_report& report, bool own, instant now)
{
    this->refill(now);
    this->reported_at = now;
    if (!own)
    {
        this->other_reports.add(1, now);
        this->other_reported_at = now;
    }
    auto [found, added] = this->reporters.try_emplace(host);
    auto& known = found->second;
    bool first = added || known.incarnation != incarnation;
    if (first && now - this->began_at < adoption_time)
        this->tokens = std::min(this->tokens, report.expected_tokens);
    // Datagrams may overtake each other.
    if (!first && report.asked < known.asked)
        return;
    auto new_admitted =
        first ? report.unconfirmed : report.admitted - known.admitted;
    // An owner that takes over doesn't know when a host's earlier requests were
    // asked for, so that only the unconfirmed ones count.
    auto new_asked =
        first
            ? static_cast<double>(std::max<std::int64_t>(1, report.unconfirmed))
            : static_cast<double>(report.asked - known.asked);
    known = {incarnation, report.asked, report.admitted, now};
    this->asked.add(new_asked, now);
    this->admitted.add(static_cast<double>(new_admitted), now);
    this->tokens = std::max(this->tokens - static_cast<double>(new_admitted),
                            -most_debt_s * this->limit.per_second - 1);
}

bucket_state owned_bucket::state(std::uint64_t workspace, instant now)
{
    this->refill(now);
    bucket_state out;
    out.workspace = workspace;
    out.tokens = this->tokens;
    out.asked_per_second = this->asked.per_second(now);
    out.admitted_per_second = std::max(0.0, this->admitted.per_second(now));
    return out;
}

std::int64_t owned_bucket::included(const std::string& host) const
{
    auto found = this->reporters.find(host);
    return found == this->reporters.end() ? 0 : found->second.admitted;
}

bool owned_bucket::scarce(instant now)
{
    this->refill(now);
    auto in_flight = this->asked.per_second(now) * report_delay_s;
    return this->tokens < std::max(this->depth / 2, 2 * in_flight);
}

bool owned_bucket::others_silent(instant now) const
{
    constexpr double ms_per_s = 1000;
    auto silence = now - this->other_reported_at;
    auto missed = this->other_reports.per_second(this->other_reported_at) *
                  static_cast<double>(silence.count()) / ms_per_s;
    return silence > answer_timeout && silence < silence_limit &&
           missed > missed_reports;
}

void owned_bucket::expire(instant now)
{
    std::erase_if(this->reporters, [now](const auto& each)
                  { return now - each.second.last_report > reporter_memory; });
}

} // namespace amaranthhatch::core::quotas
