#include "core/claims/keeper_change.hpp"

#include <algorithm>

namespace amaranthhatch::core::claims
{

namespace
{

auto find(const messages::keeper_set& set, std::string_view name)
{
    return std::find_if(set.keepers.begin(), set.keepers.end(),
                        [&](const auto& one) { return one.name == name; });
}

messages::keeper_history next(const messages::keeper_history& history,
                              std::int64_t unix_ms)
{
    messages::keeper_history changed = history;
    if (history.current.generation > 0)
        changed.earlier.push_back(history.current);
    ++changed.current.generation;
    changed.current.settled_unix_ms = unix_ms;
    return changed;
}

} // namespace

std::vector<messages::keeper>
keepers_to_add(const messages::keeper_history& history,
               std::span<const messages::member> members)
{
    std::vector<messages::keeper> added;
    for (const auto& one : members)
    {
        bool serving = one.does == messages::role::coordinator &&
                       one.state == messages::liveness::alive;
        if (!serving)
            continue;
        auto found = find(history.current, one.name);
        bool listed = found != history.current.keepers.end() &&
                      found->address == one.address && found->zone == one.zone;
        if (!listed)
            added.push_back({one.name, one.zone, one.address, one.boot});
    }
    return added;
}

messages::keeper_history
with_keepers(const messages::keeper_history& history,
             std::span<const messages::keeper> added, std::int64_t unix_ms,
             const std::function<bool(const messages::keeper_set&)>& may_drop)
{
    messages::keeper_history changed = next(history, unix_ms);
    std::erase_if(changed.earlier, may_drop);
    auto& keepers = changed.current.keepers;
    for (const auto& own : added)
    {
        std::erase_if(keepers,
                      [&](const auto& one) { return one.name == own.name; });
        keepers.push_back(own);
    }
    return changed;
}

messages::keeper_history without_keeper(const messages::keeper_history& history,
                                        std::string_view name,
                                        std::int64_t unix_ms)
{
    messages::keeper_history changed = next(history, unix_ms);
    std::erase_if(changed.current.keepers,
                  [&](const auto& one) { return one.name == name; });
    return changed;
}

} // namespace amaranthhatch::core::claims
