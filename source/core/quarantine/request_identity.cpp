#include "core/quarantine/request_identity.hpp"

#include "core/hash.hpp"

namespace amaranthhatch::core::quarantine
{

part_id identify_request(const request_content& content)
{
    std::uint64_t id = 0;
    for (auto field : {content.method, content.authority, content.target,
                       content.prompt, content.body})
        id = hash(field, id);
    return id | request_mark;
}

} // namespace amaranthhatch::core::quarantine
