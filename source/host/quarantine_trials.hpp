#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "core/quarantine/trial_schedule.hpp"
#include "host/shared_quarantine.hpp"
#include "host/trial_permit.hpp"
#include "store/async_store.hpp"
#include "store/mirror.hpp"

namespace amaranthhatch::host
{

/// @brief Who waits for a trial of a quarantined part.
enum class trial_user : std::uint8_t
{
    /// An item, which stays owed as long as it isn't run.
    item,
    /// A request, whose caller can be refused.
    request
};

/// @brief The trials that end a quarantine whose part crashes nothing.
///
/// A trial is claimed as an entry of the shared store, so that the whole fleet
/// runs few of them, whatever hosts restart or are cut off. While the store is
/// away no trial is claimed.
class quarantine_trials
{
public:
    /// @brief Stores claims under a prefix; the holder names this process.
    quarantine_trials(store::async_store& store,
                      const shared_quarantine& quarantine, std::string prefix,
                      std::string holder);

    /// @brief Permits a run of a blocked request or item if this host holds a
    /// trial for each part that it is blocked for; else claims them in time.
    std::shared_ptr<trial_permit>
    admit(std::span<const core::quarantine::part_id> parts, trial_user user);

    /// @brief Reads the claims of all hosts, and sends and returns those that
    /// are due; to be called often.
    void check(const store::mirror& listed);

    /// @brief Removes the claims of parts that haven't been quarantined for
    /// some time; to be called often by one host of each zone.
    void remove_unneeded(const store::mirror& listed);

private:
    using claim = core::quarantine::trial_schedule::claim;

    std::optional<claim> parse(std::string_view key) const;
    void send(const claim& due);
    void write(const claim& due, std::uint64_t lease);
    void give_back(const claim& returned);
    std::string key_of(const claim& wanted) const;

    store::async_store& store;
    const shared_quarantine& quarantine;
    std::string prefix;
    std::string holder;
    std::shared_ptr<core::quarantine::trial_schedule> schedule;
    /// The leases of this host's claims, by key.
    std::map<std::string, std::uint64_t> leases;
    /// Since when the parts of these claims aren't quarantined.
    std::map<std::string, core::instant> unneeded_since;
    core::instant next_removal{};
};

} // namespace amaranthhatch::host
