// The part of beacon_socket that only the hosts of large zones use.
#include <algorithm>
#include <map>

#include "peers/beacon_socket.hpp"
#include "peers/packing.hpp"

namespace amaranthhatch::peers
{

namespace
{

// Bytes a second that a lead sends to its zone, and to the other zones. With
// 160 KB/s to the zone, which a target of 200 KB/s for each host would need,
// views with evidence of endpoints came so seldom on 250 hosts before 130
// endpoints that a tenth of the worth was lost.
constexpr std::size_t view_bytes_per_second = 2000000;
constexpr std::size_t parts_bytes_per_second = 20000;
// A view is sent no more often than this, which is the time in which an
// endpoint with eight slots gets some new requests, and no less often than the
// longest, by which hosts take the lead for alive.
constexpr core::milliseconds min_view_interval{50};
constexpr core::milliseconds max_view_interval{1500};
constexpr core::milliseconds min_parts_interval{40};
constexpr core::milliseconds max_parts_interval{400};
// Whole views a round, besides the one in rotation: after a change of the lead
// all hosts ask at once.
constexpr std::size_t whole_views_per_round = 8;
// A host that missed views asks this often.
constexpr core::milliseconds request_interval{200};
// A zone of more hosts than this takes parts, see beacon_socket.cpp.
constexpr std::size_t direct_zone_size = 16;

core::milliseconds interval_of(std::size_t bytes, std::size_t bytes_per_second,
                               core::milliseconds shortest,
                               core::milliseconds longest)
{
    constexpr std::size_t ms_per_second = 1000;
    core::milliseconds wanted(
        static_cast<std::int64_t>(bytes * ms_per_second / bytes_per_second));
    return std::clamp(wanted, shortest, longest);
}

} // namespace

bool beacon_socket::in_zone(std::uint64_t endpoint, std::string_view zone) const
{
    return this->endpoints != nullptr &&
           this->endpoints->zone_of(endpoint) == zone;
}

bool beacon_socket::takes_parts(const core::peers::peer& lead,
                                core::instant now) const
{
    return this->endpoints != nullptr && this->large_zone(now) &&
           this->peers.hosts_in(lead.zone, now) > direct_zone_size;
}

void beacon_socket::send_zone_view(core::peers::beacon beacon,
                                   core::instant now)
{
    if (now - this->last_view < this->view_interval)
        return;
    this->last_view = now;
    std::map<std::uint64_t, core::peers::endpoint_load> sums;
    auto add = [&](const std::vector<core::peers::endpoint_load>& loads)
    {
        for (const auto& load : loads)
        {
            // An endpoint that the list lacks may be new.
            bool own = this->endpoints == nullptr ||
                       this->endpoints->zone_of(load.endpoint).empty() ||
                       this->in_zone(load.endpoint, this->identity.zone);
            if (!own)
                continue;
            auto& sum = sums[load.endpoint];
            sum.endpoint = load.endpoint;
            sum.online += load.online;
            sum.batch += load.batch;
        }
    };
    add(beacon.loads);
    add(this->peers.fleet_loads());
    std::vector<core::peers::endpoint_load> loads;
    for (const auto& [endpoint, load] : sums)
        loads.push_back(load);
    this->views.update(loads, static_cast<std::uint64_t>(beacon.sent_ms));

    std::vector<core::peers::zone_capacity> capacities;
    if (this->endpoints != nullptr)
        capacities = this->endpoints->free_slots(now);
    auto own_zone = core::peers::capacity_key(this->identity.zone);
    std::erase_if(capacities,
                  [&](const auto& each) { return each.zone == own_zone; });
    beacon.scope = core::peers::beacon_scope::view;
    beacon.evidence = this->evidence(beacon.scope);
    beacon.echoes.clear();
    beacon.loads.clear();
    beacon.next_within = std::max(beacon.next_within, this->view_interval);
    auto packed = [&](core::peers::view_message view)
    {
        view.capacities = capacities;
        beacon.view = std::move(view);
        return pack(beacon);
    };
    auto changes = packed(this->views.changes());
    auto whole = packed(this->views.full());
    std::size_t sent_bytes = 0;
    std::size_t whole_views = 0;
    std::size_t place = 0;
    std::vector<std::string> answered;
    for (const auto& [name, peer] : this->peers.all())
    {
        if (peer.zone != this->identity.zone)
            continue;
        bool asked = peer.wants_view && whole_views < whole_views_per_round;
        bool takes_whole = asked || place == this->next_whole;
        place++;
        whole_views += asked ? 1 : 0;
        if (takes_whole)
            answered.push_back(name);
        auto bytes = with_included(peer.loads.empty() ? 0 : peer.loads_sent_ms,
                                   takes_whole ? whole : changes);
        sent_bytes += bytes.size();
        this->send_to(peer, bytes);
    }
    for (const auto& name : answered)
        this->peers.on_view_sent(name);
    this->next_whole = this->next_whole + 1 < place ? this->next_whole + 1 : 0;
    this->view_interval = interval_of(sent_bytes, view_bytes_per_second,
                                      min_view_interval, max_view_interval);
}

void beacon_socket::request_view(const core::peers::beacon& beacon,
                                 core::instant now)
{
    const auto* lead = this->peers.view_lead();
    if (!this->peers.wants_view() || lead == nullptr ||
        now - this->last_view_request < request_interval)
        return;
    this->last_view_request = now;
    auto request = beacon;
    request.scope = core::peers::beacon_scope::view_request;
    request.loads.clear();
    request.echoes.clear();
    this->send_to(*lead, pack(request));
}

void beacon_socket::send_parts(core::peers::beacon part, core::instant now)
{
    if (this->endpoints == nullptr ||
        now - this->last_parts < this->parts_interval)
        return;
    this->last_parts = now;
    part.scope = core::peers::beacon_scope::part;
    part.evidence = this->evidence(part.scope);
    part.echoes.clear();
    part.backlogs.clear();
    auto own_zone = core::peers::capacity_key(this->identity.zone);
    part.view.capacities = this->endpoints->free_slots(now);
    std::erase_if(part.view.capacities,
                  [&](const auto& each) { return each.zone != own_zone; });
    part.next_within = std::max(part.next_within, this->parts_interval);
    std::map<std::string_view, std::vector<core::peers::endpoint_load>> by_zone;
    auto zone_loads = this->peers.zone_loads();
    zone_loads.insert(zone_loads.end(), part.loads.begin(), part.loads.end());
    for (const auto& load : zone_loads)
        by_zone[this->endpoints->zone_of(load.endpoint)].push_back(load);
    std::size_t sent_bytes = 0;
    for (const auto* peer : this->peers.other_zone_leads(now))
    {
        if (!this->takes_parts(*peer, now))
            continue;
        part.loads = by_zone[peer->zone];
        auto bytes = pack(part);
        sent_bytes += bytes.size();
        this->send_to(*peer, bytes);
    }
    this->parts_interval = interval_of(sent_bytes, parts_bytes_per_second,
                                       min_parts_interval, max_parts_interval);
}

} // namespace amaranthhatch::peers
