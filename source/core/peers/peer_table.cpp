#include "core/peers/peer_table.hpp"

#include <algorithm>

#include "core/hash.hpp"

namespace amaranthhatch::core::peers
{

namespace
{

constexpr std::size_t relay_count = 2;
// Zones of more hosts than this use relays, as in beacon_socket.cpp.
constexpr std::size_t direct_zone_size = 16;
// Missed beacons after which a host that names its interval isn't alive, and
// the delay that is allowed besides.
constexpr int missed_beacons = 3;
constexpr milliseconds beacon_delay{400};
// A relay sends something to its whole zone five times in this time.
constexpr milliseconds relay_timeout{1000};
// Time for which a relay that was silent is passed over; a restarted process
// is back by then.
constexpr milliseconds relay_exclusion{3000};

} // namespace

peer_table::peer_table(std::string own_name, std::string own_zone,
                       std::uint64_t own_incarnation, limits bounds,
                       std::uint32_t own_capacity)
    : own_name(std::move(own_name)), own_zone(std::move(own_zone)),
      own_hash(hash(this->own_name)), own_incarnation(own_incarnation),
      bounds(bounds), own_capacity(own_capacity)
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

void peer_table::update_peer(peer& entry, const beacon& message, instant now)
{
    entry.name = message.name;
    entry.address = message.address;
    entry.zone = message.zone;
    entry.region = message.region;
    entry.disk = message.disk;
    entry.capacity = message.capacity;
    entry.incarnation = message.incarnation;
    entry.last_received = now;
    entry.next_within = message.next_within;
    entry.relay_excluded_until = {};
    entry.sent_ms = std::max(entry.sent_ms, message.sent_ms);
    entry.leaving = message.leaving;
    entry.store_unreachable = message.store_unreachable;
    entry.copies = message.copies;
}

bool peer_table::receive(const beacon& message, instant now)
{
    if (message.name == this->own_name)
        return false;
    if (message.scope == beacon_scope::zone)
        return this->receive_summary(message, now);
    if (message.scope == beacon_scope::part)
        return this->receive_summary(message, now);
    if (message.scope == beacon_scope::view)
        return this->receive_zone_view(message, now);
    if (message.scope == beacon_scope::fleet)
        return this->receive_fleet_view(message, now);
    auto& entry = this->peers[message.name];
    bool same_start = entry.incarnation == message.incarnation;
    if (same_start && message.sent_ms < entry.sent_ms)
        return false;
    if (!same_start)
        entry.sent_ms = 0;
    this->update_peer(entry, message, now);
    entry.backlogs = message.backlogs;
    if (message.scope == beacon_scope::view_request)
        entry.wants_view = true;
    // Loads of hosts in other zones are counted from their zone's summary.
    if (message.zone == this->own_zone && message.scope == beacon_scope::host)
    {
        this->add_loads(entry.loads, -1);
        entry.loads = message.loads;
        entry.loads_sent_ms = message.sent_ms;
        this->add_loads(entry.loads, 1);
    }
    for (const auto& received : message.echoes)
        if (received.peer == this->own_hash &&
            received.incarnation == this->own_incarnation)
            entry.last_echoed =
                std::max(entry.last_echoed, instant(received.sent_ms));
    return true;
}

bool peer_table::receive_summary(const beacon& message, instant now)
{
    if (message.zone == this->own_zone)
        return false;
    auto& summary = this->summaries[message.zone];
    bool same_start = summary.lead == message.name &&
                      summary.incarnation == message.incarnation;
    // Hosts forward summaries, so the same one can arrive more than once.
    if (same_start && message.sent_ms <= summary.sent_ms)
        return false;
    this->update_peer(this->peers[message.name], message, now);
    summary.incarnation = message.incarnation;
    summary.sent_ms = message.sent_ms;
    this->add_loads(summary.loads, -1);
    summary.lead = message.name;
    summary.last_received = now;
    summary.loads = message.loads;
    summary.partial = message.scope == beacon_scope::part;
    summary.capacities = message.view.capacities;
    this->add_loads(summary.loads, 1);
    return true;
}

std::size_t peer_table::hosts_in(std::string_view zone, instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(this->peers.begin(), this->peers.end(),
                      [&](const auto& named)
                      {
                          const peer& other = named.second;
                          return other.zone == zone &&
                                 (other.registered || this->alive(other, now));
                      }));
}

