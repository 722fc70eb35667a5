#include "core/peers/zone_view.hpp"

#include <algorithm>

#include "core/hash.hpp"

namespace amaranthhatch::core::peers
{

namespace
{

// Each message contains the changes of so many views, so that a host misses
// something only where as many messages in a row are lost.
constexpr std::uint64_t repeated_views = 3;
// A new list of keys begins where more than half of a list of at least this
// length have had no load for so many views, as after endpoints were replaced.
constexpr std::size_t min_compacted_keys = 64;
constexpr std::uint64_t min_epoch_views = 600;

} // namespace

std::uint64_t capacity_key(std::string_view name)
{
    constexpr std::uint64_t mask = 0xffffffff;
    return hash(name) & mask;
}

void view_sender::begin_epoch(std::uint64_t start)
{
    this->epoch = std::max(this->epoch + 1, start);
    this->epoch_began = this->sequence;
    this->slots.clear();
    this->positions.clear();
}

void view_sender::update(std::span<const endpoint_load> loads,
                         std::uint64_t start)
{
    bool compact = this->slots.size() >= min_compacted_keys &&
                   this->idle * 2 > this->slots.size() &&
                   this->sequence - this->epoch_began >= min_epoch_views;
    if (this->epoch == 0 || compact)
        this->begin_epoch(start);
    this->sequence++;
    std::vector<bool> named(this->slots.size(), false);
    for (const auto& load : loads)
    {
        auto [position, added] = this->positions.try_emplace(
            load.endpoint, static_cast<std::uint32_t>(this->slots.size()));
        if (added)
        {
            this->slots.push_back({load.endpoint, 0, 0, this->sequence, 0});
            named.push_back(true);
        }
        auto& slot = this->slots[position->second];
        named[position->second] = true;
        if (slot.online == load.online && slot.batch == load.batch)
            continue;
        slot.online = load.online;
        slot.batch = load.batch;
        slot.changed = this->sequence;
    }
    this->idle = 0;
    for (std::size_t index = 0; index < this->slots.size(); index++)
    {
        auto& slot = this->slots[index];
        if (!named[index] && slot.online + slot.batch > 0)
        {
            slot.online = 0;
            slot.batch = 0;
            slot.changed = this->sequence;
        }
        bool long_idle = slot.online + slot.batch == 0 &&
                         this->sequence - slot.changed >= min_epoch_views;
        this->idle += long_idle ? 1 : 0;
    }
}

view_message view_sender::since(std::uint64_t base) const
{
    view_message out;
    out.epoch = this->epoch;
    out.sequence = this->sequence;
    out.base = base;
    out.first_key = static_cast<std::uint32_t>(this->slots.size());
    for (std::uint32_t index = 0; index < this->slots.size(); index++)
    {
        const auto& slot = this->slots[index];
        if (slot.added > base)
        {
            out.first_key = std::min(out.first_key, index);
            out.keys.push_back(slot.key);
        }
        bool sent =
            base == 0 ? slot.online + slot.batch > 0 : slot.changed > base;
        if (sent)
            out.loads.push_back({index, slot.online, slot.batch});
    }
    return out;
}

view_message view_sender::changes() const
{
    auto repeated = this->sequence - std::min(this->sequence, repeated_views);
    return this->since(repeated <= this->epoch_began ? 0 : repeated);
}

view_message view_sender::full() const
{
    return this->since(0);
}

void view_receiver::clear()
{
    this->epoch = 0;
    this->sequence = 0;
    this->keys.clear();
    this->current.clear();
}

bool view_receiver::apply(const view_message& message)
{
    bool all = message.base == 0;
    bool same_epoch = message.epoch == this->epoch;
    if (same_epoch && message.sequence < this->sequence)
        return false;
    bool follows = same_epoch && message.base <= this->sequence &&
                   message.first_key <= this->keys.size();
    if (!all && !follows)
        return false;
    auto key_count = message.first_key + message.keys.size();
    if (all && message.first_key != 0)
        return false;
    if (std::any_of(message.loads.begin(), message.loads.end(),
                    [&](const auto& load) { return load.index >= key_count; }))
        return false;
    if (all)
    {
        this->keys.clear();
        this->current.clear();
    }
    this->epoch = message.epoch;
    this->sequence = message.sequence;
    this->keys.resize(all ? 0 : message.first_key);
    this->keys.insert(this->keys.end(), message.keys.begin(),
                      message.keys.end());
    for (const auto& load : message.loads)
    {
        auto key = this->keys[load.index];
        if (load.online + load.batch == 0)
            this->current.erase(key);
        else
            this->current[key] = {key, load.online, load.batch};
    }
    return true;
}

} // namespace amaranthhatch::core::peers
