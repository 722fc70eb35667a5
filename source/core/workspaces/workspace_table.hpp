#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/workspaces/workspace.hpp"

namespace amaranthhatch::core::workspaces
{

/// @brief A key that a second workspace holds as well.
struct key_conflict
{
    std::string holder;
    std::string ignored;
};

/// @brief The workspaces of one version of the configuration, found by key.
class workspace_table
{
public:
    /// @brief A configuration without workspaces, in which callers need no key.
    workspace_table() = default;

    /// @brief A configuration in which callers need the key of a workspace.
    ///
    /// A key of two workspaces belongs to the first.
    explicit workspace_table(std::vector<workspace> declared);

    /// @brief True if callers need a key.
    bool keys_required() const { return this->required; }

    /// @brief The workspace that holds a key, or null.
    ///
    /// Compares keys in constant time, so that response times don't tell how
    /// much of a guessed key is right.
    const workspace* find_by_key(std::string_view key) const;

    const workspace* find(std::string_view name) const;

    std::span<const workspace> all() const { return this->declared; }
    std::span<const key_conflict> conflicts() const
    {
        return this->conflicting;
    }

private:
    struct key_entry
    {
        std::string key;
        std::size_t holder = 0;
    };

    bool required = false;
    std::vector<workspace> declared;
    std::vector<key_conflict> conflicting;
    /// By hash of the key; keys whose hashes collide follow each other.
    std::multimap<std::uint64_t, key_entry> by_key;
};

/// @brief Keys that were withdrawn, as hashes; for logs and counters only.
class revoked_keys
{
public:
    /// @brief Records the keys of the old table that the new one lacks.
    void record(const workspace_table& before, const workspace_table& after);

    /// @brief True if the key was withdrawn since the process started.
    bool contains(std::string_view key) const;

private:
    std::map<std::uint64_t, std::uint64_t> order_by_hash;
    std::uint64_t next_order = 0;
};

} // namespace amaranthhatch::core::workspaces
