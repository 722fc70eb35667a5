#include "core/routes/configuration_check.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

#include "core/hash.hpp"

namespace amaranthhatch::core::routes
{

namespace
{

// Window of the quotas' bound in seconds. A bucket that isn't full again after
// it lets a workspace's burst through only now and then.
constexpr double quota_window_s = 5;

using findings = std::vector<finding>;

void check_names(const route_table& checked, findings& out)
{
    auto check = [&out](const auto& parts, const std::string& part)
    {
        std::set<std::string_view> seen;
        for (const auto& each : parts)
            if (!seen.insert(each.name).second)
                out.push_back({"duplicate_name", part, each.name,
                               "two of this name are declared"});
    };
    check(checked.routes(), "route");
    check(checked.declared_services(), "service");
    check(checked.workspaces().all(), "workspace");
}

void check_match(const route_table& checked, const route& each, findings& out)
{
    if (each.authority.empty() || each.authority.find(':') != std::string::npos)
        out.push_back({"host_never_matches", "route", each.name,
                       "a host name without a port is compared"});
    if (!each.prefix.empty() && !each.prefix.starts_with('/'))
        out.push_back(
            {"prefix_never_matches", "route", each.name, "paths begin with /"});
    // Longer prefixes take precedence, and the first one of the same length.
    auto path = each.prefix.empty() ? std::string_view("/") : each.prefix;
    const auto* matched = checked.match(each.authority, path);
    if (matched != nullptr && matched != &each)
        out.push_back({"hidden_route", "route", each.name,
                       "route " + matched->name + " of the same host name " +
                           "matches all of its paths"});
}

void check_services(const route_table& checked, const route& each,
                    findings& out)
{
    if (each.services.empty())
        out.push_back(
            {"no_service", "route", each.name, "it names no service"});
    for (const auto& share : each.services)
    {
        if (share.weight == 0)
            out.push_back({"zero_weight", "route", each.name,
                           "service " + share.service + " has weight 0"});
        if (checked.find_service(share.service) == nullptr)
            out.push_back({"unknown_service", "route", each.name,
                           "service " + share.service + " isn't declared"});
    }
}

void check_times(const route& each, findings& out)
{
    auto check = [&](bool wrong, const char* rule, const char* detail)
    {
        if (wrong)
            out.push_back({rule, "route", each.name, detail});
    };
    check(each.target_latency > each.timeout, "target_above_timeout",
          "the target latency is above the timeout");
    check(each.target_gap > each.timeout, "gap_above_timeout",
          "the target gap is above the timeout");
    check(each.kind == route_kind::batch && each.retention > milliseconds(0) &&
              each.completion_target > each.retention,
          "completion_above_retention",
          "items may be given up before the completion target");
}

void check_attempts(const route& each, findings& out)
{
    bool may_repeat = each.kind == route_kind::idempotent ||
                      each.kind == route_kind::batch ||
                      (each.kind == route_kind::stream && each.resumable);
    if (each.max_attempts == 0)
        out.push_back(
            {"no_attempts", "route", each.name, "the number of attempts is 0"});
    if (each.max_attempts > 1 && !may_repeat)
        out.push_back({"attempts_not_repeatable", "route", each.name,
                       "its requests may not be repeated, but more than one "
                       "attempt is set"});
    bool may_resume =
        each.kind == route_kind::stream || each.kind == route_kind::batch;
    if (each.resumable && !may_resume)
        out.push_back({"resumable_without_stream", "route", each.name,
                       "only streams and items can be resumed"});
}

void check_used_services(const route_table& checked, findings& out)
{
    std::set<std::string_view> named;
    for (const auto& each : checked.routes())
        for (const auto& share : each.services)
            named.insert(share.service);
    for (const auto& each : checked.declared_services())
        if (!named.contains(each.name))
            out.push_back(
                {"unused_service", "service", each.name, "no route names it"});
}

void check_keys(const route_table& checked, findings& out)
{
    std::map<std::string_view, const workspaces::workspace*> holders;
    for (const auto& each : checked.workspaces().all())
    {
        if (each.keys.empty())
            out.push_back({"workspace_without_keys", "workspace", each.name,
                           "no request can belong to it"});
        for (const auto& key : each.keys)
        {
            auto [found, added] = holders.emplace(key, &each);
            if (!added && found->second != &each)
                out.push_back({"shared_key", "workspace", each.name,
                               "key " + hash_hex(key) + " belongs to " +
                                   found->second->name});
        }
    }
}

void check_quota(const workspaces::workspace& each, findings& out)
{
    const auto& limit = each.limit;
    auto check = [&](bool wrong, const char* rule, const char* detail)
    {
        if (wrong)
            out.push_back({rule, "workspace", each.name, detail});
    };
    check(limit.limited() && limit.burst < 1, "quota_without_burst",
          "a rate needs a burst of 1 or more, as a request takes one token");
    check(!limit.limited() && limit.burst > 0, "burst_without_rate",
          "a burst without a rate limits nothing");
    // A burst of one request is the least that a rate needs.
    check(limit.limited() &&
              limit.burst > std::max(1.0, limit.per_second * quota_window_s),
          "quota_below_burst",
          "the rate doesn't refill the burst within the quota's window of 5 s");
}

void check_limits(const route_table& checked, findings& out)
{
    const auto& limits = checked.limits();
    if (limits.header_time > limits.idle_time)
        out.push_back({"header_above_idle", "limits", "header_timeout_ms",
                       "a header may take longer than a connection may idle"});
    bool zero = limits.header_bytes == 0 || limits.body_bytes == 0 ||
                limits.header_time == milliseconds(0) ||
                limits.idle_time == milliseconds(0);
    if (zero)
        out.push_back(
            {"zero_limit", "limits", "", "a limit of 0 refuses every request"});
}

} // namespace

std::vector<finding> check_configuration(const route_table& checked)
{
    findings out;
    check_names(checked, out);
    for (const auto& each : checked.routes())
    {
        check_match(checked, each, out);
        check_services(checked, each, out);
        check_times(each, out);
        check_attempts(each, out);
    }
    check_used_services(checked, out);
    check_keys(checked, out);
    for (const auto& each : checked.workspaces().all())
        check_quota(each, out);
    check_limits(checked, out);
    return out;
}

} // namespace amaranthhatch::core::routes
