#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/hedging/hedge_policy.hpp"
#include "host/host_runtime.hpp"

namespace amaranthhatch::forward
{

/// @brief The second attempt of one online request: when it is due, whether it
/// may start, and what its metrics say.
///
/// The second attempt replaces the first one, which is closed at once. Without
/// a limit for second attempts it does nothing.
class request_hedge
{
public:
    request_hedge(host::host_runtime& runtime,
                  core::hedging::hedge_policy& policy,
                  core::hedging::request_class kind);

    /// @brief Records the start of an attempt.
    void on_sent(core::instant now);

    /// @brief Records the first event of the current attempt.
    void on_first_event(core::instant now);

    /// @brief Records that the current attempt ended or is closed.
    void on_attempt_ended() { this->waiting = false; }

    /// @brief Records that a stalled stream moves to another endpoint.
    void on_stall_move(core::instant now);

    /// @brief Time until the second attempt may be due; nothing if none will.
    std::optional<core::milliseconds> time_until_due(core::instant now) const;

    /// @brief True if the current attempt has been without an event for the
    /// delay; never without a limit for second attempts.
    bool is_due(core::instant now) const;

    /// @brief The request's state that only the request knows.
    struct request_state
    {
        std::string_view endpoint;
        std::span<const std::string> excluded;
        std::uint32_t attempts_left = 0;
        core::milliseconds time_left{};
    };

    /// @brief Returns the endpoint for a second attempt that starts now, or
    /// null. The caller closes the first attempt and sends the second one.
    const core::endpoints::endpoint* start(const request_state& state,
                                           core::instant now);

    /// @brief True if a second attempt was started.
    bool started() const { return this->hedged; }

    /// @brief Records the end of the request.
    void on_finished();

private:
    void count_denied(core::hedging::hedge_decision decision);

    host::host_runtime& runtime;
    core::hedging::hedge_policy& policy;
    std::string service;
    core::hedging::request_class kind;
    core::instant sent{};
    /// True while an attempt is without an event.
    bool waiting = false;
    bool first_sent = false;
    bool hedged = false;
    bool won = false;
    /// True once a reason not to start was counted; each request counts one.
    bool denied = false;
};

} // namespace amaranthhatch::forward
