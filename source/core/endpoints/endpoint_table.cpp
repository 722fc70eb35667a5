#include "core/endpoints/endpoint_table.hpp"

#include <algorithm>
#include <cmath>

#include "core/hash.hpp"

namespace amaranthhatch::core::endpoints
{

namespace
{

// An endpoint with running requests that sends nothing for this long is treated
// as unresponsive; streams normally send an event every few tens of
// milliseconds.
constexpr milliseconds unresponsive_limit{250};
// Time for which an endpoint isn't chosen after a failure. It doubles with each
// further failure up to last_exclusion. The first value is about one round trip
// to the other region plus the processing of a prompt.
constexpr milliseconds first_exclusion{200};
constexpr milliseconds last_exclusion{3200};
// Failures that are further apart don't count as consecutive.
constexpr milliseconds failure_memory{4000};
// Assumed slot time of a request before any request of the service has ended.
constexpr double initial_slot_time_ms = 700;
// Weight of the newest request in the mean slot time; the last twenty requests
// contribute about two thirds.
constexpr double slot_time_weight = 0.05;
// Base costs of a choice that preempts batch work or that queues. They differ
// by more than the largest cost of distance, so a free slot is always preferred
// to preemption, and preemption to queueing.
constexpr double preempt_cost = 10;
constexpr double queue_cost = 20;
constexpr double per_queued_cost = 4;
// Cost per step of distance. An endpoint in the other region (three steps) is
// preferred to one in the own zone that has two more queued requests.
constexpr double distance_cost = 1.5;
// Slots are drawn among the nearer endpoints while more than this share of
// their slots is free. In the age of a view, some 150 ms, a crest of requests
// uses about that many.
constexpr double least_free_share = 0.1;
// Endpoints that have said that they leave and are remembered: four times those
// of the largest fleet, as each may be replaced a few times before the store
// names the new ones. A mark takes some 150 bytes.
constexpr std::size_t leaving_limit = 4096;

} // namespace

std::uint64_t load_key(std::string_view endpoint)
{
    constexpr std::uint64_t mask = 0xffffffff;
    return hash(endpoint) & mask;
}

endpoint_table::endpoint_table(
    std::string own_zone, std::map<std::string, std::string> region_of_zone,
    const peers::peer_table& peer_hosts)
    : fleet_health(peer_hosts.name(), peer_hosts.incarnation(), own_zone),
      own_zone(std::move(own_zone)), region_of_zone(std::move(region_of_zone)),
      peer_hosts(peer_hosts), leaving(leaving_limit)
{
}

void endpoint_table::replace(std::vector<endpoint> listed)
{
    for (auto& [id, record] : this->records)
        record.listed = false;
    this->zones_by_hash.clear();
    std::map<std::uint64_t, std::string> services;
    for (auto& info : listed)
    {
        auto& record = this->records[info.id];
        record.id_hash = load_key(info.id);
        record.health_key = shared_health::key(info.id, info.started_ms);
        services[record.health_key] = info.service;
        record.listed = true;
        record.info = std::move(info);
        this->zones_by_hash[record.id_hash] = record.info.zone;
        this->update_leaving(record);
    }
    std::erase_if(
        this->records, [](const auto& record)
        { return !record.second.listed && record.second.runs.empty(); });
    this->fleet_health.set_listed(std::move(services));
}

void endpoint_table::update_leaving(endpoint_record& record) const
{
    record.leaving = this->leaving.covers(
        record.info.id, {record.info.started_ms, record.info.address});
}

const endpoint* endpoint_table::find(std::string_view id) const
{
    auto found = this->records.find(id);
    return found == this->records.end() ? nullptr : &found->second.info;
}

int endpoint_table::distance(const endpoint_record& record) const
{
    if (record.info.zone == this->own_zone)
        return 0;
    auto own_region = this->region_of_zone.find(this->own_zone);
    auto other_region = this->region_of_zone.find(record.info.zone);
    bool same_region = own_region != this->region_of_zone.end() &&
                       other_region != this->region_of_zone.end() &&
                       own_region->second == other_region->second;
    return same_region ? 1 : 3;
}

bool endpoint_table::is_unresponsive(const endpoint_record& record,
                                     instant now) const
{
    if (record.runs.empty())
        return false;
    instant oldest = record.runs.begin()->second.started;
    instant waited_from = std::max(oldest, record.last_progress);
    auto queued = record.online + record.batch > record.info.slots;
    // A request in the endpoint's queue receives nothing while it waits, but
    // the requests that hold the slots do.
    return now - waited_from > unresponsive_limit * (queued ? 2 : 1);
}

bool endpoint_table::is_available(const endpoint_record& record,
                                  std::string_view service, instant now) const
{
    return record.listed && !record.info.draining && !record.leaving &&
           record.info.service == service && now >= record.excluded_until &&
           !this->is_unresponsive(record, now);
}

std::vector<endpoint_table::candidate>
endpoint_table::all_candidates(std::string_view service,
                               std::span<const std::string> excluded,
                               instant now) const
{
    std::vector<candidate> out;
    for (const auto& [id, record] : this->records)
    {
        if (!this->is_available(record, service, now) ||
            std::find(excluded.begin(), excluded.end(), id) != excluded.end())
            continue;
        auto peer_load = this->peer_hosts.load(record.id_hash);
        double online = record.online + peer_load.online;
        double batch = record.batch + peer_load.batch;
        out.push_back(
            {&record, online, online + batch, this->distance(record)});
    }
    return out;
}

// Draws one of the slots that aren't in use, each with the same chance. Takes
// the nearest endpoints only, as long as a share of their slots is free that
// the requests of a view's age don't use up.
const endpoint_table::candidate*
endpoint_table::draw(std::span<const candidate> from, double candidate::*used,
                     double uniform)
{
    auto free_of = [&](const candidate& each)
    { return std::max(0.0, each.record->info.slots - each.*used); };
    for (int reach : {0, 1, 3})
    {
        double free = 0;
        double slots = 0;
        for (const auto& each : from)
        {
            bool near = each.distance <= reach;
            free += near ? free_of(each) : 0;
            slots += near ? each.record->info.slots : 0;
        }
        bool enough = reach == 3 ? free > 0 : free > slots * least_free_share;
        if (!enough)
            continue;
        double position = uniform * free;
        const candidate* last = nullptr;
        for (const auto& each : from)
        {
            if (each.distance > reach || free_of(each) <= 0)
                continue;
            last = &each;
            position -= free_of(each);
            if (position < 0)
                break;
        }
        return last;
    }
    return nullptr;
}

const endpoint_table::candidate*
endpoint_table::best(std::span<const candidate> from, double uniform) const
{
    const candidate* best = nullptr;
    double best_cost = 0;
    std::uint64_t salt = static_cast<std::uint64_t>(uniform * 4294967296.0);
    double jitter = this->peer_hosts.follows_lead() ? per_queued_cost : 0.1;
    for (const auto& each : from)
    {
        double slots = each.record->info.slots;
        double cost = distance_cost * each.distance;
        if (each.total < slots)
            cost += each.total / slots;
        else if (each.online < slots)
            cost += preempt_cost + each.online / slots;
        else
            cost += queue_cost + per_queued_cost * (each.online - slots);
        // Ties are broken at random, so that hosts choose different endpoints.
        cost += jitter *
                static_cast<double>((each.record->id_hash ^ salt) % 101) / 100;
        if (best != nullptr && cost >= best_cost)
            continue;
        best_cost = cost;
        best = &each;
    }
    return best;
}

choice endpoint_table::choice_of(const candidate* chosen,
                                 std::string_view service) const
{
    if (chosen == nullptr)
        return {};
    double slots = chosen->record->info.slots;
    double waiting = std::max(0.0, chosen->online - slots + 1);
    return {&chosen->record->info,
            milliseconds(static_cast<std::int64_t>(
                waiting * this->mean_slot_time(service).count() / slots)),
            chosen->total >= slots && chosen->online < slots};
}

// Own slots come first while a share of them is free that the requests of a
// view's age don't use up; what is left then is drawn together with the free
// slots of the nearest other zones.
const endpoint_table::candidate*
endpoint_table::draw_any(std::span<const candidate> from,
                         const remote_part& remote, double uniform)
{
    double free = 0;
    double slots = 0;
    for (const auto& each : from)
    {
        free += std::max(0.0, each.record->info.slots - each.total);
        slots += each.record->info.slots;
    }
    auto remote_free = remote.capacity.nearest_free_slots();
    if (free > slots * least_free_share || remote_free <= 0)
        return draw(from, &candidate::total, uniform);
    auto own_part = free / (free + remote_free);
    if (uniform < own_part)
        return draw(from, &candidate::total, uniform / own_part);
    return remote.draw((uniform - own_part) / (1 - own_part));
}

choice endpoint_table::choose_online(std::string_view service,
                                     std::span<const std::string> excluded,
                                     instant now, double uniform,
                                     bool repeatable) const
{
    auto from = this->all_candidates(service, excluded, now);
    if (!this->fleet_health.active())
        return this->choose_among(from, service, uniform);
    auto work = repeatable ? shared_health::trial_work::repeatable
                           : shared_health::trial_work::once_only;
    if (const auto* trial = this->find_trial(from, work, now))
        return this->choice_of(trial, service);
    auto sound = this->without_ejected(from);
    if (!repeatable)
    {
        auto chosen = this->choose_unsuspected(sound, service, now, uniform);
        if (chosen.chosen != nullptr)
            return chosen;
    }
    return this->choose_among(sound.empty() ? from : sound, service, uniform);
}

choice endpoint_table::choose_among(std::vector<candidate> from,
                                    std::string_view service,
                                    double uniform) const
{
    auto remote = this->take_remote(from, service, nullptr);
    const candidate* chosen = nullptr;
    if (this->peer_hosts.follows_lead() || !remote.capacity.empty())
    {
        chosen = draw_any(from, remote, uniform);
        if (chosen == nullptr)
            chosen = draw(from, &candidate::online, uniform);
    }
    if (chosen == nullptr)
        chosen = this->best(from.empty() ? remote.candidates : from, uniform);
    return this->choice_of(chosen, service);
}

double endpoint_table::usable_for_batch(const candidate& each,
                                        batch_allowance allowance)
{
    double slots = each.record->info.slots;
    return std::max(
        1.0, std::min(slots - allowance.reserve, slots * allowance.share));
}

double endpoint_table::free_for_batch(std::string_view service,
                                      batch_allowance allowance,
                                      instant now) const
{
    double free = 0;
    auto from = this->without_ejected(this->all_candidates(service, {}, now));
    auto remote = this->take_remote(from, service, &allowance);
    for (const auto& each : from)
        free += std::max(0.0, usable_for_batch(each, allowance) - each.total);
    return free + remote.capacity.free_slots();
}

double endpoint_table::free_online_share(std::string_view service,
                                         instant now) const
{
    double free = 0;
    double slots = 0;
    for (const auto& each :
         this->without_ejected(this->all_candidates(service, {}, now)))
    {
        slots += each.record->info.slots;
        free += std::max(0.0, each.record->info.slots - each.online);
    }
    return slots > 0 ? free / slots : 0;
}

choice endpoint_table::choose_batch(std::string_view service,
                                    batch_allowance allowance, instant now,
                                    double uniform) const
{
    auto from = this->all_candidates(service, {}, now);
    auto item = shared_health::trial_work::batch_item;
    if (const auto* trial = this->find_trial(from, item, now))
        return {&trial->record->info, {}, false};
    from = this->without_ejected(std::move(from));
    auto remote = this->take_remote(from, service, &allowance);
    std::erase_if(from, [&](const candidate& each)
                  { return each.total >= usable_for_batch(each, allowance); });
    const candidate* chosen = nullptr;
    if (this->peer_hosts.follows_lead() || !remote.capacity.empty())
        chosen = draw(from, &candidate::total, uniform);
    if (chosen == nullptr && from.empty())
        chosen = remote.draw(uniform);
    std::uint64_t salt = static_cast<std::uint64_t>(uniform * 4294967296.0);
    double best_cost = 0;
    bool drawn = chosen != nullptr;
    for (const auto& each : from)
    {
        if (drawn)
            break;
        // Prefers endpoints with low load, since busy ones are the first to
        // preempt batch work.
        double cost = each.total / each.record->info.slots +
                      0.2 * each.distance +
                      1e-3 * ((each.record->id_hash ^ salt) % 101);
        if (chosen != nullptr && cost >= best_cost)
            continue;
        best_cost = cost;
        chosen = &each;
    }
    return {chosen == nullptr ? nullptr : &chosen->record->info, {}, false};
}

run_key endpoint_table::begin(std::string_view endpoint, load_kind kind,
                              instant now)
{
    run_key key{std::string(endpoint), this->next_run++};
    auto found = this->records.find(endpoint);
    if (found == this->records.end())
        return key;
    auto& record = found->second;
    record.runs.emplace(
        key.number,
        running_request{
            kind,
            now,
            {record.info.started_ms, record.info.address},
            record.health_key,
            this->fleet_health.record_begin(record.health_key, now)});
    (kind == load_kind::online ? record.online : record.batch)++;
    this->version++;
    return key;
}

void endpoint_table::progress(const run_key& run, instant now)
{
    auto found = this->records.find(run.endpoint);
    if (found != this->records.end())
        found->second.last_progress = now;
}

bool endpoint_table::record_leaving(const run_key& run)
{
    auto found = this->records.find(run.endpoint);
    if (found == this->records.end())
        return false;
    auto& record = found->second;
    auto open_run = record.runs.find(run.number);
    if (open_run == record.runs.end() ||
        !this->leaving.add(run.endpoint, open_run->second.sent_to))
        return false;
    this->update_leaving(record);
    return true;
}

void endpoint_table::end(const run_key& run, run_outcome result, instant now)
{
    auto found = this->records.find(run.endpoint);
    if (found == this->records.end())
        return;
    auto& record = found->second;
    auto open_run = record.runs.find(run.number);
    if (open_run == record.runs.end())
        return;
    auto kind = open_run->second.kind;
    auto slot_time = now - open_run->second.started;
    this->record_health(open_run->second, result, now);
    record.runs.erase(open_run);
    (kind == load_kind::online ? record.online : record.batch)--;
    this->version++;
    if (result == run_outcome::answered || result == run_outcome::error_status)
    {
        record.failures = 0;
        record.last_progress = now;
        if (kind == load_kind::online)
            this->record_slot_time(record.info.service, slot_time);
    }
    else if (result != run_outcome::cancelled)
        this->record_failure(record, result, now);
    if (!record.listed && record.runs.empty())
        this->records.erase(found);
}

void endpoint_table::record_failure(endpoint_record& record, run_outcome result,
                                    instant now)
{
    if (now - record.last_failure > failure_memory)
        record.failures = 0;
    record.last_failure = now;
    record.failures++;
    // A single broken response also happens on healthy endpoints.
    bool broken =
        result == run_outcome::broken || result == run_outcome::abandoned;
    if (broken && record.failures < 2)
        return;
    if (result == run_outcome::replaced)
    {
        record.excluded_until = now + last_exclusion;
        return;
    }
    auto exclusion = first_exclusion * (1 << std::min(record.failures, 5u)) / 2;
    // A full endpoint soon has a free slot again: with eight slots, after about
    // an eighth of a request's time.
    if (result == run_outcome::refused)
        exclusion = first_exclusion / 2;
    record.excluded_until = now + std::min(exclusion, last_exclusion);
}

void endpoint_table::record_slot_time(std::string_view service,
                                      milliseconds slot_time)
{
    auto found = this->mean_slot_time_ms.find(service);
    if (found == this->mean_slot_time_ms.end())
        found = this->mean_slot_time_ms
                    .emplace(std::string(service), initial_slot_time_ms)
                    .first;
    found->second += slot_time_weight *
                     (static_cast<double>(slot_time.count()) - found->second);
}

milliseconds endpoint_table::mean_slot_time(std::string_view service) const
{
    auto found = this->mean_slot_time_ms.find(service);
    double mean = found == this->mean_slot_time_ms.end() ? initial_slot_time_ms
                                                         : found->second;
    return milliseconds(static_cast<std::int64_t>(mean));
}

std::uint32_t endpoint_table::excess(std::string_view endpoint) const
{
    auto found = this->records.find(endpoint);
    if (found == this->records.end())
        return 0;
    const auto& record = found->second;
    auto peer_load = this->peer_hosts.load(record.id_hash);
    // Where only the zone's free slots are known, a batch request gives way
    // when none is left, one at a time.
    auto zone_free =
        this->peer_hosts.free_capacity(record.info.zone, record.info.service);
    if (zone_free)
        return *zone_free == 0 ? std::min(record.batch, 1u) : 0;
    auto total =
        record.online + record.batch + peer_load.online + peer_load.batch;
    return total > record.info.slots ? total - record.info.slots : 0;
}

std::vector<peers::endpoint_load> endpoint_table::own_loads() const
{
    std::vector<peers::endpoint_load> loads;
    for (const auto& [id, record] : this->records)
        if (record.online + record.batch > 0)
            loads.push_back({record.id_hash, record.online, record.batch});
    return loads;
}

std::uint32_t endpoint_table::usable(std::string_view service,
                                     instant now) const
{
    return static_cast<std::uint32_t>(std::count_if(
        this->records.begin(), this->records.end(),
        [&](const auto& record)
        {
            return this->is_available(record.second, service, now) &&
                   !this->fleet_health.is_ejected(record.second.health_key);
        }));
}

} // namespace amaranthhatch::core::endpoints
