#include "core/quarantine/trial_schedule.hpp"

#include <algorithm>

namespace amaranthhatch::core::quarantine
{

namespace
{

constexpr std::size_t most_grants_kept = 1024;

} // namespace

trial_schedule::trial_schedule(limits bounds) : bounds(bounds) {}

void trial_schedule::set_quarantined(const std::vector<part_id>& quarantined,
                                     instant now)
{
    std::erase_if(this->parts,
                  [&](const auto& each)
                  {
                      return std::find(quarantined.begin(), quarantined.end(),
                                       each.first) == quarantined.end();
                  });
    for (auto part : quarantined)
    {
        auto [state, added] = this->parts.try_emplace(part);
        if (added)
            state->second.next_claim = now + this->bounds.first_delay;
    }
}

void trial_schedule::record_claim(const claim& claimed, instant now)
{
    auto found = this->parts.find(claimed.part);
    if (found == this->parts.end())
        return;
    auto& trial = found->second.trials[claimed.number];
    if (trial.revision >= claimed.revision)
        return;
    trial = {true, claimed.revision};
    found->second.next_claim =
        std::max(found->second.next_claim, now + this->bounds.next_delay);
}

void trial_schedule::record_return(const claim& returned)
{
    auto found = this->parts.find(returned.part);
    if (found == this->parts.end())
        return;
    auto& trial = found->second.trials[returned.number];
    if (trial.revision < returned.revision)
        trial = {false, returned.revision};
}

void trial_schedule::grant(const claim& claimed, instant now)
{
    auto found = this->parts.find(claimed.part);
    if (found == this->parts.end())
        return;
    auto& last = this->granted[claimed.part];
    if (claimed.revision > last.revision)
    {
        last = claimed;
        found->second.held = true;
        this->forget_oldest_grant();
    }
    this->record_claim(claimed, now);
}

void trial_schedule::forget_oldest_grant()
{
    if (this->granted.size() > most_grants_kept)
        this->granted.erase(std::min_element(
            this->granted.begin(), this->granted.end(),
            [](const auto& left, const auto& right)
            { return left.second.revision < right.second.revision; }));
}

bool trial_schedule::wanted(const part_state& state, instant now) const
{
    return state.wanted_since &&
           now - state.wanted_at < this->bounds.wanted_time;
}

void trial_schedule::want(part_id part, milliseconds delay, instant now)
{
    auto found = this->parts.find(part);
    if (found == this->parts.end())
        return;
    auto& state = found->second;
    if (this->wanted(state, now))
        state.claim_delay = std::min(state.claim_delay, delay);
    else
    {
        state.wanted_since = now;
        state.claim_delay = delay;
    }
    state.wanted_at = now;
}

std::optional<trial_schedule::claim>
trial_schedule::free_trial(part_id part, const part_state& state) const
{
    for (std::uint32_t number = 1; number <= this->bounds.trials; number++)
    {
        auto known = state.trials.find(number);
        if (known == state.trials.end())
            return claim{part, number, 0};
        if (!known->second.claimed)
            return claim{part, number, known->second.revision};
    }
    return std::nullopt;
}

std::vector<trial_schedule::claim> trial_schedule::due_claims(instant now)
{
    std::vector<claim> due;
    for (auto& [part, state] : this->parts)
    {
        if (!this->wanted(state, now) || state.held ||
            now < std::max(state.next_claim, *state.wanted_since) +
                      state.claim_delay)
            continue;
        auto trial = this->free_trial(part, state);
        if (!trial)
            continue;
        state.next_claim = now + this->bounds.claim_retry;
        due.push_back(*trial);
    }
    return due;
}

std::vector<trial_schedule::claim> trial_schedule::due_returns(instant now)
{
    std::vector<claim> due;
    std::swap(due, this->answered);
    for (auto& [part, state] : this->parts)
    {
        if (!state.held || this->wanted(state, now))
            continue;
        state.held = false;
        due.push_back(this->granted[part]);
    }
    return due;
}

void trial_schedule::record_answer(part_id part)
{
    if (auto found = this->granted.find(part); found != this->granted.end())
        this->answered.push_back(found->second);
}

bool trial_schedule::available(part_id part) const
{
    auto found = this->parts.find(part);
    return found != this->parts.end() &&
           (found->second.held ||
            this->free_trial(part, found->second).has_value());
}

bool trial_schedule::holds(part_id part) const
{
    auto found = this->parts.find(part);
    return found != this->parts.end() && found->second.held;
}

void trial_schedule::use(part_id part)
{
    if (auto found = this->parts.find(part); found != this->parts.end())
        found->second.held = false;
}

void trial_schedule::give_back(part_id part)
{
    if (auto found = this->parts.find(part); found != this->parts.end())
        found->second.held = true;
}

} // namespace amaranthhatch::core::quarantine
