#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/hedging/delay_distribution.hpp"
#include "core/instant.hpp"
#include "core/limits/retry_budget.hpp"

namespace amaranthhatch::core::hedging
{

/// @brief The limit that the operator sets for second attempts.
struct hedge_limit
{
    /// Second attempts per hundred first attempts; 0: none, hedging is off.
    std::uint32_t percent = 0;
    /// Second attempts that may be started at once.
    std::uint32_t burst = 10;
};

/// @brief Requests whose first events take similarly long.
struct request_class
{
    std::string_view service;
    /// True for streams, whose first event counts; else the first byte of the
    /// response's body.
    bool stream = false;
    /// Tokens of the prompt; 0: not known.
    std::uint64_t prompt_tokens = 0;
};

/// @brief The state of a request that is without an event, and of its service.
struct hedge_question
{
    request_class kind;
    /// Time since the first attempt was sent.
    milliseconds waited{};
    /// Time until the request's deadline.
    milliseconds time_left{};
    /// Attempts that the route still allows beside the first one.
    std::uint32_t attempts_left = 0;
    /// True if another endpoint has a slot that nothing uses.
    bool alternative_free = false;
    /// Share of the service's slots that online requests don't use, of the
    /// endpoints that may be chosen.
    double free_share = 0;
};

/// @brief Why a second attempt is started or not.
enum class hedge_decision : std::uint8_t
{
    start,
    disabled,
    /// The delay hasn't passed yet.
    early,
    /// Too few first events were measured.
    no_samples,
    /// The route allows no further attempt.
    no_attempts,
    /// A second attempt would hardly answer before the deadline.
    no_time,
    /// Too small a share of the service's slots is free.
    scarce_slots,
    /// No other endpoint has a free slot.
    no_alternative,
    no_budget
};

/// @brief The value of the decision in metrics.
std::string_view decision_name(hedge_decision decision);

/// @brief Decides when a request that may be repeated gets a second attempt at
/// another endpoint (hedged request).
///
/// The delay is a percentile of this host's first events of the same service,
/// form of response and size class of the prompt, and at least three times
/// their median. A budget limits the second attempts to a share of the first
/// ones, with a burst.
class hedge_policy
{
public:
    explicit hedge_policy(hedge_limit limit);

    bool enabled() const { return this->limit.percent > 0; }

    /// @brief Records a first attempt, which earns its share of the budget.
    void record_first_attempt();

    /// @brief Records the time from an attempt's start to its first event.
    ///
    /// An attempt that is closed before counts with the time that it lasted.
    /// Left out, the slowest requests would be missing from the distribution,
    /// and the delay would shrink with each second attempt.
    void record_delay(const request_class& kind, milliseconds delay);

    /// @brief Records a second attempt that isn't subject to the budget: the
    /// move of a stalled stream. It takes a token if there is one.
    void record_unlimited_attempt();

    /// @brief The time after which a request of the class may get a second
    /// attempt; nothing while too few first events were measured.
    std::optional<milliseconds> delay(const request_class& kind) const;

    /// @brief Decides, and takes a token of the budget for a start.
    hedge_decision decide(const hedge_question& asked);

    /// @brief Second attempts per first attempt, of the last thousand or so
    /// first attempts.
    double extra_share() const;

private:
    void record_extra() { this->extra_attempts += 1; }

    hedge_limit limit;
    limits::retry_budget budget;
    std::map<std::string, delay_distribution, std::less<>> distributions;
    /// Both decay with each first attempt.
    double first_attempts = 0;
    double extra_attempts = 0;
};

} // namespace amaranthhatch::core::hedging
