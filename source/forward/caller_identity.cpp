#include "forward/caller_identity.hpp"

namespace amaranthhatch::forward
{

caller_identity identify_caller(const header_names& names,
                                const core::workspaces::workspace_table& table,
                                const http::header_list& headers)
{
    const http::header* found = nullptr;
    for (const auto& header : headers.all())
    {
        if (!http::header_list::same_name(header.name, names.credentials))
            continue;
        // Two values may be meant for two servers that read different ones.
        if (found != nullptr)
            return {nullptr, "key_duplicate", {}};
        found = &header;
    }
    if (found == nullptr)
        return {nullptr, "key_missing", {}};
    auto key = names.parse_key(found->value);
    if (!key)
        return {nullptr, "key_malformed", {}};
    const auto* holder = table.find_by_key(*key);
    if (holder == nullptr)
        return {nullptr, "key_unknown", *key};
    return {holder, {}, *key};
}

} // namespace amaranthhatch::forward
