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

/// @brief The initial placement: owners spread evenly over the hosts, copies in
/// different zones where possible.
///
/// Returns nothing where there are fewer hosts than copies.
std::optional<placement> first_placement(std::size_t partitions,
                                         std::size_t copies,
                                         const std::vector<disk_host>& hosts);

/// @brief A move of one copy of a partition to another disk.
struct copy_move
{
    std::string from_disk;
    std::string to_disk;

    bool operator==(const copy_move&) const = default;
};

/// @brief Load of each live disk, and the changes that balance it.
///
/// Counts the planned placement, so that several changes in one write don't
/// overshoot. Proposes a change only where one disk has at least two
/// partitions more than the other: with a smaller difference the two disks
/// would only swap roles. The hosts must outlive this object.
class placement_balance
{
public:
    placement_balance(const placement& planned,
                      const std::vector<disk_host>& hosts);

    /// @brief Partitions that have a copy on a disk.
    std::uint32_t copies(std::string_view disk) const;

    /// @brief Partitions that a disk's host owns.
    std::uint32_t owned(std::string_view disk) const;

    /// @brief The host of another copy that should become the owner of a
    /// partition, or null where no change is needed.
    const disk_host* choose_successor(const partition_place& partition) const;

    /// @brief The best move of one copy of a partition, or nothing.
    ///
    /// A copy that shares its zone with another copy moves first. The owner's
    /// own copy never moves.
    std::optional<copy_move>
    choose_move(const partition_place& partition) const;

    /// @brief The host that should store a partition's copy in place of the
    /// copy on the replaced disk, or null where no host can.
    ///
    /// Prefers zones without another copy, then the disk with the fewest
    /// copies, then the owner's region.
    const disk_host* choose_replacement(const partition_place& partition,
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
