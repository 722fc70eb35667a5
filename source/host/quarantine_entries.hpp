#pragma once

#include <map>
#include <string>
#include <string_view>

#include "host/shared_quarantine.hpp"
#include "store/async_store.hpp"
#include "store/mirror.hpp"

namespace amaranthhatch::host
{

/// @brief Keeps the quarantined parts in the shared store, for the time after
/// all hosts have been restarted at once.
///
/// Each part is one entry, bound to a lease that ends with its quarantine.
class quarantine_entries
{
public:
    quarantine_entries(store::async_store& store, shared_quarantine& quarantine,
                       std::string prefix);

    /// @brief Merges an entry of the store; ignores keys of other prefixes.
    void load(const store::entry& stored);

    /// @brief Writes the parts that have no entry yet, and removes the entries
    /// of parts that were cleared; to be called often by one host of each zone.
    void save(const store::mirror& listed);

private:
    void remove_cleared(const store::mirror& listed);
    void write(core::quarantine::part_id part, const std::string& key);

    store::async_store& store;
    shared_quarantine& quarantine;
    std::string prefix;
    /// When each part is written next, if it isn't in the store by then.
    std::map<core::quarantine::part_id, core::instant> next_write;
    core::instant next_removal{};
};

} // namespace amaranthhatch::host
