#include "core/routes/configuration_difference.hpp"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

#include "core/hash.hpp"

namespace amaranthhatch::core::routes
{

namespace
{

using fields = std::map<std::string, std::string>;
using parts = std::map<std::pair<std::string, std::string>, fields>;

std::string text(milliseconds time)
{
    return std::to_string(time.count()) + " ms";
}

std::string text(bool flag)
{
    return flag ? "true" : "false";
}

std::string kind_name(route_kind kind)
{
    constexpr std::string_view names[] = {"idempotent", "once", "stream",
                                          "batch"};
    return std::string(names[static_cast<std::size_t>(kind)]);
}

fields fields_of(const route& each)
{
    std::string services;
    for (const auto& share : each.services)
        services += (services.empty() ? "" : ", ") + share.service + ":" +
                    std::to_string(share.weight);
    return {{"host", each.authority},
            {"prefix", each.prefix},
            {"kind", kind_name(each.kind)},
            {"services", services},
            {"timeout", text(each.timeout)},
            {"target_latency", text(each.target_latency)},
            {"target_gap", text(each.target_gap)},
            {"completion_target", text(each.completion_target)},
            {"retention", text(each.retention)},
            {"max_attempts", std::to_string(each.max_attempts)},
            {"priority", std::to_string(each.rank)},
            {"resumable", text(each.resumable)},
            {"allow_anonymous", text(each.allows_anonymous)},
            {"max_count", std::to_string(each.backlog_tokens)}};
}

fields fields_of(const service& each)
{
    return {{"slots", std::to_string(each.slots)},
            {"max_connections", std::to_string(each.max_connections)}};
}

fields fields_of(const workspaces::workspace& each)
{
    std::vector<std::string> hashes;
    for (const auto& key : each.keys)
        hashes.push_back(hash_hex(key));
    std::sort(hashes.begin(), hashes.end());
    std::string keys;
    for (const auto& hash : hashes)
        keys += (keys.empty() ? "" : ", ") + hash;
    return {{"keys", keys},
            {"priority", each.rank ? std::to_string(*each.rank) : "none"},
            {"rate_per_s", std::to_string(each.limit.per_second)},
            {"burst", std::to_string(each.limit.burst)}};
}

fields fields_of(const caller_limits& limits)
{
    return {{"max_header_bytes", std::to_string(limits.header_bytes)},
            {"max_body_bytes", std::to_string(limits.body_bytes)},
            {"header_timeout", text(limits.header_time)},
            {"idle_timeout", text(limits.idle_time)}};
}

parts parts_of(const route_table& table)
{
    parts out;
    for (const auto& each : table.routes())
        out[{"route", each.name}] = fields_of(each);
    for (const auto& each : table.declared_services())
        out[{"service", each.name}] = fields_of(each);
    for (const auto& each : table.workspaces().all())
        out[{"workspace", each.name}] = fields_of(each);
    out[{"limits", ""}] = fields_of(table.limits());
    out[{"workspaces", ""}] = {
        {"keys_required", text(table.workspaces().keys_required())}};
    return out;
}

} // namespace

std::vector<difference> compare_configurations(const route_table& in_force,
                                               const route_table& proposed)
{
    std::vector<difference> out;
    auto before = parts_of(in_force);
    auto after = parts_of(proposed);
    for (const auto& [key, old_fields] : before)
    {
        auto found = after.find(key);
        if (found == after.end())
        {
            out.push_back({key.first, key.second, "removed", "", "", ""});
            continue;
        }
        for (const auto& [field, value] : old_fields)
            if (found->second.at(field) != value)
                out.push_back({key.first, key.second, "changed", field, value,
                               found->second.at(field)});
    }
    for (const auto& [key, new_fields] : after)
        if (!before.contains(key))
            out.push_back({key.first, key.second, "added", "", "", ""});
    return out;
}

} // namespace amaranthhatch::core::routes
