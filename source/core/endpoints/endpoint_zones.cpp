// The part of endpoint_table that tells zones apart.
#include "core/endpoints/endpoint_table.hpp"

#include <algorithm>
#include <optional>

namespace amaranthhatch::core::endpoints
{

std::string_view endpoint_table::zone_of(std::uint64_t endpoint) const
{
    auto found = this->zones_by_hash.find(endpoint);
    return found == this->zones_by_hash.end() ? std::string_view{}
                                              : found->second;
}

std::vector<peers::zone_capacity> endpoint_table::free_slots(instant now) const
{
    struct sum
    {
        std::optional<std::uint32_t> told;
        std::uint32_t free = 0;
    };
    std::map<std::pair<std::string_view, std::string_view>, sum> sums;
    for (const auto& [id, record] : this->records)
    {
        const auto& info = record.info;
        auto [position, added] =
            sums.try_emplace({info.zone, info.service}, sum{});
        if (added)
            position->second.told =
                this->peer_hosts.free_capacity(info.zone, info.service);
        if (position->second.told ||
            !this->is_available(record, info.service, now))
            continue;
        auto load = this->peer_hosts.load(record.id_hash);
        auto used = record.online + record.batch + load.online + load.batch;
        position->second.free += info.slots - std::min(info.slots, used);
    }
    std::vector<peers::zone_capacity> out;
    for (const auto& [names, each] : sums)
        out.push_back({peers::capacity_key(names.first),
                       peers::capacity_key(names.second),
                       each.told.value_or(each.free)});
    return out;
}

const endpoint_table::candidate*
endpoint_table::remote_part::draw(double uniform) const
{
    auto drawn = this->capacity.draw(uniform);
    return drawn ? &this->candidates[*drawn] : nullptr;
}

endpoint_table::remote_part
endpoint_table::take_remote(std::vector<candidate>& from,
                            std::string_view service,
                            const batch_allowance* allowance) const
{
    remote_part out;
    std::map<std::string_view, std::optional<std::uint32_t>> free_by_zone;
    std::erase_if(
        from,
        [&](const candidate& each)
        {
            const auto& info = each.record->info;
            auto [position, added] =
                free_by_zone.try_emplace(info.zone, std::nullopt);
            if (added)
                position->second =
                    this->peer_hosts.free_capacity(info.zone, service);
            if (!position->second)
                return false;
            double slots = info.slots;
            auto usable = allowance == nullptr
                              ? slots
                              : usable_for_batch(each, *allowance);
            out.candidates.push_back(each);
            out.capacity.add({info.zone, slots, each.total,
                              std::max(0.0, slots - usable), each.distance},
                             *position->second);
            return true;
        });
    return out;
}

} // namespace amaranthhatch::core::endpoints
