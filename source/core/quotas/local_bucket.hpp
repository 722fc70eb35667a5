#pragma once

#include <cstdint>
#include <optional>

#include "core/quotas/quota_messages.hpp"
#include "core/quotas/rate_estimate.hpp"
#include "core/workspaces/workspace.hpp"

namespace amaranthhatch::core::quotas
{

/// @brief Whether a request is admitted.
struct admission
{
    bool admitted = false;
    /// Time until a token is expected for the caller; set if not admitted.
    milliseconds retry_after{};
};

/// @brief One host's view of a workspace's bucket, by which it admits requests
/// without asking the bucket's owner first.
///
/// Answers the load of one workspace that sends many times its limit through
/// all hosts at once. The host deducts its own admissions at once and expects
/// the others' to go on as the owner last told. Where fewer tokens are left
/// than all hosts ask for until they hear of each other, it admits only a share
/// at random, so that they don't all spend the same tokens. A host that no
/// owner answers admits its share of the limit.
class local_bucket
{
public:
    /// @brief depth: tokens of a full bucket.
    local_bucket(workspaces::rate_limit limit, double depth, instant now);

    void set_limit(workspaces::rate_limit changed, double changed_depth,
                   instant now);

    /// @brief Decides on a request; uniform lies in [0, 1), hosts is the number
    /// of hosts that admit requests.
    admission admit(instant now, double uniform, std::size_t hosts);

    /// @brief Returns the token of an admitted request that wasn't run.
    void give_back() { this->admitted_count--; }

    /// @brief True if there are counts that the owner hasn't answered yet.
    bool has_report() const;

    /// @brief The report for the owner; records that it is sent.
    usage_report make_report(std::uint64_t workspace, instant now);

    /// @brief Takes over a state from the owner. sent_at: when this host sent
    /// the report that is answered.
    void receive(const bucket_state& state, std::optional<instant> sent_at,
                 instant now);

    /// @brief True if reports were sent and none was answered for the timeout.
    bool unanswered(instant now) const;

    /// @brief Restarts the wait for an answer, as another owner is asked.
    void ask_next_owner(instant now);

    /// @brief True if the last owner that was asked hasn't answered in time, so
    /// that the host admits by its own share until one does.
    bool isolated(instant now) const;

    /// @brief The tokens that are taken to be in the bucket.
    double expected_tokens(instant now) const;

    instant last_asked() const { return this->asked_at; }

private:
    admission admit_share(instant now, std::size_t hosts);
    milliseconds time_until(double tokens, double rate) const;

    workspaces::rate_limit limit;
    double depth;
    std::uint64_t asked_count = 0;
    std::int64_t admitted_count = 0;
    /// The own admissions that the tokens below include.
    std::int64_t included = 0;
    /// What the owner last told, and when.
    double tokens;
    double asked_per_second = 0;
    double admitted_per_second = 0;
    instant known_at;
    std::uint64_t reported_asked = 0;
    std::int64_t reported_admitted = 0;
    /// When the first report was sent that isn't answered yet.
    std::optional<instant> waiting_since;
    /// Since when no owner has answered, of those that were asked in turn.
    std::optional<instant> silent_since;
    rate_estimate own_asked;
    instant asked_at{};
    /// Tokens of the host's own share, while it is isolated.
    std::optional<double> share_tokens;
    instant share_refilled_at{};
};

} // namespace amaranthhatch::core::quotas
