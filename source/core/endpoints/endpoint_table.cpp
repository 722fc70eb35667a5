#include "core/endpoints/endpoint_table.hpp"

#include <algorithm>
#include <cmath>

#include "core/hash.hpp"

namespace amaranthhatch::core::endpoints
{

namespace
{

// An endpoint with running requests that sends nothing for this long is
// silent: streams bring events every few ten milliseconds.
constexpr milliseconds silence_limit{250};
// First exclusion after failures; doubles up to the last with each failure.
// The first is about one round trip to the far region and a prompt's read.
constexpr milliseconds first_exclusion{200};
constexpr milliseconds last_exclusion{3200};
// Failures that lie further apart don't add up.
constexpr milliseconds failure_memory{4000};
// Before any request has ended, a slot is assumed to be held this long.
constexpr double initial_hold_ms = 700;
// Weight of the newest request in the mean time a slot is held: the last
// twenty requests make two thirds of it.
constexpr double hold_weight = 0.05;
// Cost classes of a choice; what is between them keeps them apart.
constexpr double displace_cost = 10;
constexpr double queue_cost = 20;
constexpr double per_queued_cost = 4;
// Two requests already queued weigh as much as the way to the other region.
constexpr double distance_cost = 1.5;

} // namespace

endpoint_table::endpoint_table(
    std::string own_zone, std::map<std::string, std::string> region_of_zone,
    const peers::peer_table& others)
    : own_zone(std::move(own_zone)), region_of_zone(std::move(region_of_zone)),
      others(others)
{
}

void endpoint_table::replace(std::vector<endpoint> listed)
{
    for (auto& [id, each] : this->known)
        each.listed = false;
    for (auto& info : listed)
    {
        auto& each = this->known[info.id];
        each.id_hash = hash(info.id);
        each.listed = true;
        each.info = std::move(info);
    }
    std::erase_if(this->known, [](const auto& each)
                  { return !each.second.listed && each.second.runs.empty(); });
}

const endpoint* endpoint_table::find(std::string_view id) const
{
    auto found = this->known.find(id);
    return found == this->known.end() ? nullptr : &found->second.info;
}

int endpoint_table::distance(const record& each) const
{
    if (each.info.zone == this->own_zone)
        return 0;
    auto own = this->region_of_zone.find(this->own_zone);
    auto other = this->region_of_zone.find(each.info.zone);
    bool same_region = own != this->region_of_zone.end() &&
                       other != this->region_of_zone.end() &&
                       own->second == other->second;
    return same_region ? 1 : 3;
}

bool endpoint_table::silent(const record& each, instant now) const
{
    if (each.runs.empty())
        return false;
    instant oldest = each.runs.begin()->second.started;
    instant waited_from = std::max(oldest, each.last_progress);
    auto queued = each.online + each.batch > each.info.slots;
    // A request that waits in the endpoint's queue hears nothing meanwhile,
    // but those before it do.
    return now - waited_from > silence_limit * (queued ? 2 : 1);
}

bool endpoint_table::may_choose(const record& each, std::string_view service,
                                instant now) const
{
    return each.listed && !each.info.draining && each.info.service == service &&
           now >= each.excluded_until && !this->silent(each, now);
}

choice endpoint_table::choose_online(std::string_view service,
                                     std::span<const std::string> excluded,
                                     instant now, double uniform) const
{
    choice best;
    double best_cost = 0;
    std::uint64_t salt = static_cast<std::uint64_t>(uniform * 4294967296.0);
    for (const auto& [id, each] : this->known)
    {
        if (!this->may_choose(each, service, now) ||
            std::find(excluded.begin(), excluded.end(), id) != excluded.end())
            continue;
        auto theirs = this->others.load(each.id_hash);
        double online = each.online + theirs.online;
        double all = online + each.batch + theirs.batch;
        double slots = each.info.slots;
        double cost = distance_cost * this->distance(each);
        if (all < slots)
            cost += all / slots;
        else if (online < slots)
            cost += displace_cost + online / slots;
        else
            cost += queue_cost + per_queued_cost * (online - slots);
        // Equal costs are settled by chance, so that hosts spread.
        cost += 1e-3 * ((each.id_hash ^ salt) % 101);
        if (best.chosen != nullptr && cost >= best_cost)
            continue;
        best_cost = cost;
        best.chosen = &each.info;
        best.displaces = all >= slots && online < slots;
        double waiting = std::max(0.0, online - slots + 1);
        best.expected_wait = milliseconds(static_cast<std::int64_t>(
            waiting * this->mean_hold(service).count() / slots));
    }
    return best;
}

choice endpoint_table::choose_batch(std::string_view service,
                                    std::uint32_t reserve, instant now,
                                    double uniform) const
{
    choice best;
    double best_cost = 0;
    std::uint64_t salt = static_cast<std::uint64_t>(uniform * 4294967296.0);
    for (const auto& [id, each] : this->known)
    {
        if (!this->may_choose(each, service, now))
            continue;
        auto theirs = this->others.load(each.id_hash);
        double all = each.online + theirs.online + each.batch + theirs.batch;
        double slots = each.info.slots;
        if (all + reserve >= slots)
            continue;
        // Endpoints with much online load are the next to need the slot back.
        double cost = all / slots + 0.2 * this->distance(each) +
                      1e-3 * ((each.id_hash ^ salt) % 101);
        if (best.chosen != nullptr && cost >= best_cost)
            continue;
        best_cost = cost;
        best.chosen = &each.info;
    }
    return best;
}

run_key endpoint_table::begin(std::string_view endpoint, load_kind kind,
                              instant now)
{
    run_key key{std::string(endpoint), this->next_run++};
    auto found = this->known.find(endpoint);
    if (found == this->known.end())
        return key;
    auto& each = found->second;
    each.runs.emplace(key.number, running{kind, now});
    (kind == load_kind::online ? each.online : each.batch)++;
    this->version++;
    return key;
}

void endpoint_table::progress(const run_key& run, instant now)
{
    auto found = this->known.find(run.endpoint);
    if (found != this->known.end())
        found->second.last_progress = now;
}

void endpoint_table::end(const run_key& run, verdict how, instant now)
{
    auto found = this->known.find(run.endpoint);
    if (found == this->known.end())
        return;
    auto& each = found->second;
    auto running = each.runs.find(run.number);
    if (running == each.runs.end())
        return;
    auto kind = running->second.kind;
    auto held = now - running->second.started;
    each.runs.erase(running);
    (kind == load_kind::online ? each.online : each.batch)--;
    this->version++;
    if (how == verdict::answered)
    {
        each.failures = 0;
        each.last_progress = now;
        if (kind == load_kind::online)
            this->note_hold(each.info.service, held);
    }
    else if (how != verdict::cancelled)
        this->note_failure(each, how, now);
    if (!each.listed && each.runs.empty())
        this->known.erase(found);
}

void endpoint_table::note_failure(record& each, verdict how, instant now)
{
    if (now - each.last_failure > failure_memory)
        each.failures = 0;
    each.last_failure = now;
    each.failures++;
    // A single broken answer happens to sound endpoints too.
    if (how == verdict::broken && each.failures < 2)
        return;
    if (how == verdict::replaced)
    {
        each.excluded_until = now + last_exclusion;
        return;
    }
    auto doubled = first_exclusion * (1 << std::min(each.failures, 5u)) / 2;
    // A full endpoint has a free slot again after one request of eight.
    if (how == verdict::refused)
        doubled = first_exclusion / 2;
    each.excluded_until = now + std::min(doubled, last_exclusion);
}

void endpoint_table::note_hold(std::string_view service, milliseconds held)
{
    auto found = this->mean_hold_ms.find(service);
    if (found == this->mean_hold_ms.end())
        found =
            this->mean_hold_ms.emplace(std::string(service), initial_hold_ms)
                .first;
    found->second +=
        hold_weight * (static_cast<double>(held.count()) - found->second);
}

milliseconds endpoint_table::mean_hold(std::string_view service) const
{
    auto found = this->mean_hold_ms.find(service);
    double mean =
        found == this->mean_hold_ms.end() ? initial_hold_ms : found->second;
    return milliseconds(static_cast<std::int64_t>(mean));
}

std::uint32_t endpoint_table::excess(std::string_view endpoint) const
{
    auto found = this->known.find(endpoint);
    if (found == this->known.end())
        return 0;
    const auto& each = found->second;
    auto theirs = this->others.load(each.id_hash);
    auto all = each.online + each.batch + theirs.online + theirs.batch;
    return all > each.info.slots ? all - each.info.slots : 0;
}

std::vector<peers::endpoint_load> endpoint_table::own_loads() const
{
    std::vector<peers::endpoint_load> out;
    for (const auto& [id, each] : this->known)
        if (each.online + each.batch > 0)
            out.push_back({each.id_hash, each.online, each.batch});
    return out;
}

std::uint32_t endpoint_table::usable(std::string_view service,
                                     instant now) const
{
    return static_cast<std::uint32_t>(
        std::count_if(this->known.begin(), this->known.end(),
                      [&](const auto& each)
                      { return this->may_choose(each.second, service, now); }));
}

} // namespace amaranthhatch::core::endpoints
