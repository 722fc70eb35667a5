#include "host/quarantine_trials.hpp"

#include <algorithm>
#include <charconv>

#include "host/boot_clock.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::host
{

using core::quarantine::part_id;

namespace
{

// The hosts that want a trial claim it at random moments of this time, so that
// most of them see another's claim before they send theirs.
constexpr core::milliseconds claim_spread{300};
// Items claim before requests: their carrier is sure to be there for the trial.
constexpr core::milliseconds request_delay{1000};
// A part that was released is often reported once more by a host that was cut
// off; its claims are kept for this time.
constexpr core::milliseconds kept_after_release{20000};
constexpr core::milliseconds removal_interval{5000};
// Entries that are removed at once; the store takes 32 in one change.
constexpr std::size_t most_removals = 8;
constexpr char separator = '-';

} // namespace

quarantine_trials::quarantine_trials(store::async_store& store,
                                     const shared_quarantine& quarantine,
                                     std::string prefix, std::string holder)
    : store(store), quarantine(quarantine), prefix(std::move(prefix)),
      holder(std::move(holder)),
      schedule(std::make_shared<core::quarantine::trial_schedule>(
          core::quarantine::trial_schedule::limits{}))
{
}

std::shared_ptr<trial_permit>
quarantine_trials::admit(std::span<const part_id> parts, trial_user user)
{
    auto blocking = this->quarantine.blocking(parts);
    auto now = boot_now();
    auto delay = std::chrono::duration_cast<core::milliseconds>(claim_spread *
                                                                uniform());
    if (user == trial_user::request)
        delay += request_delay;
    // A trial of one part is of no use where another can't be tried.
    bool useful = std::all_of(blocking.begin(), blocking.end(),
                              [this](part_id part)
                              { return this->schedule->available(part); });
    if (!useful)
        return nullptr;
    bool holds_all = !blocking.empty();
    for (auto part : blocking)
    {
        this->schedule->want(part, delay, now);
        holds_all = holds_all && this->schedule->holds(part);
    }
    if (!holds_all)
        return nullptr;
    return std::make_shared<trial_permit>(this->schedule, std::move(blocking));
}

std::optional<quarantine_trials::claim>
quarantine_trials::parse(std::string_view key) const
{
    if (!key.starts_with(this->prefix))
        return std::nullopt;
    key.remove_prefix(this->prefix.size());
    claim out;
    constexpr int hexadecimal = 16;
    auto end = key.data() + key.size();
    auto part = std::from_chars(key.data(), end, out.part, hexadecimal);
    if (part.ec != std::errc() || part.ptr == end || *part.ptr != separator)
        return std::nullopt;
    auto number = std::from_chars(part.ptr + 1, end, out.number);
    if (number.ec != std::errc() || number.ptr != end)
        return std::nullopt;
    return out;
}

void quarantine_trials::check(const store::mirror& listed)
{
    auto now = boot_now();
    std::vector<part_id> quarantined;
    for (const auto& [part, common] : this->quarantine.quarantined())
        quarantined.push_back(part);
    this->schedule->set_quarantined(quarantined, now);
    for (const auto& returned : this->schedule->due_returns(now))
        this->give_back(returned);
    if (quarantined.empty())
        return this->leases.clear();
    const auto& entries = listed.entries();
    for (auto each = entries.lower_bound(this->prefix);
         each != entries.end() && each->first.starts_with(this->prefix); each++)
    {
        auto claimed = this->parse(each->first);
        if (!claimed)
            continue;
        claimed->revision = each->second.revision;
        // The answer to this host's own claim may have been lost.
        if (each->second.value == this->holder)
            this->schedule->grant(*claimed, now);
        else if (each->second.value.empty())
            this->schedule->record_return(*claimed);
        else
            this->schedule->record_claim(*claimed, now);
    }
    for (const auto& due : this->schedule->due_claims(now))
        this->send(due);
}

void quarantine_trials::send(const claim& due)
{
    this->store.grant(this->quarantine.time_left(due.part),
                      [this, due](const store::lease_result& granted)
                      {
                          if (granted.result == store::outcome::done)
                              this->write(due, granted.lease);
                      });
}

void quarantine_trials::write(const claim& due, std::uint64_t lease)
{
    auto key = this->key_of(due);
    store::change change;
    change.conditions.push_back({key, due.revision});
    change.writes.push_back({key, this->holder, lease});
    this->store.commit(
        change,
        [this, due, lease](const store::change_result& response)
        {
            auto now = boot_now();
            if (response.result == store::outcome::done)
                this->schedule->grant({due.part, due.number, response.revision},
                                      now);
            if (response.result == store::outcome::conflict)
            {
                this->schedule->record_claim(due, now);
                this->store.revoke(lease, [](const store::lease_result&) {});
            }
            logging::event(logging::level::info, "trial_claimed")
                .with("part", hex_text(due.part))
                .with("number", due.number)
                .with("result", store::outcome_name(response.result));
        });
}

// The entry stays without a holder, as other hosts take one that is missing for
// a claim whose lease has lapsed.
void quarantine_trials::give_back(const claim& returned)
{
    auto key = this->key_of(returned);
    auto lease = this->leases.find(key);
    if (lease == this->leases.end())
        return;
    store::change change;
    change.conditions.push_back({key, returned.revision});
    change.writes.push_back({key, "", lease->second});
    this->leases.erase(lease);
    this->store.commit(
        change,
        [returned](const store::change_result& response)
        {
            logging::event(logging::level::info, "trial_returned")
                .with("part", hex_text(returned.part))
                .with("number", returned.number)
                .with("result", store::outcome_name(response.result));
        });
}

std::string quarantine_trials::key_of(const claim& wanted) const
{
    return this->prefix + hex_text(wanted.part) + separator +
           std::to_string(wanted.number);
}

void quarantine_trials::remove_unneeded(const store::mirror& listed)
{
    auto now = boot_now();
    if (now < this->next_removal)
        return;
    this->next_removal = now + removal_interval;
    const auto& quarantined = this->quarantine.quarantined();
    std::map<std::string, core::instant> unneeded;
    store::change change;
    const auto& entries = listed.entries();
    for (auto each = entries.lower_bound(this->prefix);
         each != entries.end() && each->first.starts_with(this->prefix); each++)
    {
        auto claimed = this->parse(each->first);
        if (claimed && quarantined.contains(claimed->part))
            continue;
        auto known = this->unneeded_since.find(each->first);
        auto since = known == this->unneeded_since.end() ? now : known->second;
        unneeded[each->first] = since;
        if (now - since < kept_after_release ||
            change.removals.size() >= most_removals)
            continue;
        change.conditions.push_back({each->first, each->second.revision});
        change.removals.push_back(each->first);
    }
    this->unneeded_since = std::move(unneeded);
    if (!change.removals.empty())
        this->store.commit(change, [](const store::change_result&) {});
}

} // namespace amaranthhatch::host
