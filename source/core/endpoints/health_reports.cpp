// The part of shared_health that exchanges reports with other hosts.
#include <algorithm>

#include "core/endpoints/report_time.hpp"
#include "core/endpoints/shared_health.hpp"

namespace amaranthhatch::core::endpoints
{

namespace
{

// A report that has changed is sent for this long: in several beacons, in case
// some are lost.
constexpr milliseconds send_time{400};
constexpr std::size_t most_reports = 32;
constexpr std::size_t most_records = 4096;
// Failures that count in the first report of a host or zone.
constexpr std::uint32_t counted_at_first = 3;

std::uint32_t increase(std::uint32_t from, std::uint32_t to)
{
    return to > from ? to - from : 0;
}

} // namespace

void shared_health::receive(const peers::beacon& message, instant now)
{
    bool of_zone = message.scope == peers::beacon_scope::zone ||
                   message.scope == peers::beacon_scope::part;
    auto sender_zone = zone_key(message.zone);
    auto sender =
        of_zone ? sender_zone : reporter_key(message.name, message.incarnation);
    for (const auto& each : message.evidence)
    {
        auto reporter = each.reporter == 0 ? sender : each.reporter;
        auto zone = each.zone == 0 ? sender_zone : each.zone;
        bool own_echo =
            reporter == this->own_reporter || reporter == this->own_zone;
        auto found = this->records.find(each.endpoint);
        bool useful = found != this->records.end() ||
                      (each.failed > 0 && each.age < report_time &&
                       this->records.size() < most_records);
        if (own_echo || !useful)
            continue;
        bool first = found == this->records.end();
        auto& to = this->begin_record(each.endpoint, now);
        auto [report_at, unknown] = to.reports.try_emplace(reporter);
        auto& known = report_at->second;
        counts added{increase(known.failed, each.failed),
                     increase(known.answered, each.answered),
                     increase(known.cleared, each.cleared)};
        // Its counts may go back further than this host's record does.
        if (unknown)
            added.failed = std::min(added.failed, counted_at_first);
        bool changed = added.failed + added.answered + added.cleared > 0;
        static_cast<counts&>(known) = {each.failed, each.answered,
                                       each.cleared};
        known.zone = zone;
        if (changed)
            known.changed = now;
        if (added.failed > 0)
            to.reason = each.reason;
        this->apply(each.endpoint, to, reporter, zone, added, now);
        if (first)
            to.last_failure = now - each.age;
    }
}

std::vector<peers::endpoint_evidence>
shared_health::evidence(peers::beacon_scope scope, instant now) const
{
    std::vector<peers::endpoint_evidence> out;
    for (const auto& named : this->records)
    {
        auto endpoint = named.first;
        const auto& each = named.second;
        auto age = now - each.last_failure;
        auto add =
            [&](const report& of, std::uint64_t reporter, std::uint64_t zone)
        {
            bool any = of.failed + of.answered > 0;
            if (any && now - of.changed < send_time &&
                (age < report_time || each.ejected ||
                 now - each.readmitted_at < report_time))
                out.push_back({endpoint, of.failed, of.answered, of.cleared,
                               each.reason, reporter, zone, age});
        };
        if (scope == peers::beacon_scope::host)
            add(each.own, 0, 0);
        if (scope == peers::beacon_scope::zone ||
            scope == peers::beacon_scope::part)
            add(each.zone_sum, 0, 0);
        if (scope == peers::beacon_scope::fleet ||
            scope == peers::beacon_scope::view)
        {
            add(each.own, 0, 0);
            for (const auto& [reporter, report] : each.reports)
                add(report, reporter, report.zone);
        }
    }
    if (out.size() <= most_reports)
        return out;
    std::stable_sort(out.begin(), out.end(),
                     [](const auto& left, const auto& right)
                     {
                         return left.cleared != right.cleared
                                    ? left.cleared > right.cleared
                                    : left.failed > right.failed;
                     });
    out.resize(most_reports);
    return out;
}

} // namespace amaranthhatch::core::endpoints
