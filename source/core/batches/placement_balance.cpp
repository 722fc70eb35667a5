#include "core/batches/placement_balance.hpp"

#include <algorithm>
#include <tuple>

namespace amaranthhatch::core::batches
{

namespace
{

// Partitions are indivisible, so a difference of one is already balanced.
constexpr std::uint32_t min_difference = 2;

bool add_copy(placement& to, const std::vector<disk_host>& hosts,
              std::string_view owner_region)
{
    auto& place = to.partitions.back();
    const auto* next = placement_balance(to, hosts).choose_replacement(
        place, {}, owner_region);
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
    for (std::size_t at = 0; at < partitions; at++)
    {
        const auto& owner = hosts[at % hosts.size()];
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
                     [&](const auto& each) { return each.disk == disk; });
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
placement_balance::choose_successor(const partition_place& of) const
{
    const disk_host* best = nullptr;
    for (const auto& host : *this->hosts)
    {
        bool may = host.accepts_copies && host.disk != of.owner_disk &&
                   of.holds_copy(host.disk) &&
                   this->owned(host.disk) + min_difference <=
                       this->owned(of.owner_disk);
        if (may && (best == nullptr ||
                    this->owned(host.disk) < this->owned(best->disk)))
            best = &host;
    }
    return best;
}

std::optional<copy_move>
placement_balance::choose_move(const partition_place& of) const
{
    std::optional<copy_move> best;
    // Ranks a move first by whether it resolves two copies in one zone, then by
    // the difference in load.
    std::tuple<bool, std::uint32_t> best_rank{false, 0};
    for (const auto& from : of.copies)
    {
        const auto* old = this->find_host(from);
        if (from == of.owner_disk || old == nullptr)
            continue;
        bool doubled = this->zone_has_copy(of.copies, old->zone, from);
        for (const auto& host : *this->hosts)
        {
            if (!host.accepts_copies || of.holds_copy(host.disk) ||
                this->zone_has_copy(of.copies, host.zone, from))
                continue;
            auto more = this->copies(from);
            auto less = this->copies(host.disk);
            if (!doubled && more < less + min_difference)
                continue;
            std::tuple rank{doubled, more > less ? more - less : 0};
            if (best && rank <= best_rank)
                continue;
            best = copy_move{from, host.disk};
            best_rank = rank;
        }
    }
    return best;
}

const disk_host*
placement_balance::choose_replacement(const partition_place& from,
                                      std::string_view replaced,
                                      std::string_view owner_region) const
{
    const disk_host* best = nullptr;
    std::tuple<bool, std::uint32_t, bool> best_rank;
    for (const auto& host : *this->hosts)
    {
        if (!host.accepts_copies || from.holds_copy(host.disk))
            continue;
        // The smallest rank wins.
        std::tuple rank{this->zone_has_copy(from.copies, host.zone, replaced),
                        this->copies(host.disk), host.region != owner_region};
        if (best != nullptr && rank >= best_rank)
            continue;
        best = &host;
        best_rank = rank;
    }
    return best;
}

} // namespace amaranthhatch::core::batches
