#include "core/endpoints/shared_health.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/endpoints/report_time.hpp"
#include "core/hash.hpp"

namespace amaranthhatch::core::endpoints
{

namespace
{

// What an answer subtracts from a score. Sound endpoints fail up to 5% of their
// runs, so their scores fall; those that fail 30% rise.
constexpr double answer_weight = 0.3;
// Scores at which an endpoint is ejected: after three failures without an
// answer, or after four where this host's runs fail often at all endpoints.
constexpr double usual_threshold = 2.6;
constexpr double high_threshold = 3.5;
constexpr double high_base_rate = 0.015;
// Scores from which requests that may run once only go elsewhere: one failure
// without an answer, and two.
constexpr double suspicion_threshold = 0.8;
constexpr double strong_suspicion_threshold = 1.6;
constexpr double score_half_life_ms = 4000;
// Failures in sequence of one other host that count, so that a host with a
// fault of its own ejects no endpoint for others.
constexpr std::uint32_t counted_in_sequence = 2;
// Answers of the own zone that outweigh failures that other zones see.
constexpr std::uint32_t clean_answers = 2;
constexpr milliseconds clean_time{4000};
constexpr milliseconds first_pause{400};
constexpr milliseconds last_pause{3200};
constexpr std::uint32_t most_needed = 3;
// Answers to hosts that haven't ejected the endpoint, without a failure, that
// readmit it here without a trial. As many run at an endpoint at once.
constexpr std::uint32_t readmitting_answers = 8;
// Requests may run as trials this much later than items of batch jobs.
constexpr milliseconds repeatable_delay{200};
constexpr milliseconds once_only_delay{5000};
// In each slot of time other hosts may send a trial. It is longer than the time
// in which most hosts learn that a trial runs.
constexpr milliseconds trial_slot{150};
constexpr std::size_t hosts_per_slot = 2;
// Each time that this many slots have passed without an answered trial, more
// hosts may send one.
constexpr std::size_t slots_per_step = 5;
// Where only the own zone's hosts may readmit an endpoint, each of them may
// send a trial as often as this many hosts.
constexpr std::size_t usual_zones = 6;
// From this time on a trial doesn't wait for the runs that the endpoint holds,
// as they may hang until their deadlines.
constexpr milliseconds longest_load_wait{1000};
// Share of a service's endpoints that may be ejected. Where more than half of
// them fail, the cause is elsewhere and none is.
constexpr std::size_t ejected_part = 3;
constexpr std::size_t outage_part = 2;
// The assumed base rate of failures weighs as much as this many runs.
constexpr double initial_runs = 30;
constexpr double initial_rate = 0.01;
constexpr double base_half_life_ms = 15000;

constexpr std::uint64_t key_mask = 0xffffffff;

double halved(double value, milliseconds elapsed, double half_life_ms)
{
    return value *
           std::exp2(-static_cast<double>(elapsed.count()) / half_life_ms);
}

std::uint64_t short_hash(std::string_view text, std::uint64_t seed = 0)
{
    return hash(text, seed) & key_mask;
}

} // namespace

double shared_health::score::at(instant now) const
{
    return halved(this->value, now - this->changed, score_half_life_ms);
}

void shared_health::score::fail(instant now)
{
    this->value = this->at(now) + 1;
    this->changed = now;
    this->answers_since_failure = 0;
}

void shared_health::score::answer(instant now, std::uint32_t count)
{
    this->value = std::max(0.0, this->at(now) - answer_weight * count);
    this->changed = now;
    this->last_answer = now;
    this->answers_since_failure += count;
}

shared_health::shared_health(std::string_view own_name,
                             std::uint64_t incarnation,
                             std::string_view own_zone)
    : own_reporter(reporter_key(own_name, incarnation)),
      own_zone(zone_key(own_zone)), base_failed(initial_runs * initial_rate),
      base_runs(initial_runs)
{
}

std::uint64_t shared_health::reporter_key(std::string_view name,
                                          std::uint64_t incarnation)
{
    return short_hash(name, incarnation);
}

std::uint64_t shared_health::zone_key(std::string_view zone)
{
    return short_hash(zone);
}

std::uint64_t shared_health::key(std::string_view id, std::int64_t started_ms)
{
    return short_hash(id, static_cast<std::uint64_t>(started_ms));
}

void shared_health::set_listed(std::map<std::uint64_t, std::string> listed)
{
    this->services = std::move(listed);
    this->service_sizes.clear();
    for (const auto& [endpoint, service] : this->services)
        this->service_sizes[service]++;
}

shared_health::record& shared_health::begin_record(std::uint64_t endpoint,
                                                   instant now)
{
    auto [found, added] = this->records.try_emplace(endpoint);
    if (added)
        found->second.last_failure = now;
    return found->second;
}

void shared_health::count_own(bool failed, double score_before, instant now)
{
    auto elapsed = now - this->base_changed;
    auto keep = [&](double value, double initial)
    { return initial + halved(value - initial, elapsed, base_half_life_ms); };
    this->base_failed = keep(this->base_failed, initial_runs * initial_rate);
    this->base_runs = keep(this->base_runs, initial_runs) + 1;
    // Further failures of one endpoint say nothing of the others.
    if (failed && score_before < suspicion_threshold)
        this->base_failed++;
    this->base_changed = now;
}

double shared_health::threshold() const
{
    return this->base_failed > high_base_rate * this->base_runs
               ? high_threshold
               : usual_threshold;
}

void shared_health::record_answer(std::uint64_t endpoint, bool trial,
                                  instant started, instant now)
{
    this->count_own(false, 0, now);
    auto found = this->records.find(endpoint);
    if (found == this->records.end())
        return;
    auto& to = found->second;
    to.own.answered++;
    // Runs after the readmission tell the hosts that missed the trial.
    bool clears = trial || (started >= to.readmitted_at &&
                            now - to.readmitted_at < report_time);
    to.own.cleared += clears ? 1 : 0;
    to.own.changed = now;
    this->apply(endpoint, to, this->own_reporter, this->own_zone,
                {0, 1, clears ? 1u : 0u}, now);
}

void shared_health::record_failure(std::uint64_t endpoint,
                                   peers::failure_kind reason, instant now)
{
    auto& to = this->begin_record(endpoint, now);
    this->count_own(true, to.total.at(now), now);
    to.reason = reason;
    to.own.failed++;
    to.own.changed = now;
    this->apply(endpoint, to, this->own_reporter, this->own_zone, {1, 0, 0},
                now);
}

bool shared_health::record_begin(std::uint64_t endpoint, instant now)
{
    auto found = this->records.find(endpoint);
    if (found == this->records.end() || !found->second.ejected)
        return false;
    found->second.own_trial_at = now;
    if (!found->second.overruled)
        this->changes.push_back(this->describe(
            endpoint, found->second, health_change::kind::on_trial, now));
    return true;
}

void shared_health::record_missed_trial(std::uint64_t endpoint, instant now)
{
    auto found = this->records.find(endpoint);
    if (found != this->records.end() && found->second.ejected)
        this->fail_trial(found->second, now);
}

void shared_health::apply(std::uint64_t endpoint, record& to,
                          std::uint64_t reporter, std::uint64_t zone,
                          counts added, instant now)
{
    auto& zone_score = to.zones[zone];
    std::uint32_t counted = 0;
    for (std::uint32_t index = 0; index < added.failed; index++)
    {
        bool same = reporter == to.last_reporter;
        to.same_reporter = same ? to.same_reporter + 1 : 1;
        to.last_reporter = reporter;
        // Sums of zones were limited by the hosts that made them.
        bool limited = reporter != this->own_reporter && reporter != zone;
        if (limited && to.same_reporter > counted_in_sequence)
            continue;
        counted++;
        to.total.fail(now);
        zone_score.fail(now);
    }
    if (added.answered > 0)
    {
        to.total.answer(now, added.answered);
        zone_score.answer(now, added.answered);
    }
    if (zone == this->own_zone)
    {
        // An own failure that others wouldn't count isn't passed on either.
        bool own_excess = reporter == this->own_reporter &&
                          to.same_reporter > counted_in_sequence;
        to.zone_sum.failed += own_excess ? 0 : counted;
        to.zone_sum.answered += added.answered;
        to.zone_sum.cleared += added.cleared;
        to.zone_sum.changed = now;
    }
    if (counted > 0)
        to.last_failure = now;
    if (!to.ejected)
        return;
    if (added.failed > 0)
        this->fail_trial(to, now);
    // A trial of another zone says nothing where only the own one is cut off.
    bool of_use = zone == this->own_zone || !to.zone_only;
    to.successes += of_use ? added.cleared : 0;
    if (added.failed > 0)
        to.answers = 0;
    else if (of_use && now >= to.trial_at)
        to.answers += added.answered;
    if (of_use && added.cleared > 0)
        to.trial_at = now;
    if (to.successes >= to.needed || to.answers >= readmitting_answers)
        this->readmit(endpoint, to, now);
}

void shared_health::fail_trial(record& to, instant now) const
{
    // Runs that began before the ejection fail until then.
    if (now < to.trial_at)
        return;
    to.successes = 0;
    to.pause = std::min(2 * to.pause, last_pause);
    to.trial_at = now + to.pause;
}

void shared_health::readmit(std::uint64_t endpoint, record& to, instant now)
{
    this->changes.push_back(
        this->describe(endpoint, to, health_change::kind::readmitted, now));
    to.ejected = false;
    to.readmitted_at = now;
    to.total = {};
    to.zones.clear();
}

void shared_health::eject(std::uint64_t endpoint, record& to, instant now)
{
    to.ejected = true;
    to.ejected_at = now;
    to.ejections++;
    to.successes = 0;
    to.answers = 0;
    to.needed = std::min(to.ejections, most_needed);
    to.pause =
        to.ejections == 1 ? first_pause : std::min(2 * to.pause, last_pause);
    to.trial_at = now + to.pause;
    auto change =
        this->describe(endpoint, to, health_change::kind::ejected, now);
    to.zone_only = change.zone_only;
    this->changes.push_back(std::move(change));
}

health_change shared_health::describe(std::uint64_t endpoint, const record& of,
                                      health_change::kind what,
                                      instant now) const
{
    health_change change;
    change.what = what;
    change.endpoint = endpoint;
    change.reason = of.reason;
    change.failed = of.own.failed;
    change.answered = of.own.answered;
    bool zone_only = true;
    if (of.own.failed > 0)
        change.reporters.push_back(this->own_reporter);
    for (const auto& [reporter, each] : of.reports)
    {
        change.failed += each.failed;
        change.answered += each.answered;
        if (each.failed == 0)
            continue;
        change.reporters.push_back(reporter);
        zone_only = zone_only && each.zone == this->own_zone;
    }
    change.zone_only = zone_only;
    change.age = now - of.last_failure;
    change.pause = std::max(milliseconds(0), of.trial_at - now);
    return change;
}

bool shared_health::qualifies(const record& of, instant now) const
{
    auto limit = this->threshold();
    auto own = of.zones.find(this->own_zone);
    if (own == of.zones.end())
        return of.total.at(now) >= limit;
    bool clean = own->second.answers_since_failure >= clean_answers &&
                 now - own->second.last_answer < clean_time;
    return own->second.at(now) >= limit ||
           (!clean && of.total.at(now) >= limit);
}

void shared_health::update(instant now)
{
    if (this->records.empty())
        return;
    std::erase_if(this->records,
                  [&](const auto& named)
                  {
                      const auto& [endpoint, each] = named;
                      bool listed = this->services.contains(endpoint);
                      return now - each.last_failure > record_time &&
                             now - each.readmitted_at > record_time &&
                             (!each.ejected || !listed);
                  });
    std::map<std::string_view, std::size_t> failing;
    std::map<std::string_view, std::size_t> ejected;
    for (const auto& [endpoint, each] : this->records)
    {
        auto service = this->services.find(endpoint);
        if (service == this->services.end())
            continue;
        bool fails = each.ejected || this->qualifies(each, now);
        failing[service->second] += fails ? 1 : 0;
        ejected[service->second] += each.ejected ? 1 : 0;
    }
    for (auto& [endpoint, each] : this->records)
    {
        auto service = this->services.find(endpoint);
        if (service == this->services.end())
            continue;
        auto size = this->service_sizes[service->second];
        auto most =
            size < 2 ? 0 : std::max<std::size_t>(1, size / ejected_part);
        each.overruled = failing[service->second] * outage_part > size;
        auto& count = ejected[service->second];
        if (each.ejected || each.overruled || count >= most ||
            !this->qualifies(each, now))
            continue;
        this->eject(endpoint, each, now);
        count++;
    }
}

bool shared_health::is_ejected(std::uint64_t endpoint) const
{
    auto found = this->records.find(endpoint);
    return found != this->records.end() && found->second.ejected &&
           !found->second.overruled;
}

bool shared_health::scores(std::uint64_t endpoint, double least,
                           instant now) const
{
    auto found = this->records.find(endpoint);
    if (found == this->records.end())
        return false;
    const auto& each = found->second;
    auto own = each.zones.find(this->own_zone);
    return each.ejected || each.total.at(now) >= least ||
           (own != each.zones.end() && own->second.at(now) >= least);
}

bool shared_health::is_suspected(std::uint64_t endpoint, instant now) const
{
    return this->scores(endpoint, suspicion_threshold, now);
}

bool shared_health::is_strongly_suspected(std::uint64_t endpoint,
                                          instant now) const
{
    return this->scores(endpoint, strong_suspicion_threshold, now);
}

bool shared_health::may_try(std::uint64_t endpoint, trial_work work,
                            double load, std::size_t hosts, instant now) const
{
    auto found = this->records.find(endpoint);
    if (found == this->records.end() || !found->second.ejected ||
        found->second.overruled)
        return false;
    const auto& each = found->second;
    // The load doesn't bound an overdue trial, so that one pass over waiting
    // items would send all of them to the endpoint.
    if (now < each.own_trial_at + longest_load_wait)
        return false;
    auto from = each.trial_at;
    if (work != trial_work::batch_item)
        from +=
            work == trial_work::repeatable ? repeatable_delay : once_only_delay;
    if (now < from || (load > 0 && now < each.trial_at + longest_load_wait))
        return false;
    auto slot = static_cast<std::uint64_t>(now / trial_slot);
    auto overdue = static_cast<std::size_t>((now - from) / trial_slot);
    auto slots = 1 + overdue / slots_per_step;
    auto share = hosts_per_slot * slots * (each.zone_only ? usual_zones : 1);
    auto among = std::max<std::size_t>(1, hosts / share);
    return hash(std::to_string(this->own_reporter), endpoint ^ (slot << 32)) %
               among ==
           0;
}

std::size_t shared_health::ejected_count() const
{
    return static_cast<std::size_t>(std::count_if(
        this->records.begin(), this->records.end(),
        [this](const auto& named) { return this->is_ejected(named.first); }));
}

std::size_t shared_health::suspected_count(instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(this->records.begin(), this->records.end(),
                      [&](const auto& named)
                      {
                          return !this->is_ejected(named.first) &&
                                 this->is_strongly_suspected(named.first, now);
                      }));
}

std::vector<health_change> shared_health::take_changes()
{
    return std::exchange(this->changes, {});
}

} // namespace amaranthhatch::core::endpoints
