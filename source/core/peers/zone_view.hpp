#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <vector>

#include "core/instant.hpp"
#include "core/peers/endpoint_load.hpp"

namespace amaranthhatch::core::peers
{

/// @brief Free slots of a service's endpoints in one zone.
struct zone_capacity
{
    /// Hash of the zone's name, 32 bits.
    std::uint64_t zone = 0;
    /// Hash of the service's name, 32 bits.
    std::uint64_t service = 0;
    std::uint32_t free = 0;
};

/// @brief The number by which messages name a zone or a service.
std::uint64_t capacity_key(std::string_view name);

/// @brief What the lead of a large zone tells its hosts: the loads of the
/// zone's endpoints as far as they changed, and the free slots of other zones.
///
/// Endpoints are named by their position in a list of keys, which only grows
/// within an epoch.
struct view_message
{
    struct indexed_load
    {
        std::uint32_t index = 0;
        std::uint32_t online = 0;
        std::uint32_t batch = 0;
    };

    /// Identifies the list of keys.
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    /// The changes are those since this sequence number; 0: all loads.
    std::uint64_t base = 0;
    /// Position of the first of the keys.
    std::uint32_t first_key = 0;
    std::vector<std::uint64_t> keys;
    /// In the order of their positions.
    std::vector<indexed_load> loads;
    std::vector<zone_capacity> capacities;
};

/// @brief The lead's side: numbers the views and remembers what changed.
class view_sender
{
public:
    /// @brief Sets the loads of the next view; endpoints not named have none.
    void update(std::span<const endpoint_load> loads, std::uint64_t start);

    /// @brief The changes of the last views, so that a lost message leaves no
    /// gap.
    view_message changes() const;

    /// @brief All loads and keys.
    view_message full() const;

private:
    struct slot
    {
        std::uint64_t key = 0;
        std::uint32_t online = 0;
        std::uint32_t batch = 0;
        std::uint64_t added = 0;
        std::uint64_t changed = 0;
    };

    view_message since(std::uint64_t base) const;
    void begin_epoch(std::uint64_t start);

    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::uint64_t epoch_began = 0;
    std::size_t idle = 0;
    std::vector<slot> slots;
    std::map<std::uint64_t, std::uint32_t> positions;
};

/// @brief A host's side: the loads as of the last view that arrived.
class view_receiver
{
public:
    /// @brief Applies a view; false where views before it are missing, and
    /// where it is older than the last.
    bool apply(const view_message& message);

    const std::map<std::uint64_t, endpoint_load>& loads() const
    {
        return this->current;
    }

    void clear();

private:
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::vector<std::uint64_t> keys;
    std::map<std::uint64_t, endpoint_load> current;
};

} // namespace amaranthhatch::core::peers
