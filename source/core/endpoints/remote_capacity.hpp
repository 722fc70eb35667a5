#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace amaranthhatch::core::endpoints
{

/// @brief Draws endpoints of zones of which only the free slots are known, not
/// the loads of each endpoint.
///
/// The views must outlive the object.
class remote_capacity
{
public:
    /// @brief An endpoint of such a zone.
    struct member
    {
        std::string_view zone;
        double slots = 0;
        /// Requests that this host knows of.
        double used = 0;
        /// Slots that the request may not use.
        double withheld = 0;
        /// Steps of distance; larger in other regions.
        int distance = 0;
    };

    /// @brief Adds an endpoint; free is the number of free slots of its zone.
    void add(const member& added, double free);

    bool empty() const { return this->members.empty(); }

    /// @brief Free slots that a request may use, of all zones.
    double free_slots() const;

    /// @brief Free slots of the nearest region that has any.
    double nearest_free_slots() const;

    /// @brief Draws an endpoint of the nearest region with free slots, each in
    /// proportion to its slots and its zone's free share. Returns the position
    /// in the order of addition; nothing where no zone has a free slot.
    std::optional<std::size_t> draw(double uniform) const;

private:
    struct zone_sum
    {
        double free = 0;
        double slots = 0;
        double withheld = 0;
        int distance = 0;

        double usable() const
        {
            return this->free > this->withheld ? this->free - this->withheld
                                               : 0;
        }
    };

    int nearest() const;
    double weight(const member& each) const;

    std::vector<member> members;
    std::map<std::string_view, zone_sum> zones;
};

} // namespace amaranthhatch::core::endpoints
