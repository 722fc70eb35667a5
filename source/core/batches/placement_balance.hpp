#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/batches/placement.hpp"

namespace amaranthhatch::core::batches
{

/// @brief The first placement: spread over hosts, copies in different zones.
///
/// Nothing where fewer than copies hosts are there.
std::optional<placement> first_placement(std::size_t partitions,
                                         std::size_t copies,
                                         const std::vector<disk_host>& hosts);

/// @brief A copy of a partition that is to lie on another disk.
struct copy_move
{
    std::string from_disk;
    std::string to_disk;

    bool operator==(const copy_move&) const = default;
};

/// @brief What each live disk carries, and the changes that even it out.
///
/// Counts a placement as it is planned, so that several changes in one write
/// don't go too far. A change is proposed only where one disk carries at
/// least two more than the other: a smaller difference would only swap them.
/// The hosts must outlive it.
class placement_balance
{
public:
    placement_balance(const placement& planned,
                      const std::vector<disk_host>& hosts);

    /// @brief Partitions that have a copy on a disk.
    std::uint32_t copies(std::string_view disk) const;

    /// @brief Partitions that a disk's host owns.
    std::uint32_t owned(std::string_view disk) const;

    /// @brief The host of another copy that should own a partition, or null.
    const disk_host* choose_successor(const partition_place& of) const;

    /// @brief Where one copy of a partition should move, or nothing.
    ///
    /// A copy that shares its zone with another one goes first. The owner's
    /// own copy stays.
    std::optional<copy_move> choose_move(const partition_place& of) const;

    /// @brief The host that takes the place of one copy, or null.
    ///
    /// Zones that have no other copy go first, then the disk that carries the
    /// least, then the owner's region.
    const disk_host* choose_replacement(const partition_place& from,
                                        std::string_view replaced,
                                        std::string_view owner_region) const;

private:
    struct load
    {
        std::uint32_t copies = 0;
        std::uint32_t owned = 0;
    };

    load load_of(std::string_view disk) const;
    const disk_host* find_host(std::string_view disk) const;
    bool zone_has_copy(const std::vector<std::string>& copies,
                       std::string_view zone, std::string_view except) const;

    const std::vector<disk_host>* hosts;
    std::map<std::string, load, std::less<>> loads;
};

} // namespace amaranthhatch::core::batches
