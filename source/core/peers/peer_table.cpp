#include "core/peers/peer_table.hpp"

#include <algorithm>

#include "core/hash.hpp"

namespace amaranthhatch::core::peers
{

peer_table::peer_table(std::string own_name, std::uint64_t own_incarnation,
                       limits bounds)
    : own_name(std::move(own_name)), own_hash(hash(this->own_name)),
      own_incarnation(own_incarnation), bounds(bounds)
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

bool peer_table::hear(const beacon& from, instant now)
{
    if (from.name == this->own_name)
        return false;
    auto& known = this->peers[from.name];
    bool same_start = known.incarnation == from.incarnation;
    if (same_start && from.sent_ms < known.sent_ms)
        return false;
    known.name = from.name;
    known.address = from.address;
    known.zone = from.zone;
    known.region = from.region;
    known.disk = from.disk;
    known.incarnation = from.incarnation;
    known.heard = now;
    known.sent_ms = from.sent_ms;
    known.leaving = from.leaving;
    known.copies = from.copies;
    known.backlogs = from.backlogs;
    this->add_loads(known.loads, -1);
    known.loads = from.loads;
    this->add_loads(known.loads, 1);
    for (const auto& echoed : from.echoes)
        if (echoed.peer == this->own_hash &&
            echoed.incarnation == this->own_incarnation)
            known.echoed = std::max(known.echoed, instant(echoed.sent_ms));
    return true;
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
        if (heard && known.incarnation == each.incarnation)
            continue;
        known.address = each.address;
        known.zone = each.zone;
        known.region = each.region;
        if (!heard)
            known.disk = each.disk;
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
