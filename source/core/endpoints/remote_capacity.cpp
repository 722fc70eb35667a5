#include "core/endpoints/remote_capacity.hpp"

#include <algorithm>

namespace amaranthhatch::core::endpoints
{

void remote_capacity::add(const member& added, double free)
{
    this->members.push_back(added);
    auto& zone = this->zones[added.zone];
    zone.free = free;
    zone.slots += added.slots;
    zone.withheld += added.withheld;
    zone.distance = added.distance;
}

double remote_capacity::free_slots() const
{
    double free = 0;
    for (const auto& [name, zone] : this->zones)
        free += zone.usable();
    return free;
}

int remote_capacity::nearest() const
{
    int distance = -1;
    for (const auto& [name, zone] : this->zones)
        if (zone.usable() > 0 && (distance < 0 || zone.distance < distance))
            distance = zone.distance;
    return distance;
}

double remote_capacity::nearest_free_slots() const
{
    auto distance = this->nearest();
    double free = 0;
    for (const auto& [name, zone] : this->zones)
        free += zone.distance == distance ? zone.usable() : 0;
    return free;
}

double remote_capacity::weight(const member& each) const
{
    const auto& zone = this->zones.at(each.zone);
    auto open = std::max(0.0, each.slots - each.used - each.withheld);
    return zone.slots > 0 ? open * zone.usable() / zone.slots : 0;
}

std::optional<std::size_t> remote_capacity::draw(double uniform) const
{
    auto distance = this->nearest();
    double total = 0;
    for (const auto& each : this->members)
        total += each.distance == distance ? this->weight(each) : 0;
    if (total <= 0)
        return std::nullopt;
    double position = uniform * total;
    std::optional<std::size_t> last;
    for (std::size_t index = 0; index < this->members.size(); index++)
    {
        const auto& each = this->members[index];
        auto weight = each.distance == distance ? this->weight(each) : 0;
        if (weight <= 0)
            continue;
        last = index;
        position -= weight;
        if (position < 0)
            break;
    }
    return last;
}

} // namespace amaranthhatch::core::endpoints
