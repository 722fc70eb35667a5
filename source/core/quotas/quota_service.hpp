#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/quotas/local_bucket.hpp"
#include "core/quotas/owned_bucket.hpp"
#include "core/quotas/quota_messages.hpp"
#include "core/workspaces/workspace_table.hpp"

namespace amaranthhatch::core::quotas
{

/// @brief Messages that a host has to send to others, by their names.
struct outgoing_messages
{
    std::map<std::string, report_message> reports;
    std::map<std::string, state_message> states;
};

/// @brief Limits the requests of workspaces over all hosts.
///
/// Each workspace's bucket is owned by one host, chosen by rendezvous hashing.
/// Hosts admit by their local view of it, report what they admitted, and hear
/// the bucket's state in return, so that no request waits for a message. The
/// owner's state is soft: another host takes over from the reports.
class quota_service
{
public:
    /// @brief slack_tokens: tokens beyond the burst that a full bucket holds,
    /// so that callers within their limit aren't refused because of uneven
    /// arrivals.
    quota_service(std::string own_name, std::uint64_t incarnation,
                  double slack_tokens);

    /// @brief Puts the limits of a configuration in force.
    void apply(const workspaces::workspace_table& table, instant now);

    void set_slack(double tokens) { this->slack_tokens = tokens; }

    /// @brief Sets which hosts admit requests and may own buckets, this one
    /// included.
    void set_hosts(std::vector<std::string> names);

    /// @brief Sets whether this host hears any other; while it doesn't, it
    /// admits its share only.
    void set_connected(bool hears_others) { this->connected = hears_others; }

    /// @brief Decides on a request; uniform lies in [0, 1).
    admission admit(const workspaces::workspace& workspace, instant now,
                    double uniform);

    /// @brief Returns the token of an admitted request that wasn't run.
    void give_back(std::string_view workspace);

    /// @brief The messages that are due.
    outgoing_messages collect(instant now);

    /// @brief Handles the reports of another host; returns the answer.
    state_message receive(const report_message& message, instant now);

    void receive(const state_message& message, instant now);

    /// @brief True while collect() has to be called at each interval.
    bool active(instant now);

    /// @brief Workspaces that were asked for and are limited, with the tokens
    /// that this host expects; for metrics.
    std::size_t owned() const { return this->owned_buckets.size(); }

private:
    struct workspace_state
    {
        workspaces::rate_limit limit;
        std::optional<local_bucket> bucket;
        std::optional<instant> last_report;
        /// The owner that was asked last.
        std::string owner;
        /// The last one that told the bucket's state, and when.
        std::string heard_owner;
        instant heard_at{};
    };

    double depth(workspaces::rate_limit limit) const;
    std::string owner_of(std::uint64_t workspace, instant now);
    void add_report(std::uint64_t key, workspace_state& state, instant now,
                    outgoing_messages& out);
    void add_notices(instant now, outgoing_messages& out);
    bool owned_elsewhere(std::uint64_t workspace, instant now) const;
    owned_bucket* owned_for(const usage_report& report, instant now);

    std::string own_name;
    std::uint64_t incarnation;
    double slack_tokens;
    std::vector<std::string> hosts;
    bool connected = true;
    /// By hash of the name.
    std::map<std::uint64_t, workspace_state> workspaces;
    std::map<std::uint64_t, owned_bucket> owned_buckets;
    /// When the hosts were last told of a scarce bucket.
    std::map<std::uint64_t, instant> noticed_at;
    /// Owners that didn't answer, and until when they are passed over.
    std::map<std::string, instant, std::less<>> excluded_until;
};

} // namespace amaranthhatch::core::quotas
