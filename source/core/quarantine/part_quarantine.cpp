#include "core/quarantine/part_quarantine.hpp"

#include <algorithm>

namespace amaranthhatch::core::quarantine
{

namespace
{

// A change is sent for this time, in which it reaches all hosts even if some
// beacons are lost.
constexpr milliseconds send_time{2000};
// The reports of quarantined parts are sent in the first part of each interval,
// which is long enough for a beacon to hosts of each zone.
constexpr milliseconds refresh_interval{500};
constexpr milliseconds refresh_window{120};
// Reports in one beacon, about 400 bytes.
constexpr std::size_t sent_at_once = 8;
// Interval after which a beacon holds the next reports, where there are more.
constexpr milliseconds rotation_interval{20};
// A report isn't sent in the last part of its time, so that no host that has
// removed it gets it again.
constexpr milliseconds unsent_time{10000};
// Crashes that requests with the same parts seldom share by accident.
constexpr std::size_t several_crashes = 2;
// Time for which reports are kept whose parts are all cleared, as other hosts
// may not have heard it. Those of parts that were quarantined are kept longer,
// as a host that starts may have read them from the store.
constexpr milliseconds cleared_time{15000};

std::uint32_t bit(std::size_t index)
{
    return std::uint32_t{1} << index;
}

std::uint32_t all_bits(std::size_t count)
{
    return bit(count) - 1;
}

bool entirely_cleared(const crash_report& report)
{
    return report.cleared == all_bits(report.parts.size());
}

// Index of an uncleared part; nothing if it is cleared or not in the report.
std::optional<std::size_t> uncleared_index(const crash_report& report,
                                           part_id part)
{
    for (std::size_t index = 0; index < report.parts.size(); index++)
        if (report.parts[index] == part && (report.cleared & bit(index)) == 0)
            return index;
    return std::nullopt;
}

bool contains_all(std::span<const part_id> parts,
                  const part_quarantine::part_set& wanted)
{
    return std::all_of(
        wanted.begin(), wanted.end(),
        [&](part_id each)
        { return std::find(parts.begin(), parts.end(), each) != parts.end(); });
}

// An endpoint that takes a request this long after its crash was reported
// hasn't crashed: connections that the crash broke are known to be broken.
constexpr milliseconds notice_time{200};
// An endpoint that has crashed isn't back within this time; later its
// registration shows that it has started again.
constexpr milliseconds shortest_restart{2000};
// An endpoint that has closed a connection without a crash may go on doing so;
// its reports aren't taken for this time.
constexpr milliseconds unfounded_time{2000};

} // namespace

part_quarantine::part_quarantine(limits bounds) : bounds(bounds) {}

bool part_quarantine::accepts(const crash_report& report) const
{
    if (report.parts.empty() || report.parts.size() > max_tracked_parts ||
        report.age < milliseconds(0) || report.age >= this->bounds.duration ||
        this->unfounded_at.contains(report.endpoint) ||
        this->removed_runs.contains(report.run))
        return false;
    return std::any_of(
        report.parts.begin(), report.parts.end(),
        [&](part_id part)
        {
            auto same = this->uncleared_records(part);
            bool new_endpoint = std::none_of(
                same.begin(), same.end(),
                [&](const record* each)
                { return each->report.endpoint == report.endpoint; });
            if (!uncleared_index(report, part))
                return false;
            bool widens = !same.empty() &&
                          !contains_all(report.parts, common_parts(same));
            return (same.size() < this->bounds.reports_per_part || widens ||
                    (new_endpoint && !this->enough(part)));
        });
}

void part_quarantine::add(crash_report report, instant now)
{
    this->make_room();
    // Marks of parts that don't exist come from a garbled message.
    report.cleared &= all_bits(report.parts.size());
    report.confirmed &= all_bits(report.parts.size());
    if (report.cause == 0)
        report.cause = report.endpoint;
    auto run = report.run;
    auto crashed_at = now - report.age;
    this->times.add(report.endpoint, crashed_at);
    this->records[run] = {std::move(report), crashed_at, now};
}

bool part_quarantine::record_crash(crash_report report, instant now)
{
    if (report.parts.size() > max_tracked_parts)
        report.parts.resize(max_tracked_parts);
    if (this->records.contains(report.run) || !this->accepts(report))
        return false;
    this->add(std::move(report), now);
    this->rebuild();
    return true;
}

template <class Predicate>
bool part_quarantine::clear_crashes(Predicate unfounded, instant now)
{
    bool changed = false;
    for (auto& [run, stored] : this->records)
        if (!entirely_cleared(stored.report) && unfounded(stored))
        {
            stored.report.cleared = all_bits(stored.report.parts.size());
            stored.changed_at = now;
            changed = true;
        }
    if (changed)
        this->rebuild();
    return changed;
}

void part_quarantine::record_alive(std::uint64_t endpoint, instant sent_at,
                                   instant now)
{
    auto unfounded = [&](const record& stored)
    {
        auto after_crash = sent_at - stored.crashed_at;
        return stored.report.endpoint == endpoint &&
               after_crash >= notice_time && after_crash < shortest_restart;
    };
    if (this->clear_crashes(unfounded, now))
        this->unfounded_at[endpoint] = now;
}

void part_quarantine::record_registered(std::uint64_t endpoint,
                                        instant crashed_before, instant now)
{
    this->clear_crashes(
        [&](const record& stored)
        {
            return stored.report.endpoint == endpoint &&
                   stored.crashed_at <= crashed_before;
        },
        now);
}

std::set<std::uint64_t> part_quarantine::reported_endpoints() const
{
    std::set<std::uint64_t> out;
    for (const auto& [run, stored] : this->records)
        if (!entirely_cleared(stored.report))
            out.insert(stored.report.endpoint);
    return out;
}

void part_quarantine::record_answer(std::span<const part_id> parts,
                                    std::uint64_t service, instant now)
{
    if (parts.empty())
        return;
    if (this->records.empty())
        return this->answers.clear();
    this->answers[service]++;
    bool changed = false;
    for (auto part : parts)
    {
        auto found = this->uncleared.find(part);
        if (found == this->uncleared.end())
            continue;
        for (auto run : found->second.runs)
        {
            auto& stored = this->records.at(run);
            // Several of the answered parts can be the same.
            if (auto index = uncleared_index(stored.report, part))
                stored.report.cleared |= bit(*index);
            stored.changed_at = now;
        }
        changed = true;
    }
    if (changed)
        this->rebuild();
}

void part_quarantine::merge(const crash_report& report, instant now)
{
    auto found = this->records.find(report.run);
    if (found == this->records.end())
    {
        if (!this->accepts(report))
            return;
        this->add(report, now);
        return this->rebuild();
    }
    auto& stored = found->second;
    if (stored.report.parts != report.parts || report.age < milliseconds(0))
        return;
    // The age leaves out the time of transit, so the earliest estimate is the
    // closest.
    stored.crashed_at = std::max(std::min(stored.crashed_at, now - report.age),
                                 now - this->bounds.duration);
    this->times.add(report.endpoint, stored.crashed_at);
    auto known = all_bits(report.parts.size());
    auto cleared = stored.report.cleared | (report.cleared & known);
    auto confirmed = stored.report.confirmed | (report.confirmed & known);
    // The sender of an older version, such as a host that was cut off, is told.
    bool sender_behind =
        cleared != report.cleared || confirmed != report.confirmed;
    bool changed = cleared != stored.report.cleared ||
                   confirmed != stored.report.confirmed;
    if (changed || sender_behind)
        stored.changed_at = now;
    if (!changed)
        return;
    stored.report.cleared = cleared;
    stored.report.confirmed = confirmed;
    this->rebuild();
}

void part_quarantine::remember_cleared(const record& removed)
{
    constexpr std::size_t most_remembered = 2048;
    if (entirely_cleared(removed.report) &&
        this->removed_runs.size() < most_remembered)
        this->removed_runs[removed.report.run] =
            removed.crashed_at + this->bounds.duration;
}

// How much a report is needed. A plain request has only its own id, so all
// requests that a crash ends look alike until one of them comes again.
int part_quarantine::need_of(const record& stored) const
{
    enum : int
    {
        cleared,
        single,
        shares_part,
        repeats_request,
        quarantined
    };
    if (entirely_cleared(stored.report))
        return cleared;
    if (stored.report.confirmed != 0)
        return quarantined;
    int need = single;
    for (auto part : stored.report.parts)
        if (uncleared_index(stored.report, part) &&
            this->crashed_endpoints(part) >= several_crashes)
            need = std::max<int>(need, is_request(part) ? repeats_request
                                                        : shares_part);
    return need;
}

// Removes the report that is least needed, the oldest first.
void part_quarantine::make_room()
{
    if (this->records.size() < this->bounds.reports)
        return;
    auto rank = [this](const record& each)
    { return std::pair(this->need_of(each), each.crashed_at); };
    auto least =
        std::min_element(this->records.begin(), this->records.end(),
                         [&](const auto& left, const auto& right)
                         { return rank(left.second) < rank(right.second); });
    this->remember_cleared(least->second);
    this->records.erase(least);
}

void part_quarantine::index_parts()
{
    this->uncleared.clear();
    std::map<part_id, std::set<std::uint64_t>> endpoints;
    std::map<part_id, std::set<std::uint64_t>> causes;
    for (const auto& [run, stored] : this->records)
        for (std::size_t at = 0; at < stored.report.parts.size(); at++)
        {
            if ((stored.report.cleared & bit(at)) != 0)
                continue;
            auto part = stored.report.parts[at];
            this->uncleared[part].runs.push_back(run);
            endpoints[part].insert(stored.report.endpoint);
            causes[part].insert(stored.report.cause);
        }
    for (const auto& [part, crashed] : endpoints)
    {
        this->uncleared[part].endpoints = crashed.size();
        this->uncleared[part].weight = this->weigh(crashed, causes[part]);
    }
}

std::vector<const part_quarantine::record*>
part_quarantine::uncleared_records(part_id part) const
{
    std::vector<const record*> out;
    auto found = this->uncleared.find(part);
    if (found == this->uncleared.end())
        return out;
    for (auto run : found->second.runs)
        out.push_back(&this->records.at(run));
    return out;
}

std::size_t part_quarantine::crashed_endpoints(part_id part) const
{
    auto found = this->uncleared.find(part);
    return found == this->uncleared.end() ? 0 : found->second.endpoints;
}

bool part_quarantine::enough(part_id part) const
{
    auto found = this->uncleared.find(part);
    return found != this->uncleared.end() &&
           found->second.weight >= static_cast<double>(this->bounds.crashes);
}

// A mark may have outlived the crashes that it was given for.
bool part_quarantine::confirmed(part_id part) const
{
    std::set<std::uint64_t> endpoints;
    for (const auto* stored : this->uncleared_records(part))
    {
        auto index = uncleared_index(stored->report, part);
        if ((stored->report.confirmed & bit(*index)) != 0)
            endpoints.insert(stored->report.endpoint);
    }
    return endpoints.size() >= this->bounds.crashes;
}

void part_quarantine::confirm(part_id part, instant now)
{
    for (auto& [run, stored] : this->records)
        if (auto index = uncleared_index(stored.report, part))
        {
            stored.report.confirmed |= bit(*index);
            stored.changed_at = now;
        }
}

part_quarantine::part_set
part_quarantine::common_parts(std::span<const record* const> records)
{
    part_set common;
    for (auto part : records.front()->report.parts)
        if (std::all_of(
                records.begin(), records.end(),
                [part](const record* each)
                { return uncleared_index(each->report, part).has_value(); }))
            common.insert(part);
    return common;
}

bool part_quarantine::explanation::one_request() const
{
    return std::any_of(this->common.begin(), this->common.end(), is_request);
}

bool part_quarantine::explanation::matches_fewer_than(
    const explanation& other) const
{
    if (this->one_request() != other.one_request())
        return this->one_request();
    if (this->one_request())
        return this->endpoints.size() > other.endpoints.size();
    return this->common.size() > other.common.size();
}

bool part_quarantine::explained_crashes::cover(const explanation& each) const
{
    auto within = [&](const std::set<std::uint64_t>& crashes)
    {
        return std::includes(crashes.begin(), crashes.end(),
                             each.endpoints.begin(), each.endpoints.end());
    };
    if (within(this->by_parts))
        return true;
    // Several requests that have a part in common are less likely to be deadly
    // by themselves than that part.
    constexpr std::ptrdiff_t several_requests = 2;
    auto sharing = std::count_if(
        this->requests.begin(), this->requests.end(),
        [&](const part_set& common)
        {
            return std::includes(common.begin(), common.end(),
                                 each.common.begin(), each.common.end());
        });
    if (sharing >= several_requests)
        return false;
    auto both = this->by_requests;
    both.insert(this->by_parts.begin(), this->by_parts.end());
    return within(both);
}

// Explanations of several crashes, those that fewest requests match first.
std::vector<part_quarantine::explanation> part_quarantine::explanations() const
{
    std::map<part_set, explanation> by_parts;
    for (const auto& [part, reports] : this->uncleared)
    {
        if (reports.endpoints < several_crashes)
            continue;
        auto same = this->uncleared_records(part);
        auto common = common_parts(same);
        auto& each = by_parts[common];
        each.common = common;
        for (const auto* stored : same)
        {
            each.endpoints.insert(stored->report.endpoint);
            each.causes.insert(stored->report.cause);
        }
    }
    std::vector<explanation> out;
    for (auto& [common, each] : by_parts)
        out.push_back(std::move(each));
    std::stable_sort(out.begin(), out.end(),
                     [](const explanation& left, const explanation& right)
                     { return left.matches_fewer_than(right); });
    return out;
}

std::uint64_t part_quarantine::answers_beside(part_id part) const
{
    std::set<std::uint64_t> services;
    for (const auto* stored : this->uncleared_records(part))
        services.insert(stored->report.service);
    std::uint64_t sum = 0;
    for (auto service : services)
        if (auto found = this->answers.find(service);
            found != this->answers.end())
            sum += found->second;
    return sum;
}

// Crashes that one host noticed at once may be its own connections' fault.
double part_quarantine::weigh(const std::set<std::uint64_t>& endpoints,
                              const std::set<std::uint64_t>& causes) const
{
    return std::min(this->times.weight(endpoints),
                    static_cast<double>(causes.size()));
}

// Takes the explanations that fewest requests match first. Each explains its
// crashes for those after it: a part that many requests share is then suspected
// only for the crashes that are left, and later.
void part_quarantine::rebuild()
{
    this->index_parts();
    this->blocked.clear();
    this->suspected.clear();
    this->repeated_causes.clear();
    explained_crashes explained;
    for (const auto& each : this->explanations())
    {
        auto unexplained = static_cast<std::size_t>(
            std::count_if(each.endpoints.begin(), each.endpoints.end(),
                          [&](std::uint64_t endpoint)
                          { return !explained.any.contains(endpoint); }));
        if (explained.cover(each))
            continue;
        bool enough = this->weigh(each.endpoints, each.causes) >=
                      static_cast<double>(this->bounds.crashes);
        bool partly_explained = unexplained < each.endpoints.size() &&
                                unexplained < this->bounds.crashes;
        if (!partly_explained && unexplained >= several_crashes)
        {
            this->repeated_causes.push_back(each.common);
            // Callers repeat requests that fail, so two crashes under the same
            // request leave its parts suspected.
            if (enough || !each.one_request())
                explained.any.insert(each.endpoints.begin(),
                                     each.endpoints.end());
        }
        if (!enough)
            continue;
        auto& covered =
            each.one_request() ? explained.by_requests : explained.by_parts;
        covered.insert(each.endpoints.begin(), each.endpoints.end());
        if (each.one_request())
            explained.requests.push_back(each.common);
        this->suspect(each, partly_explained);
    }
}

void part_quarantine::suspect(const explanation& each, bool partly_explained)
{
    for (auto part : each.common)
    {
        // The id of the request stands for all that its repeats have in common.
        if (each.one_request() && !is_request(part))
            continue;
        // A part of more requests has an explanation of its own.
        if (common_parts(this->uncleared_records(part)) != each.common)
            continue;
        this->suspected[part] = partly_explained;
        if (this->confirmed(part))
            this->blocked[part] = each.common;
    }
}

void part_quarantine::update(instant now)
{
    std::erase_if(this->unfounded_at, [now](const auto& each)
                  { return now - each.second >= unfounded_time; });
    std::erase_if(this->removed_runs,
                  [now](const auto& each) { return now >= each.second; });
    this->times.remove_before(now - this->bounds.duration);
    auto removed =
        std::erase_if(this->records,
                      [&](const auto& each)
                      {
                          const auto& stored = each.second;
                          bool needed = !entirely_cleared(stored.report) ||
                                        stored.report.confirmed != 0;
                          auto kept =
                              needed ? this->bounds.duration : cleared_time;
                          bool due = now - stored.crashed_at >= kept;
                          if (due)
                              this->remember_cleared(stored);
                          return due;
                      });
    if (removed > 0)
        this->rebuild();
    std::erase_if(this->candidates, [&](const auto& each)
                  { return !this->suspected.contains(each.first); });
    bool confirmed_some = false;
    for (auto [part, partly_explained] : this->suspected)
    {
        const auto& found =
            this->candidates
                .try_emplace(part, candidate{now, this->answers_beside(part)})
                .first->second;
        auto delay = partly_explained ? this->bounds.partly_explained_delay
                                      : this->bounds.confirmation_delay;
        auto needed = partly_explained ? this->bounds.partly_explained_answers
                                       : this->bounds.other_answers;
        bool settled =
            now - found.since >= delay &&
            this->answers_beside(part) >= found.answers_before + needed;
        if (settled && !this->confirmed(part))
        {
            this->confirm(part, now);
            confirmed_some = true;
        }
    }
    if (confirmed_some)
        this->rebuild();
}

bool part_quarantine::suspects(std::span<const part_id> parts) const
{
    return std::any_of(
        this->repeated_causes.begin(), this->repeated_causes.end(),
        [&](const part_set& common) { return contains_all(parts, common); });
}

std::optional<milliseconds>
part_quarantine::blocked_for(std::span<const part_id> parts, instant now) const
{
    for (const auto& [part, common] : this->blocked)
        if (contains_all(parts, common))
            return this->time_left(part, now);
    return std::nullopt;
}

std::vector<part_id>
part_quarantine::blocking(std::span<const part_id> parts) const
{
    std::vector<part_id> out;
    std::set<part_set> seen;
    for (const auto& [part, common] : this->blocked)
        if (contains_all(parts, common) && seen.insert(common).second)
            out.push_back(part);
    return out;
}

milliseconds part_quarantine::time_left(part_id part, instant now) const
{
    auto left = milliseconds(0);
    for (const auto* stored : this->uncleared_records(part))
        left = std::max(left, stored->crashed_at + this->bounds.duration - now);
    return left;
}

crash_report part_quarantine::with_age(const record& stored, instant now) const
{
    auto report = stored.report;
    report.age = now - stored.crashed_at;
    return report;
}

std::vector<crash_report> part_quarantine::reports_to_send(instant now) const
{
    bool refresh = now % refresh_interval < refresh_window;
    std::vector<const record*> due;
    for (const auto& [run, stored] : this->records)
    {
        bool changed = now - stored.changed_at < send_time;
        bool quarantines =
            stored.report.confirmed != 0 && !entirely_cleared(stored.report);
        bool young =
            now - stored.crashed_at < this->bounds.duration - unsent_time;
        if (young && (changed || (refresh && quarantines)))
            due.push_back(&stored);
    }
    std::vector<crash_report> out;
    auto count = std::min(due.size(), sent_at_once);
    auto turn = static_cast<std::size_t>(now / rotation_interval);
    for (std::size_t index = 0; index < count; index++)
        out.push_back(this->with_age(
            *due[(turn * sent_at_once + index) % due.size()], now));
    return out;
}

std::vector<crash_report> part_quarantine::reports_of(part_id part,
                                                      instant now) const
{
    std::vector<crash_report> out;
    for (const auto* stored : this->uncleared_records(part))
        out.push_back(this->with_age(*stored, now));
    return out;
}

} // namespace amaranthhatch::core::quarantine