// A host that leaves or was silent as a relay has no part in its zone's work.
bool peer_table::eligible(const peer& other, instant now) const
{
    return other.zone == this->own_zone && !other.leaving &&
           now >= other.relay_excluded_until && this->alive(other, now);
}

bool peer_table::ranks_before_self(const peer& other) const
{
    return other.capacity != this->own_capacity
               ? other.capacity > this->own_capacity
               : other.name < this->own_name;
}

bool peer_table::first_in_zone(instant now, bool reaching_store) const
{
    return std::none_of(
        this->peers.begin(), this->peers.end(),
        [&](const auto& named_peer)
        {
            const peer& other = named_peer.second;
            return (!reaching_store || !other.store_unreachable) &&
                   this->eligible(other, now) && this->ranks_before_self(other);
        });
}

std::vector<const peer*> peer_table::relays(instant now) const
{
    std::vector<const peer*> ranked;
    for (const auto& [name, entry] : this->peers)
        if (this->eligible(entry, now))
            ranked.push_back(&entry);
    std::sort(ranked.begin(), ranked.end(),
              [](const peer* left, const peer* right)
              {
                  return left->capacity != right->capacity
                             ? left->capacity > right->capacity
                             : left->name < right->name;
              });
    ranked.resize(std::min(ranked.size(), relay_count));
    if (this->is_relay(now) && ranked.size() == relay_count)
        ranked.pop_back();
    return ranked;
}

bool peer_table::is_relay(instant now) const
{
    auto before = std::count_if(this->peers.begin(), this->peers.end(),
                                [&](const auto& named_peer)
                                {
                                    const peer& other = named_peer.second;
                                    return this->eligible(other, now) &&
                                           this->ranks_before_self(other);
                                });
    return static_cast<std::size_t>(before) < relay_count;
}

void peer_table::check_relays(instant now)
{
    std::set<std::string, std::less<>> current;
    for (const auto* relay : this->relays(now))
        current.insert(relay->name);
    for (auto& [name, entry] : this->peers)
    {
        if (!current.contains(name))
        {
            entry.relay_since = {};
            continue;
        }
        if (entry.relay_since == instant::zero())
            entry.relay_since = now;
        auto heard = std::max(entry.last_received, entry.relay_since);
        auto timeout = relay_timeout;
        if (name == this->view.lead)
            timeout =
                std::max(timeout, this->view.next_within * missed_beacons);
        if (now - heard <= timeout)
            continue;
        entry.relay_excluded_until = now + relay_exclusion;
        entry.relay_since = {};
    }
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
    auto others =
        std::count_if(this->peers.begin(), this->peers.end(),
                      [&](const auto& named_peer)
                      {
                          return named_peer.second.zone == this->own_zone &&
                                 this->alive(named_peer.second, now);
                      });
    return static_cast<std::size_t>(others) + 1;
}

std::vector<const peer*> peer_table::other_zone_leads(instant now) const
{
    // While a zone has no current lead, the result lists the zone's first two
    // hosts by name: one of them may be down.
    constexpr std::size_t possible_lead_count = 2;
    std::map<std::string, std::vector<const peer*>, std::less<>> zones;
    for (const auto& [name, entry] : this->peers)
        if (entry.zone != this->own_zone && !entry.address.empty())
            zones[entry.zone].push_back(&entry);
    std::vector<const peer*> out;
    for (auto& [zone, hosts] : zones)
    {
        auto summary = this->summaries.find(zone);
        const peer* lead = summary == this->summaries.end()
                               ? nullptr
                               : this->find(summary->second.lead);
        bool current =
            lead != nullptr && !lead->leaving &&
            now - summary->second.last_received <= this->bounds.alive_timeout;
        if (current)
            out.push_back(lead);
        else
        {
            // In a large zone nobody forwards what a host that doesn't lead
            // gets, so it has to reach a host that may lead.
            if (hosts.size() > direct_zone_size)
                std::stable_sort(hosts.begin(), hosts.end(),
                                 [](const peer* left, const peer* right)
                                 { return left->capacity > right->capacity; });
            out.insert(out.end(), hosts.begin(),
                       hosts.begin() + static_cast<std::ptrdiff_t>(std::min(
                                           possible_lead_count, hosts.size())));
        }
    }
    return out;
}

std::vector<endpoint_load> peer_table::fleet_loads() const
{
    std::vector<endpoint_load> out;
    for (const auto& [endpoint, load] : this->sums)
        out.push_back(load);
    return out;
}

void peer_table::set_partner_disks(std::set<std::string, std::less<>> disks)
{
    this->partner_disks = std::move(disks);
}

