#include "core/hedging/hedge_policy.hpp"

#include <algorithm>
#include <array>

namespace amaranthhatch::core::hedging
{

namespace
{

// Share of the first events that arrive before a second attempt starts.
constexpr double delay_percentile = 0.95;
// With fewer samples, the 95th percentile is decided by one or two of them.
constexpr std::size_t min_samples = 40;
// The first attempt is closed, so the second one has to be likely to answer
// sooner than the first one would have. Where the percentile is near the
// median, the first event is probably due at any moment.
constexpr double min_median_multiple = 3;
// Delays below this are noise of the event loops, not slow endpoints.
constexpr milliseconds min_delay{10};
// No second attempt starts while a smaller share of the service's slots is
// free: at a peak, the queues make first events late, and further attempts
// would lengthen them.
constexpr double min_free_share = 0.25;
// Factor by which the counts behind extra_share() decay at each first attempt.
constexpr double count_decay = 0.999;
// Services times size classes; a configuration has far fewer.
constexpr std::size_t distribution_limit = 512;
// Upper bounds of the size classes in tokens. Processing time grows with the
// prompt, so a factor of four between them keeps classes few and alike.
constexpr std::array<std::uint64_t, 4> size_bounds{256, 1024, 4096, 16384};

std::string key_of(const request_class& kind)
{
    // Unknown sizes are class 0; those of known ones begin with 1.
    auto position = std::upper_bound(size_bounds.begin(), size_bounds.end(),
                                     kind.prompt_tokens) -
                    size_bounds.begin();
    auto size_class = kind.prompt_tokens == 0 ? 0 : position + 1;
    std::string key(kind.service);
    key += kind.stream ? "/stream/" : "/plain/";
    key += std::to_string(size_class);
    return key;
}

} // namespace

std::string_view decision_name(hedge_decision decision)
{
    constexpr std::string_view names[] = {
        "start",        "disabled",       "early",
        "no_samples",   "no_attempts",    "no_time",
        "scarce_slots", "no_alternative", "no_budget"};
    return names[static_cast<std::size_t>(decision)];
}

hedge_policy::hedge_policy(hedge_limit limit)
    : limit(limit), budget(limit.percent / 100.0, limit.burst)
{
}

void hedge_policy::record_first_attempt()
{
    this->budget.earn();
    this->first_attempts = this->first_attempts * count_decay + 1;
    this->extra_attempts *= count_decay;
}

void hedge_policy::record_delay(const request_class& kind, milliseconds delay)
{
    auto key = key_of(kind);
    auto found = this->distributions.find(key);
    if (found == this->distributions.end())
    {
        // Services of configurations that are no longer in force.
        if (this->distributions.size() >= distribution_limit)
            this->distributions.clear();
        found =
            this->distributions.emplace(std::move(key), delay_distribution())
                .first;
    }
    found->second.add(delay);
}

void hedge_policy::record_unlimited_attempt()
{
    this->budget.spend();
    this->record_extra();
}

std::optional<milliseconds> hedge_policy::delay(const request_class& kind) const
{
    auto found = this->distributions.find(key_of(kind));
    if (found == this->distributions.end() ||
        found->second.samples() < min_samples)
        return std::nullopt;
    auto typical = std::chrono::duration_cast<milliseconds>(
        *found->second.quantile(0.5) * min_median_multiple);
    return std::max(
        {min_delay, typical, *found->second.quantile(delay_percentile)});
}

hedge_decision hedge_policy::decide(const hedge_question& asked)
{
    if (!this->enabled())
        return hedge_decision::disabled;
    auto threshold = this->delay(asked.kind);
    if (!threshold)
        return hedge_decision::no_samples;
    if (asked.waited < *threshold)
        return hedge_decision::early;
    if (asked.attempts_left == 0)
        return hedge_decision::no_attempts;
    if (asked.time_left < *threshold)
        return hedge_decision::no_time;
    if (asked.free_share < min_free_share)
        return hedge_decision::scarce_slots;
    if (!asked.alternative_free)
        return hedge_decision::no_alternative;
    if (!this->budget.spend())
        return hedge_decision::no_budget;
    this->record_extra();
    return hedge_decision::start;
}

double hedge_policy::extra_share() const
{
    return this->first_attempts > 0
               ? this->extra_attempts / this->first_attempts
               : 0;
}

} // namespace amaranthhatch::core::hedging
