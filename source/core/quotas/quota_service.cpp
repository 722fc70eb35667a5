#include "core/quotas/quota_service.hpp"

#include <algorithm>

#include "core/hash.hpp"
#include "core/quotas/timing.hpp"

namespace amaranthhatch::core::quotas
{

namespace
{

constexpr std::size_t most_excluded = 2;
// A host that has heard a bucket's owner since doesn't take the bucket over.
constexpr milliseconds owner_freshness{1000};
// An owned bucket without reports for this long is full again and dropped.
constexpr milliseconds owned_memory{30000};
// Reports go on for this long after the last request, so that what was given
// back is told as well.
constexpr milliseconds report_memory{2000};

} // namespace

quota_service::quota_service(std::string own_name, std::uint64_t incarnation,
                             double slack_tokens)
    : own_name(std::move(own_name)), incarnation(incarnation),
      slack_tokens(slack_tokens), hosts{this->own_name}
{
}

double quota_service::depth(workspaces::rate_limit limit) const
{
    return std::max(1.0, limit.burst + this->slack_tokens);
}

void quota_service::apply(const workspaces::workspace_table& table, instant now)
{
    std::map<std::uint64_t, workspace_state> next;
    for (const auto& workspace : table.all())
    {
        if (!workspace.limit.limited())
            continue;
        auto key = hash(workspace.name);
        auto known = this->workspaces.find(key);
        auto& state = next[key];
        if (known != this->workspaces.end())
            state = std::move(known->second);
        bool changed = state.limit != workspace.limit;
        state.limit = workspace.limit;
        if (!changed)
            continue;
        if (state.bucket)
            state.bucket->set_limit(state.limit, this->depth(state.limit), now);
        auto owned = this->owned_buckets.find(key);
        if (owned != this->owned_buckets.end())
            owned->second.set_limit(state.limit, this->depth(state.limit), now);
    }
    this->workspaces = std::move(next);
    std::erase_if(this->owned_buckets, [this](const auto& each)
                  { return !this->workspaces.contains(each.first); });
}

void quota_service::set_hosts(std::vector<std::string> names)
{
    this->hosts = std::move(names);
}

std::string quota_service::owner_of(std::uint64_t workspace, instant now)
{
    std::erase_if(this->excluded_until,
                  [now](const auto& each) { return now >= each.second; });
    const std::string* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const auto& name : this->hosts)
    {
        if (this->excluded_until.contains(name))
            continue;
        auto weight = hash(name, workspace);
        if (best != nullptr && weight <= best_weight)
            continue;
        best = &name;
        best_weight = weight;
    }
    return best == nullptr ? this->own_name : *best;
}

admission quota_service::admit(const workspaces::workspace& workspace,
                               instant now, double uniform)
{
    auto found = this->workspaces.find(hash(workspace.name));
    if (found == this->workspaces.end())
        return {true, {}};
    auto& state = found->second;
    if (!state.bucket)
        state.bucket.emplace(state.limit, this->depth(state.limit), now);
    return state.bucket->admit(now, uniform, this->hosts.size());
}

void quota_service::give_back(std::string_view workspace)
{
    auto found = this->workspaces.find(hash(workspace));
    if (found != this->workspaces.end() && found->second.bucket)
        found->second.bucket->give_back();
}

void quota_service::add_report(std::uint64_t key, workspace_state& state,
                               instant now, outgoing_messages& out)
{
    auto& bucket = *state.bucket;
    if (bucket.unanswered(now))
    {
        // Where two owners don't answer it is this host that is cut off, and
        // the first one still has the bucket.
        if (this->excluded_until.size() >= most_excluded)
            this->excluded_until.clear();
        else if (state.owner != this->own_name)
            this->excluded_until[state.owner] = now + owner_exclusion;
        bucket.ask_next_owner(now);
    }
    state.owner = this->owner_of(key, now);
    state.last_report = now;
    auto report = bucket.make_report(key, now);
    if (state.owner != this->own_name)
    {
        auto& message = out.reports[state.owner];
        message.sender = this->own_name;
        message.incarnation = this->incarnation;
        message.sent_ms = now.count();
        message.reports.push_back(report);
        return;
    }
    this->receive(this->receive(report_message{this->own_name,
                                               this->incarnation,
                                               now.count(),
                                               {report}},
                                now),
                  now);
}

outgoing_messages quota_service::collect(instant now)
{
    outgoing_messages out;
    for (auto& [key, state] : this->workspaces)
    {
        bool due =
            state.bucket && state.bucket->has_report() &&
            (!state.last_report || now - *state.last_report >= report_interval);
        if (due)
            this->add_report(key, state, now, out);
    }
    this->add_notices(now, out);
    return out;
}

