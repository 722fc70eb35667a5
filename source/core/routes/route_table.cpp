#include "core/routes/route_table.hpp"

#include <algorithm>

namespace amaranthhatch::core::routes
{

route_table::route_table(std::uint64_t version, std::vector<route> routes,
                         std::vector<service> services, caller_limits limits)
    : table_version(version), all(std::move(routes)),
      services(std::move(services)), caller(limits)
{
    for (std::size_t at = 0; at < this->all.size(); at++)
        this->by_authority[this->all[at].authority].push_back(at);
    for (auto& [authority, places] : this->by_authority)
        std::stable_sort(places.begin(), places.end(),
                         [this](std::size_t left, std::size_t right) {
                             return this->all[left].prefix.size() >
                                    this->all[right].prefix.size();
                         });
}

const route* route_table::match(std::string_view authority,
                                std::string_view path) const
{
    auto found = this->by_authority.find(authority);
    if (found == this->by_authority.end())
        return nullptr;
    for (auto at : found->second)
        if (path.starts_with(this->all[at].prefix))
            return &this->all[at];
    return nullptr;
}

const service* route_table::find_service(std::string_view name) const
{
    for (const auto& each : this->services)
        if (each.name == name)
            return &each;
    return nullptr;
}

std::string_view select_service(const route& from, double uniform)
{
    double total = 0;
    for (const auto& share : from.services)
        total += share.weight;
    double left = uniform * total;
    for (const auto& share : from.services)
    {
        left -= share.weight;
        if (left < 0)
            return share.service;
    }
    return from.services.empty() ? std::string_view()
                                 : from.services.back().service;
}

} // namespace amaranthhatch::core::routes
