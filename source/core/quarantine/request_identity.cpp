#include "core/quarantine/request_identity.hpp"

#include <algorithm>
#include <cctype>
#include <string>

#include "core/hash.hpp"

namespace amaranthhatch::core::quarantine
{

namespace
{

// Callers may name a host in any case, with its port or without.
std::string host_name(std::string_view authority)
{
    std::string name(authority.substr(0, authority.find(':')));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char each) { return std::tolower(each); });
    return name;
}

} // namespace

part_id identify_request(const request_content& content)
{
    std::uint64_t id = 0;
    auto host = host_name(content.authority);
    for (auto field : {content.method, std::string_view(host), content.target,
                       content.prompt, content.body})
        id = hash(field, id);
    return id | request_mark;
}

} // namespace amaranthhatch::core::quarantine
