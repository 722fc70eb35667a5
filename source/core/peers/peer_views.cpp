// The part of peer_table that handles the views of a zone's lead.
#include "core/peers/peer_table.hpp"

#include <algorithm>

namespace amaranthhatch::core::peers
{

namespace
{

// Reports of some seconds; a lead's sums are older only when they no longer
// count.
constexpr std::size_t remembered_reports = 64;
// Sums of another lead are taken over at once where those of the present lead
// are older than this, and than its interval and this delay.
constexpr milliseconds lead_switch_age{300};
constexpr milliseconds lead_switch_delay{100};
// Intervals of a lead after which its last view no longer counts.
constexpr int missed_views = 3;

} // namespace

bool peer_table::is_late(const beacon& message) const
{
    const auto* known = this->find(message.name);
    return known != nullptr && known->incarnation == message.incarnation &&
           message.sent_ms < known->sent_ms;
}

bool peer_table::takes_view_of(const beacon& message, instant now)
{
    auto& sender = this->peers[message.name];
    if (sender.incarnation != message.incarnation)
        sender.sent_ms = 0;
    this->update_peer(sender, message, now);
    sender.backlogs = message.backlogs;
    auto switch_age =
        std::max(lead_switch_age, this->view.next_within + lead_switch_delay);
    bool present_lead = this->view.lead == message.name ||
                        now - this->view.last_received > switch_age;
    return present_lead && !this->leads_zone(now);
}

bool peer_table::receive_fleet_view(const beacon& message, instant now)
{
    if (message.zone != this->own_zone || this->is_late(message))
        return false;
    if (!this->takes_view_of(message, now))
        return true;
    this->view.lead = message.name;
    this->view.last_received = now;
    this->view.next_within = message.next_within;
    this->view.zone_only = false;
    this->view.incomplete = false;
    this->view.received.clear();
    this->view.loads.clear();
    for (const auto& load : message.loads)
        this->view.loads[load.endpoint] = load;
    if (const auto* included = this->find_report(message.included_ms))
        for (const auto& own : included->loads)
        {
            auto& sum = this->view.loads[own.endpoint];
            sum.online -= std::min(sum.online, own.online);
            sum.batch -= std::min(sum.batch, own.batch);
        }
    this->following = true;
    this->view_count++;
    return true;
}

bool peer_table::receive_zone_view(const beacon& message, instant now)
{
    if (message.zone != this->own_zone || this->is_late(message))
        return false;
    if (!this->takes_view_of(message, now))
        return true;
    this->view.lead = message.name;
    this->view.next_within = message.next_within;
    if (!this->view.received.apply(message.view))
    {
        // The loads of before hold until they are too old.
        this->view.incomplete = true;
        return true;
    }
    this->view.last_received = now;
    this->view.incomplete = false;
    this->view.zone_only = true;
    this->view.loads.clear();
    this->view.capacities = message.view.capacities;
    this->view.included.clear();
    if (const auto* included = this->find_report(message.included_ms))
        for (const auto& own : included->loads)
            this->view.included[own.endpoint] = own;
    this->following = true;
    this->view_count++;
    return true;
}

// The sums contain this host's loads as of the report that they name, not as of
// now. Older reports are no longer needed.
const peer_table::report* peer_table::find_report(std::int64_t included_ms)
{
    while (!this->reports.empty() &&
           this->reports.front().sent_ms < included_ms)
        this->reports.pop_front();
    bool included =
        !this->reports.empty() && this->reports.front().sent_ms == included_ms;
    return included ? &this->reports.front() : nullptr;
}

// A lead with many hosts or endpoints sends views less often.
milliseconds peer_table::view_expiry() const
{
    return std::max(this->bounds.load_expiry,
                    this->view.next_within * missed_views);
}

void peer_table::on_view_sent(std::string_view name)
{
    auto found = this->peers.find(name);
    if (found != this->peers.end())
        found->second.wants_view = false;
}

std::optional<std::uint32_t>
peer_table::free_capacity(std::string_view zone, std::string_view service) const
{
    if (zone == this->own_zone)
        return std::nullopt;
    const std::vector<zone_capacity>* told = nullptr;
    if (this->following)
        told = this->view.zone_only ? &this->view.capacities : nullptr;
    else if (auto found = this->summaries.find(zone);
             found != this->summaries.end() && found->second.partial)
        told = &found->second.capacities;
    if (told == nullptr)
        return std::nullopt;
    auto zone_key = capacity_key(zone);
    auto service_key = capacity_key(service);
    for (const auto& each : *told)
        if (each.zone == zone_key && each.service == service_key)
            return each.free;
    return 0;
}

void peer_table::add_report(std::int64_t sent_ms,
                            std::vector<endpoint_load> loads)
{
    this->reports.push_back({sent_ms, std::move(loads)});
    if (this->reports.size() > remembered_reports)
        this->reports.pop_front();
}

endpoint_load peer_table::load(std::uint64_t endpoint) const
{
    bool by_zone = this->following && this->view.zone_only;
    const auto& loads = by_zone           ? this->view.received.loads()
                        : this->following ? this->view.loads
                                          : this->sums;
    auto found = loads.find(endpoint);
    if (found == loads.end())
        return {endpoint, 0, 0};
    auto out = found->second;
    if (!by_zone)
        return out;
    auto own = this->view.included.find(endpoint);
    if (own == this->view.included.end())
        return out;
    out.online -= std::min(out.online, own->second.online);
    out.batch -= std::min(out.batch, own->second.batch);
    return out;
}

} // namespace amaranthhatch::core::peers
