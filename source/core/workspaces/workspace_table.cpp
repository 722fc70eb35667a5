#include "core/workspaces/workspace_table.hpp"

#include <algorithm>

#include "core/hash.hpp"

namespace amaranthhatch::core::workspaces
{

namespace
{

// Withdrawn keys that are remembered; some hundred are withdrawn in a day.
constexpr std::size_t revoked_limit = 4096;

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    unsigned char difference = 0;
    for (std::size_t index = 0; index < left.size(); index++)
        difference |= static_cast<unsigned char>(left[index] ^ right[index]);
    return difference == 0;
}

} // namespace

workspace_table::workspace_table(std::vector<workspace> workspaces)
    : required(true), declared(std::move(workspaces))
{
    for (std::size_t index = 0; index < this->declared.size(); index++)
        for (const auto& key : this->declared[index].keys)
        {
            const auto* holder = this->find_by_key(key);
            if (holder == nullptr)
                this->by_key.emplace(hash(key), key_entry{key, index});
            else if (holder != &this->declared[index])
                this->conflicting.push_back(
                    {holder->name, this->declared[index].name});
        }
}

const workspace* workspace_table::find_by_key(std::string_view key) const
{
    auto [first, last] = this->by_key.equal_range(hash(key));
    const workspace* found = nullptr;
    for (auto position = first; position != last; ++position)
        if (equal_in_constant_time(position->second.key, key))
            found = &this->declared[position->second.holder];
    return found;
}

const workspace* workspace_table::find(std::string_view name) const
{
    auto found = std::find_if(this->declared.begin(), this->declared.end(),
                              [name](const workspace& each)
                              { return each.name == name; });
    return found == this->declared.end() ? nullptr : &*found;
}

void revoked_keys::record(const workspace_table& before,
                          const workspace_table& after)
{
    for (const auto& workspace : before.all())
        for (const auto& key : workspace.keys)
            if (after.find_by_key(key) == nullptr)
                this->order_by_hash[hash(key)] = this->next_order++;
    while (this->order_by_hash.size() > revoked_limit)
        this->order_by_hash.erase(std::min_element(
            this->order_by_hash.begin(), this->order_by_hash.end(),
            [](const auto& left, const auto& right)
            { return left.second < right.second; }));
}

bool revoked_keys::contains(std::string_view key) const
{
    return this->order_by_hash.contains(hash(key));
}

} // namespace amaranthhatch::core::workspaces
