#include "core/members/rendezvous.hpp"

#include <algorithm>
#include <utility>

#include "core/hash.hpp"

namespace amaranthhatch::core::members
{

namespace
{

template <typename Member>
std::vector<Member> order(std::string_view key, std::span<const Member> all)
{
    std::uint64_t seed = hash(key);
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
    ranked.reserve(all.size());
    for (std::size_t index = 0; index < all.size(); ++index)
        ranked.emplace_back(hash(all[index].name, seed), index);
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<Member> ordered;
    ordered.reserve(all.size());
    for (const auto& [weight, index] : ranked)
        ordered.push_back(all[index]);
    return ordered;
}

} // namespace

std::vector<messages::member>
rendezvous_order(std::string_view key,
                 std::span<const messages::member> members)
{
    return order(key, members);
}

std::vector<messages::member>
coordinators_for(std::string_view group, std::string_view region,
                 std::span<const messages::member> members)
{
    std::vector<messages::member> candidates;
    for (const auto& member : members)
    {
        bool usable = member.process_role == messages::role::coordinator &&
                      (member.state == messages::liveness::alive ||
                       member.state == messages::liveness::suspect);
        if (usable)
            candidates.push_back(member);
    }
    auto ordered = order<messages::member>(group, candidates);
    std::stable_partition(ordered.begin(), ordered.end(),
                          [&](const auto& member)
                          { return member.region == region; });
    return ordered;
}

} // namespace amaranthhatch::core::members
