#include "host/quarantine_entries.hpp"

#include <algorithm>
#include <set>

#include "host/boot_clock.hpp"
#include "logging/event.hpp"
#include "peers/packing.hpp"

namespace amaranthhatch::host
{

using core::quarantine::part_id;

namespace
{

// The first hosts to write are drawn from this time, so that the others see the
// entry before they write it, too.
constexpr core::milliseconds write_spread{1000};
constexpr core::milliseconds write_retry{5000};
// Entries that are removed at once; the store takes 32 in one change.
constexpr std::size_t most_removals = 8;

} // namespace

quarantine_entries::quarantine_entries(store::async_store& store,
                                       shared_quarantine& quarantine,
                                       std::string prefix)
    : store(store), quarantine(quarantine), prefix(std::move(prefix))
{
}

void quarantine_entries::load(const store::entry& stored)
{
    if (!stored.key.starts_with(this->prefix))
        return;
    if (auto reports = peers::unpack_crashes(stored.value, wall_now_ms()))
        this->quarantine.load(*reports);
}

void quarantine_entries::save(const store::mirror& listed)
{
    this->remove_cleared(listed);
    const auto& quarantined = this->quarantine.quarantined();
    std::erase_if(this->next_write, [&](const auto& each)
                  { return !quarantined.contains(each.first); });
    auto now = boot_now();
    for (const auto& [part, common] : quarantined)
    {
        auto delay = std::chrono::duration_cast<core::milliseconds>(
            write_spread * uniform());
        auto& due =
            this->next_write.try_emplace(part, now + delay).first->second;
        auto key = this->prefix + hex_text(part);
        if (now < due || listed.find(key) != nullptr)
            continue;
        due = now + write_retry;
        this->write(part, key);
    }
}

void quarantine_entries::remove_cleared(const store::mirror& listed)
{
    auto now = boot_now();
    if (now < this->next_removal)
        return;
    this->next_removal = now + write_retry;
    std::set<std::string, std::less<>> needed;
    for (const auto& [part, common] : this->quarantine.quarantined())
        needed.insert(this->prefix + hex_text(part));
    store::change change;
    for (const auto& [key, stored] : listed.entries())
        if (key.starts_with(this->prefix) && !needed.contains(key) &&
            change.removals.size() < most_removals)
        {
            change.conditions.push_back({key, stored.revision});
            change.removals.push_back(key);
        }
    if (!change.removals.empty())
        this->store.commit(change, [](const store::change_result&) {});
}

void quarantine_entries::write(part_id part, const std::string& key)
{
    auto left = this->quarantine.time_left(part);
    auto value =
        peers::pack_crashes(this->quarantine.reports_of(part), wall_now_ms());
    this->store.grant(
        left,
        [this, key, value](const store::lease_result& granted)
        {
            if (granted.result != store::outcome::done)
                return;
            store::change change;
            change.conditions.push_back({key, 0});
            change.writes.push_back({key, value, granted.lease});
            this->store.commit(
                change,
                [key](const store::change_result& response)
                {
                    logging::event(logging::level::info, "quarantine_stored")
                        .with("key", key)
                        .with("result", store::outcome_name(response.result));
                });
        });
}

} // namespace amaranthhatch::host
