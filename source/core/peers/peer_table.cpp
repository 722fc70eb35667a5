#include "core/peers/peer_table.hpp"

#include <algorithm>

#include "core/hash.hpp"

namespace amaranthhatch::core::peers
{

peer_table::peer_table(std::string own_name, std::string own_zone,
                       std::uint64_t own_incarnation, limits bounds)
    : own_name(std::move(own_name)), own_zone(std::move(own_zone)),
      own_hash(hash(this->own_name)), own_incarnation(own_incarnation),
      bounds(bounds)
{
}

void peer_table::add_loads(const std::vector<endpoint_load>& loads, int sign)
{
    for (const auto& load : loads)
    {
        auto& sum = this->sums[load.endpoint];
        sum.endpoint = load.endpoint;
        sum.online += sign * load.online;
        sum.batch += sign * load.batch;
        if (sum.online == 0 && sum.batch == 0)
            this->sums.erase(load.endpoint);
    }
}

void peer_table::note_host(peer& known, const beacon& from, instant now)
{
    known.name = from.name;
    known.address = from.address;
    known.zone = from.zone;
    known.region = from.region;
    known.disk = from.disk;
    known.incarnation = from.incarnation;
    known.heard = now;
    known.sent_ms = std::max(known.sent_ms, from.sent_ms);
    known.leaving = from.leaving;
    known.store_away = from.store_away;
    known.copies = from.copies;
}

bool peer_table::hear(const beacon& from, instant now)
{
    if (from.name == this->own_name)
        return false;
    if (from.zone_summary)
        return this->hear_summary(from, now);
    auto& known = this->peers[from.name];
    bool same_start = known.incarnation == from.incarnation;
    if (same_start && from.sent_ms < known.sent_ms)
        return false;
    if (!same_start)
        known.sent_ms = 0;
    this->note_host(known, from, now);
    known.backlogs = from.backlogs;
    // The loads of another zone's hosts come with that zone's summary.
    if (from.zone == this->own_zone)
    {
        this->add_loads(known.loads, -1);
        known.loads = from.loads;
        this->add_loads(known.loads, 1);
    }
    for (const auto& echoed : from.echoes)
        if (echoed.peer == this->own_hash &&
            echoed.incarnation == this->own_incarnation)
            known.echoed = std::max(known.echoed, instant(echoed.sent_ms));
    return true;
}

bool peer_table::hear_summary(const beacon& from, instant now)
{
    if (from.zone == this->own_zone)
        return false;
    auto& summary = this->summaries[from.zone];
    bool same_start =
        summary.lead == from.name && summary.incarnation == from.incarnation;
    // A summary that was passed on comes more than once.
    if (same_start && from.sent_ms <= summary.sent_ms)
        return false;
    this->note_host(this->peers[from.name], from, now);
    summary.incarnation = from.incarnation;
    summary.sent_ms = from.sent_ms;
    this->add_loads(summary.loads, -1);
    summary.lead = from.name;
    summary.heard = now;
    summary.loads = from.loads;
    this->add_loads(summary.loads, 1);
    return true;
}

bool peer_table::first_in_zone(instant now, bool reaching_store) const
{
    return std::none_of(this->peers.begin(), this->peers.end(),
                        [&](const auto& each)
                        {
                            const peer& other = each.second;
                            bool counts =
                                !other.leaving &&
                                (!reaching_store || !other.store_away) &&
                                this->alive(other, now);
                            return counts && other.zone == this->own_zone &&
                                   each.first < this->own_name;
                        });
}

bool peer_table::leads_zone(instant now) const
{
    return this->first_in_zone(now, false);
}

bool peer_table::reads_for_zone(instant now) const
{
    return this->first_in_zone(now, true);
}

std::size_t peer_table::zone_size(instant now) const
{
    auto others = std::count_if(this->peers.begin(), this->peers.end(),
                                [&](const auto& each)
                                {
                                    return each.second.zone == this->own_zone &&
                                           this->alive(each.second, now);
                                });
    return static_cast<std::size_t>(others) + 1;
}

std::vector<const peer*> peer_table::other_zone_leads(instant now) const
{
    // Until a zone's summary is heard, its first two registered hosts are
    // told, one of which may be down.
    constexpr std::size_t guesses = 2;
    std::map<std::string, std::vector<const peer*>, std::less<>> zones;
    for (const auto& [name, known] : this->peers)
        if (known.zone != this->own_zone && !known.address.empty())
            zones[known.zone].push_back(&known);
    std::vector<const peer*> out;
    for (auto& [zone, hosts] : zones)
    {
        auto summary = this->summaries.find(zone);
        const peer* lead = summary == this->summaries.end()
                               ? nullptr
                               : this->find(summary->second.lead);
        bool current = lead != nullptr && !lead->leaving &&
                       now - summary->second.heard <= this->bounds.silence;
        if (current)
            out.push_back(lead);
        else
            out.insert(out.end(), hosts.begin(),
                       hosts.begin() + static_cast<std::ptrdiff_t>(
                                           std::min(guesses, hosts.size())));
    }
    return out;
}

std::vector<endpoint_load> peer_table::zone_loads() const
{
    std::map<std::uint64_t, endpoint_load> sum;
    for (const auto& [name, known] : this->peers)
    {
        if (known.zone != this->own_zone)
            continue;
        for (const auto& load : known.loads)
        {
            auto& at = sum[load.endpoint];
            at.endpoint = load.endpoint;
            at.online += load.online;
            at.batch += load.batch;
        }
    }
    std::vector<endpoint_load> out;
    for (const auto& [endpoint, load] : sum)
        out.push_back(load);
    return out;
}

void peer_table::register_all(const std::vector<peer>& listed)
{
    for (auto& [name, known] : this->peers)
        known.registered = false;
    for (const auto& each : listed)
    {
        if (each.name == this->own_name)
            continue;
        auto& known = this->peers[each.name];
        known.registered = true;
        bool heard = known.heard > instant::zero();
        known.name = each.name;
        // What a host says itself is newer than what it registered.
        if (heard && known.incarnation == each.incarnation)
            continue;
        known.address = each.address;
        known.zone = each.zone;
        known.region = each.region;
        known.disk = each.disk;
        known.incarnation = each.incarnation;
        known.sent_ms = 0;
    }
}

void peer_table::expire(instant now)
{
    std::erase_if(this->peers,
                  [&](const auto& each)
                  {
                      const peer& known = each.second;
                      bool old = now - known.heard > this->bounds.forget;
                      bool gone = !known.registered && old;
                      if (gone)
                          this->add_loads(known.loads, -1);
                      return gone;
                  });
}

void peer_table::refresh_loads(instant now)
{
    for (auto& [zone, summary] : this->summaries)
    {
        bool old = now - summary.heard > this->bounds.load_expiry;
        if (!old || summary.loads.empty())
            continue;
        this->add_loads(summary.loads, -1);
        summary.loads.clear();
    }
    for (auto& [name, known] : this->peers)
    {
        bool old = now - known.heard > this->bounds.load_expiry;
        if (!old || known.loads.empty())
            continue;
        this->add_loads(known.loads, -1);
        known.loads.clear();
    }
}

const peer* peer_table::find(std::string_view name) const
{
    auto found = this->peers.find(name);
    return found == this->peers.end() ? nullptr : &found->second;
}

const peer* peer_table::find_disk(std::string_view disk, instant now) const
{
    if (disk.empty())
        return nullptr;
    for (const auto& [name, known] : this->peers)
        if (known.disk == disk && this->alive(known, now))
            return &known;
    return nullptr;
}

const peer* peer_table::locate_disk(std::string_view disk) const
{
    const peer* best = nullptr;
    for (const auto& [name, known] : this->peers)
        if (!disk.empty() && known.disk == disk &&
            (best == nullptr || known.heard > best->heard))
            best = &known;
    return best;
}

bool peer_table::alive(const peer& other, instant now) const
{
    return other.heard > instant::zero() &&
           now - other.heard <= this->bounds.silence;
}

std::vector<echo> peer_table::disk_echoes(instant now) const
{
    std::vector<echo> out;
    for (const auto& [name, known] : this->peers)
        if (!known.disk.empty() && this->alive(known, now))
            out.push_back({hash(name), known.incarnation, known.sent_ms});
    return out;
}

endpoint_load peer_table::load(std::uint64_t endpoint) const
{
    auto found = this->sums.find(endpoint);
    return found == this->sums.end() ? endpoint_load{endpoint, 0, 0}
                                     : found->second;
}

std::uint64_t peer_table::backlog_tokens(std::uint64_t route, instant now) const
{
    std::uint64_t total = 0;
    for (const auto& [name, known] : this->peers)
    {
        if (!this->alive(known, now))
            continue;
        for (const auto& each : known.backlogs)
            if (each.route == route)
                total += each.tokens;
    }
    return total;
}

} // namespace amaranthhatch::core::peers
