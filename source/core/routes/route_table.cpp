#include "core/routes/route_table.hpp"

#include <algorithm>

namespace amaranthhatch::core::routes
{

route_table::route_table(std::uint64_t version, std::vector<route> routes,
                         std::vector<service> services, caller_limits limits,
                         workspaces::workspace_table declared)
    : current_version(version), all_routes(std::move(routes)),
      services(std::move(services)), current_limits(limits),
      declared_workspaces(std::move(declared))
{
    for (std::size_t index = 0; index < this->all_routes.size(); index++)
        this->by_authority[this->all_routes[index].authority].push_back(index);
    for (auto& [authority, indexes] : this->by_authority)
        std::stable_sort(indexes.begin(), indexes.end(),
                         [this](std::size_t left, std::size_t right)
                         {
                             return this->all_routes[left].prefix.size() >
                                    this->all_routes[right].prefix.size();
                         });
}

const route* route_table::match(std::string_view authority,
                                std::string_view path) const
{
    auto found = this->by_authority.find(authority);
    if (found == this->by_authority.end())
        return nullptr;
    for (auto index : found->second)
        if (path.starts_with(this->all_routes[index].prefix))
            return &this->all_routes[index];
    return nullptr;
}

const service* route_table::find_service(std::string_view name) const
{
    for (const auto& candidate : this->services)
        if (candidate.name == name)
            return &candidate;
    return nullptr;
}

std::string_view select_service(const route& matched, double uniform)
{
    double total = 0;
    for (const auto& share : matched.services)
        total += share.weight;
    double remaining = uniform * total;
    for (const auto& share : matched.services)
    {
        remaining -= share.weight;
        if (remaining < 0)
            return share.service;
    }
    return matched.services.empty() ? std::string_view()
                                    : matched.services.back().service;
}

} // namespace amaranthhatch::core::routes
