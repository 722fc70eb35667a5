#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/quotas/quota_messages.hpp"
#include "core/quotas/rate_estimate.hpp"
#include "core/workspaces/workspace.hpp"

namespace amaranthhatch::core::quotas
{

/// @brief The token bucket of one workspace, kept by the host that owns it from
/// the reports of all hosts.
///
/// Hosts admit before they report, so the tokens may fall below zero; what was
/// admitted too much is then admitted less later.
class owned_bucket
{
public:
    /// @brief depth: tokens of a full bucket; expected: those that the first
    /// reporting host expects in it. Hosts that report soon after and expect
    /// fewer are believed, as the first may not have heard of a flood.
    owned_bucket(workspaces::rate_limit limit, double depth, double expected,
                 instant now);

    /// @brief Puts a changed limit in force.
    void set_limit(workspaces::rate_limit changed, double changed_depth,
                   instant now);

    /// @brief Deducts what a host admitted since its last report; own: it is
    /// the bucket's owner.
    void receive(const std::string& host, std::uint64_t incarnation,
                 const usage_report& report, bool own, instant now);

    /// @brief The state for a host whose report was received, or for one that
    /// has sent none.
    bucket_state state(std::uint64_t workspace, instant now);

    /// @brief The count of a host that the tokens include.
    std::int64_t included(const std::string& host) const;

    /// @brief True while hosts with an old copy of the state would admit too
    /// much.
    bool scarce(instant now);

    /// @brief True if the reports of all other hosts have stopped at one
    /// moment, as they do when this host is cut off.
    bool others_silent(instant now) const;

    /// @brief Drops the counts of hosts that were silent for long.
    void expire(instant now);

    instant last_report() const { return this->reported_at; }

private:
    struct reporter
    {
        std::uint64_t incarnation = 0;
        std::uint64_t asked = 0;
        std::int64_t admitted = 0;
        instant last_report{};
    };

    void refill(instant now);

    workspaces::rate_limit limit;
    double depth;
    double tokens;
    instant began_at;
    instant refilled_at;
    instant reported_at;
    rate_estimate asked;
    rate_estimate admitted;
    rate_estimate other_reports;
    instant other_reported_at;
    std::map<std::string, reporter, std::less<>> reporters;
};

} // namespace amaranthhatch::core::quotas