bool peer_table::is_partner(const peer& other) const
{
    return !other.disk.empty() && this->partner_disks.contains(other.disk);
}

std::vector<endpoint_load> peer_table::zone_loads() const
{
    std::map<std::uint64_t, endpoint_load> sum;
    for (const auto& [name, entry] : this->peers)
    {
        if (entry.zone != this->own_zone)
            continue;
        for (const auto& load : entry.loads)
        {
            auto& endpoint_sum = sum[load.endpoint];
            endpoint_sum.endpoint = load.endpoint;
            endpoint_sum.online += load.online;
            endpoint_sum.batch += load.batch;
        }
    }
    std::vector<endpoint_load> out;
    for (const auto& [endpoint, load] : sum)
        out.push_back(load);
    return out;
}

void peer_table::set_registered(const std::vector<peer>& listed)
{
    for (auto& [name, entry] : this->peers)
        entry.registered = false;
    for (const auto& registration : listed)
    {
        if (registration.name == this->own_name)
            continue;
        auto& entry = this->peers[registration.name];
        entry.registered = true;
        bool beacon_received = entry.last_received > instant::zero();
        entry.name = registration.name;
        // Data from a beacon is newer than the registration of the same start.
        if (beacon_received && entry.incarnation == registration.incarnation)
            continue;
        entry.address = registration.address;
        entry.zone = registration.zone;
        entry.region = registration.region;
        entry.disk = registration.disk;
        entry.capacity = registration.capacity;
        entry.incarnation = registration.incarnation;
        entry.sent_ms = 0;
    }
}

void peer_table::expire(instant now)
{
    std::erase_if(this->peers,
                  [&](const auto& named_peer)
                  {
                      const peer& entry = named_peer.second;
                      bool old = now - entry.last_received >
                                 this->bounds.removal_timeout;
                      bool expired = !entry.registered && old;
                      if (expired)
                          this->add_loads(entry.loads, -1);
                      return expired;
                  });
}

void peer_table::expire_loads(instant now)
{
    this->following = !this->view.lead.empty() &&
                      now - this->view.last_received <= this->view_expiry() &&
                      !this->leads_zone(now);
    for (auto& [zone, summary] : this->summaries)
    {
        bool old = now - summary.last_received > this->bounds.load_expiry;
        if (!old)
            continue;
        this->add_loads(summary.loads, -1);
        summary.loads.clear();
        summary.capacities.clear();
    }
    for (auto& [name, entry] : this->peers)
    {
        bool old = now - entry.last_received > this->bounds.load_expiry;
        if (!old || entry.loads.empty())
            continue;
        this->add_loads(entry.loads, -1);
        entry.loads.clear();
    }
}

const peer* peer_table::find(std::string_view name) const
{
    auto found = this->peers.find(name);
    return found == this->peers.end() ? nullptr : &found->second;
}

const peer* peer_table::live_disk_host(std::string_view disk, instant now) const
{
    if (disk.empty())
        return nullptr;
    for (const auto& [name, entry] : this->peers)
        if (entry.disk == disk && this->alive(entry, now))
            return &entry;
    return nullptr;
}

const peer* peer_table::last_disk_host(std::string_view disk) const
{
    const peer* best = nullptr;
    for (const auto& [name, entry] : this->peers)
        if (!disk.empty() && entry.disk == disk &&
            (best == nullptr || entry.last_received > best->last_received))
            best = &entry;
    return best;
}

bool peer_table::alive(const peer& other, instant now) const
{
    auto timeout = std::max(this->bounds.alive_timeout,
                            other.next_within * missed_beacons + beacon_delay);
    return other.last_received > instant::zero() &&
           now - other.last_received <= timeout;
}

std::vector<echo> peer_table::disk_echoes(instant now) const
{
    std::vector<echo> out;
    for (const auto& [name, entry] : this->peers)
        if (this->is_partner(entry) && this->alive(entry, now))
            out.push_back({hash(name), entry.incarnation, entry.sent_ms});
    return out;
}

std::uint64_t peer_table::backlog_tokens(std::uint64_t key, instant now) const
{
    std::uint64_t total = 0;
    for (const auto& [name, entry] : this->peers)
    {
        if (!this->alive(entry, now))
            continue;
        for (const auto& backlog : entry.backlogs)
            if (backlog.key == key)
                total += backlog.tokens;
    }
    return total;
}

} // namespace amaranthhatch::core::peers
