#include "core/batches/placement.hpp"

#include <algorithm>

#include "core/hash.hpp"

namespace amaranthhatch::core::batches
{

namespace
{

const disk_host* find_host(const std::vector<disk_host>& hosts,
                           std::string_view disk)
{
    auto found =
        std::find_if(hosts.begin(), hosts.end(),
                     [&](const auto& each) { return each.disk == disk; });
    return found == hosts.end() ? nullptr : &*found;
}

bool zone_taken(const std::vector<disk_host>& hosts,
                const std::vector<std::string>& copies, std::string_view zone,
                std::string_view except)
{
    return std::any_of(copies.begin(), copies.end(),
                       [&](const auto& disk)
                       {
                           const auto* host = find_host(hosts, disk);
                           return disk != except && host != nullptr &&
                                  host->zone == zone;
                       });
}

} // namespace

bool partition_place::holds(std::string_view disk) const
{
    return std::find(this->copies.begin(), this->copies.end(), disk) !=
           this->copies.end();
}

std::size_t placement::partition_of(std::string_view job) const
{
    return this->partitions.empty() ? 0 : hash(job) % this->partitions.size();
}

bool may_forget(const stray_view& job)
{
    // Several times as long as a partition takes to be taught, and as a copy
    // of the placement may be old.
    constexpr milliseconds settled{60000};
    return job.unheld > settled && job.untouched > settled &&
           job.past_retention > settled;
}

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
        partition_place place;
        place.epoch = 1;
        place.owner_disk = owner.disk;
        place.owner_incarnation = owner.incarnation;
        place.copies = {owner.disk};
        while (place.copies.size() < copies)
        {
            const auto* next =
                choose_replacement(place, {}, owner.region, hosts);
            if (next == nullptr)
                return std::nullopt;
            place.copies.push_back(next->disk);
        }
        out.partitions.push_back(std::move(place));
    }
    return out;
}

const disk_host* choose_replacement(const partition_place& from,
                                    std::string_view replaced,
                                    std::string_view owner_region,
                                    const std::vector<disk_host>& hosts)
{
    const disk_host* best = nullptr;
    int best_rank = 0;
    for (const auto& host : hosts)
    {
        if (!host.keeps || from.holds(host.disk))
            continue;
        int rank = 0;
        if (!zone_taken(hosts, from.copies, host.zone, replaced))
            rank += 2;
        if (host.region == owner_region)
            rank += 1;
        if (best != nullptr && rank <= best_rank)
            continue;
        best = &host;
        best_rank = rank;
    }
    return best;
}

} // namespace amaranthhatch::core::batches