void quota_service::add_notices(instant now, outgoing_messages& out)
{
    std::erase_if(this->owned_buckets, [now](const auto& each)
                  { return now - each.second.last_report() > owned_memory; });
    for (auto& [key, bucket] : this->owned_buckets)
    {
        bucket.expire(now);
        auto [noticed, first] = this->noticed_at.try_emplace(key, now);
        bool due = first || now - noticed->second >= notice_interval;
        if (!bucket.scarce(now) || !due)
        {
            // The next time it is scarce is told at once.
            if (!bucket.scarce(now) && now - noticed->second >= notice_interval)
                this->noticed_at.erase(noticed);
            continue;
        }
        noticed->second = now;
        for (const auto& name : this->hosts)
            if (name != this->own_name)
            {
                auto& message = out.states[name];
                message.sender = this->own_name;
                message.states.push_back(bucket.state(key, now));
            }
    }
}

owned_bucket* quota_service::owned_for(const usage_report& report, instant now)
{
    auto known = this->workspaces.find(report.workspace);
    if (known == this->workspaces.end())
        return nullptr;
    auto limit = known->second.limit;
    auto expected = report.expected_tokens;
    if (known->second.bucket)
        expected =
            std::min(expected, known->second.bucket->expected_tokens(now));
    auto [found, added] = this->owned_buckets.try_emplace(
        report.workspace, limit, this->depth(limit), expected, now);
    return &found->second;
}

// A host that hears an owner before it in the order isn't the owner, even if
// others that don't hear that one have reported to it.
bool quota_service::owned_elsewhere(std::uint64_t workspace, instant now) const
{
    auto known = this->workspaces.find(workspace);
    return known != this->workspaces.end() &&
           !known->second.heard_owner.empty() &&
           now - known->second.heard_at < owner_freshness &&
           hash(known->second.heard_owner, workspace) >
               hash(this->own_name, workspace);
}

state_message quota_service::receive(const report_message& message, instant now)
{
    state_message answer;
    answer.sender = this->own_name;
    answer.receiver_incarnation = message.incarnation;
    answer.answered_ms = message.sent_ms;
    for (const auto& report : message.reports)
    {
        if (message.sender != this->own_name &&
            this->owned_elsewhere(report.workspace, now))
        {
            answer.owners.push_back(
                this->workspaces.at(report.workspace).heard_owner);
            this->owned_buckets.erase(report.workspace);
            continue;
        }
        auto* bucket = this->owned_for(report, now);
        if (bucket == nullptr)
            continue;
        bool own = message.sender == this->own_name;
        bucket->receive(message.sender, message.incarnation, report, own, now);
        // A host that is cut off has no answer for itself either.
        if (own && (!this->connected || bucket->others_silent(now)))
            continue;
        auto state = bucket->state(report.workspace, now);
        state.included = bucket->included(message.sender);
        state.answers_report = true;
        answer.states.push_back(state);
    }
    return answer;
}

void quota_service::receive(const state_message& message, instant now)
{
    bool answers = message.receiver_incarnation != 0;
    // An answer to the process before this one.
    if (answers && message.receiver_incarnation != this->incarnation)
        return;
    for (const auto& owner : message.owners)
        this->excluded_until.erase(owner);
    for (const auto& state : message.states)
    {
        auto found = this->workspaces.find(state.workspace);
        if (found == this->workspaces.end())
            continue;
        auto& known = found->second;
        if (!known.bucket)
            known.bucket.emplace(known.limit, this->depth(known.limit), now);
        // Another host may take itself for the owner, as it hears others.
        if (!answers && !known.owner.empty() && known.owner != message.sender)
            continue;
        bool newer = now - known.heard_at >= owner_freshness ||
                     hash(message.sender, state.workspace) >=
                         hash(known.heard_owner, state.workspace);
        if (message.sender != this->own_name && newer)
        {
            known.heard_owner = message.sender;
            known.heard_at = now;
        }
        known.bucket->receive(state,
                              answers
                                  ? std::optional(instant(message.answered_ms))
                                  : std::nullopt,
                              now);
    }
}

bool quota_service::active(instant now)
{
    for (const auto& [key, state] : this->workspaces)
        if (state.bucket && (state.bucket->has_report() ||
                             now - state.bucket->last_asked() < report_memory))
            return true;
    for (auto& [key, bucket] : this->owned_buckets)
        if (bucket.scarce(now))
            return true;
    return false;
}

} // namespace amaranthhatch::core::quotas
