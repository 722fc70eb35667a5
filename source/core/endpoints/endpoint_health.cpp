// The part of endpoint_table that concerns the health of endpoints as all hosts
// see it.
#include <algorithm>

#include "core/endpoints/endpoint_table.hpp"

namespace amaranthhatch::core::endpoints
{

namespace
{

// A run at an endpoint that has sent nothing to any run for this long counts as
// failed. First events take up to 300 ms, pauses between events up to 500 ms.
constexpr milliseconds stall_limit{500};

} // namespace

std::vector<endpoint_table::candidate>
endpoint_table::without_ejected(std::vector<candidate> from) const
{
    if (this->fleet_health.active())
        std::erase_if(
            from, [this](const candidate& each)
            { return this->fleet_health.is_ejected(each.record->health_key); });
    return from;
}

const endpoint_table::candidate*
endpoint_table::find_trial(std::span<const candidate> from,
                           shared_health::trial_work work, instant now) const
{
    if (!this->fleet_health.active())
        return nullptr;
    auto hosts = this->peer_hosts.all().size() + 1;
    auto found = std::find_if(from.begin(), from.end(),
                              [&](const candidate& each)
                              {
                                  return this->fleet_health.may_try(
                                      each.record->health_key, work, each.total,
                                      hosts, now);
                              });
    return found == from.end() ? nullptr : &*found;
}

int endpoint_table::distance_to(const choice& made) const
{
    return this->distance(this->records.find(made.chosen->id)->second);
}

choice endpoint_table::choose_unsuspected(std::span<const candidate> from,
                                          std::string_view service, instant now,
                                          double uniform) const
{
    const auto& health = this->fleet_health;
    std::vector<candidate> rest(from.begin(), from.end());
    std::erase_if(rest,
                  [&](const candidate& each) {
                      return health.is_suspected(each.record->health_key, now);
                  });
    auto chosen = this->choose_among(rest, service, uniform);
    bool free = chosen.expected_wait == milliseconds(0) && !chosen.preempts;
    // Sound endpoints fail now and then, so one failure sends no request to a
    // farther zone.
    if (chosen.chosen != nullptr && free &&
        this->distance_to(chosen) <=
            this->distance_to(this->choose_among({from.begin(), from.end()},
                                                 service, uniform)))
        return chosen;
    rest.assign(from.begin(), from.end());
    std::erase_if(
        rest, [&](const candidate& each)
        { return health.is_strongly_suspected(each.record->health_key, now); });
    chosen = this->choose_among(rest, service, uniform);
    // A slot is expected in time for most targets.
    bool in_time = chosen.expected_wait <= this->mean_slot_time(service) / 2;
    return in_time ? chosen : choice{};
}

void endpoint_table::record_health(const running_request& ended,
                                   run_outcome result, instant now)
{
    auto& health = this->fleet_health;
    switch (result)
    {
    case run_outcome::answered:
        health.record_answer(ended.health_key, ended.trial, ended.started, now);
        break;
    case run_outcome::broken:
        // A stalled run has been counted already.
        if (!ended.stalled)
            health.record_failure(ended.health_key, peers::failure_kind::broken,
                                  now);
        break;
    case run_outcome::error_status:
        health.record_failure(ended.health_key,
                              peers::failure_kind::error_status, now);
        break;
    case run_outcome::unreachable:
    case run_outcome::refused:
    case run_outcome::replaced:
        if (ended.trial)
            health.record_missed_trial(ended.health_key, now);
        break;
    case run_outcome::abandoned:
        if (ended.trial)
            health.record_missed_trial(ended.health_key, now);
        break;
    case run_outcome::cancelled:
        break;
    }
    health.update(now);
}

void endpoint_table::receive_evidence(const peers::beacon& message, instant now)
{
    if (message.evidence.empty())
        return;
    this->fleet_health.receive(message, now);
    this->fleet_health.update(now);
}

void endpoint_table::check_health(instant now)
{
    for (auto& [id, record] : this->records)
    {
        bool queued = record.online + record.batch > record.info.slots;
        auto limit = stall_limit * (queued ? 2 : 1);
        for (auto& [number, run] : record.runs)
        {
            auto waited_from = std::max(run.started, record.last_progress);
            if (run.stalled || now - waited_from <= limit)
                continue;
            run.stalled = true;
            this->fleet_health.record_failure(
                run.health_key, peers::failure_kind::stalled, now);
        }
    }
    this->fleet_health.update(now);
}

const endpoint* endpoint_table::find_by_health_key(std::uint64_t key) const
{
    for (const auto& [id, record] : this->records)
        if (record.health_key == key)
            return &record.info;
    return nullptr;
}

} // namespace amaranthhatch::core::endpoints
