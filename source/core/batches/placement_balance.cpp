#include "core/batches/placement_balance.hpp"

#include <algorithm>
#include <tuple>

namespace amaranthhatch::core::batches
{

namespace
{

// Partitions are indivisible, so a difference of one is already balanced.
constexpr std::uint32_t min_difference = 2;

bool add_copy(placement& planned, const std::vector<disk_host>& hosts,
              std::string_view owner_region)
{
    auto& place = planned.partitions.back();
    const auto* next = placement_balance(planned, hosts)
                           .choose_replacement(place, {}, owner_region);
    if (next == nullptr)
        return false;
    place.copies.push_back(next->disk);
    return true;
}

} // namespace

std::optional<placement> first_placement(std::size_t partitions,
                                         std::size_t copies,
                                         const std::vector<disk_host>& hosts)
{
    if (hosts.size() < copies || copies == 0)
        return std::nullopt;
    placement out;
    for (std::size_t number = 0; number < partitions; number++)
    {
        const auto& owner = hosts[number % hosts.size()];
        out.partitions.push_back(
            {1, owner.disk, owner.incarnation, {owner.disk}});
        while (out.partitions.back().copies.size() < copies)
            if (!add_copy(out, hosts, owner.region))
                return std::nullopt;
    }
    return out;
}

placement_balance::placement_balance(const placement& planned,
                                     const std::vector<disk_host>& hosts)
    : hosts(&hosts)
{
    for (const auto& place : planned.partitions)
    {
        this->loads[place.owner_disk].owned++;
        for (const auto& disk : place.copies)
            this->loads[disk].copies++;
    }
}

placement_balance::load placement_balance::load_of(std::string_view disk) const
{
    auto found = this->loads.find(disk);
    return found == this->loads.end() ? load() : found->second;
}

std::uint32_t placement_balance::copies(std::string_view disk) const
{
    return this->load_of(disk).copies;
}

std::uint32_t placement_balance::owned(std::string_view disk) const
{
    return this->load_of(disk).owned;
}

const disk_host* placement_balance::find_host(std::string_view disk) const
{
    auto found =
        std::find_if(this->hosts->begin(), this->hosts->end(),
                     [&](const auto& host) { return host.disk == disk; });
    return found == this->hosts->end() ? nullptr : &*found;
}

bool placement_balance::zone_has_copy(const std::vector<std::string>& copies,
                                      std::string_view zone,
                                      std::string_view except) const
{
    return std::any_of(copies.begin(), copies.end(),
                       [&](const auto& disk)
                       {
                           const auto* host = this->find_host(disk);
                           return disk != except && host != nullptr &&
                                  host->zone == zone;
                       });
}

const disk_host*
placement_balance::choose_successor(const partition_place& partition) const
{
    const disk_host* best = nullptr;
    for (const auto& host : *this->hosts)
    {
        bool eligible = host.accepts_copies &&
                        host.disk != partition.owner_disk &&
                        partition.holds_copy(host.disk) &&
                        this->owned(host.disk) + min_difference <=
                            this->owned(partition.owner_disk);
        if (eligible && (best == nullptr ||
                         this->owned(host.disk) < this->owned(best->disk)))
            best = &host;
    }
    return best;
}

std::optional<copy_move>
placement_balance::choose_move(const partition_place& partition) const
{
    std::optional<copy_move> best;
    // The greatest rank wins: moves that separate two copies in one zone come
    // first, then those with the greatest difference in load.
    std::tuple<bool, std::uint32_t> best_rank{false, 0};
    for (const auto& old_disk : partition.copies)
    {
        const auto* old_host = this->find_host(old_disk);
        if (old_disk == partition.owner_disk || old_host == nullptr)
            continue;
        bool shares_zone =
            this->zone_has_copy(partition.copies, old_host->zone, old_disk);
        for (const auto& host : *this->hosts)
        {
            if (!host.accepts_copies || partition.holds_copy(host.disk) ||
                this->zone_has_copy(partition.copies, host.zone, old_disk))
                continue;
            auto old_load = this->copies(old_disk);
            auto new_load = this->copies(host.disk);
            if (!shares_zone && old_load < new_load + min_difference)
                continue;
            std::tuple rank{shares_zone,
                            old_load > new_load ? old_load - new_load : 0};
            if (best && rank <= best_rank)
                continue;
            best = copy_move{old_disk, host.disk};
            best_rank = rank;
        }
    }
    return best;
}

const disk_host*
placement_balance::choose_replacement(const partition_place& partition,
                                      std::string_view replaced,
                                      std::string_view owner_region) const
{
    const disk_host* best = nullptr;
    std::tuple<bool, std::uint32_t, bool> best_rank;
    for (const auto& host : *this->hosts)
    {
        if (!host.accepts_copies || partition.holds_copy(host.disk))
            continue;
        // The smallest rank wins.
        std::tuple rank{
            this->zone_has_copy(partition.copies, host.zone, replaced),
            this->copies(host.disk), host.region != owner_region};
        if (best != nullptr && rank >= best_rank)
            continue;
        best = &host;
        best_rank = rank;
    }
    return best;
}

} // namespace amaranthhatch::core::batches
