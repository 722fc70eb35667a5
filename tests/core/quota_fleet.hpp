#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/quotas/quota_service.hpp"

namespace amaranthhatch::tests
{

/// @brief Replays a fleet of entry hosts that limit workspaces together, with
/// late and lost messages.
class quota_fleet
{
public:
    using workspace = core::workspaces::workspace;

    /// @brief The terms of the bound on what is admitted.
    struct bound
    {
        core::milliseconds window{5000};
        double overshoot = 0.1;
        double slack = 20;
    };

    quota_fleet(std::size_t hosts, std::vector<workspace> declared,
                std::uint32_t seed);

    /// @brief Sends requests of a workspace at a mean rate; weights: how often
    /// each host is asked, equal if empty.
    void load(const std::string& name, double per_second,
              std::vector<double> weights = {});

    /// @brief Goes on for a time.
    void run(core::milliseconds time);

    /// @brief Changes the limits of a workspace on all hosts.
    void declare(std::vector<workspace> changed);

    /// @brief Ends the processes of hosts; the balancer asks the others.
    void kill(const std::vector<std::size_t>& which);
    /// @brief Starts them again with empty state.
    void restart(const std::vector<std::size_t>& which);
    /// @brief Cuts each of these hosts off from all others; callers reach it.
    void cut(const std::vector<std::size_t>& which);
    void heal();

    /// @brief The host that owns a workspace's bucket while all live.
    std::size_t owner_of(const std::string& name) const;

    std::size_t asked(const std::string& name) const;
    std::size_t admitted(const std::string& name) const;
    /// @brief Admitted since a time.
    std::size_t admitted_since(const std::string& name,
                               core::instant since) const;

    /// @brief The requests that one bucket of exactly this limit, which sees
    /// all of them at once, would refuse.
    std::size_t exactly_refused(const std::string& name,
                                core::workspaces::rate_limit limit) const;

    /// @brief The most that any window admitted, less what the bound allows.
    double over_bound(const std::string& name,
                      core::workspaces::rate_limit limit) const;

    core::instant now{100000};
    double loss = 0.02;
    std::size_t messages = 0;

private:
    struct delivery
    {
        core::instant at;
        std::uint64_t number;
        std::function<void()> deliver;
        bool operator<(const delivery& other) const
        {
            return this->at != other.at ? this->at > other.at
                                        : this->number > other.number;
        }
    };

    struct stream
    {
        double per_second = 0;
        std::vector<double> weights;
        double next_at_ms = 0;
    };

    std::string name_of(std::size_t host) const;
    std::size_t index_of(const std::string& name) const;
    std::unique_ptr<core::quotas::quota_service> make(std::size_t host);
    core::milliseconds delay(std::size_t from, std::size_t to);
    bool reaches(std::size_t from, std::size_t to) const;
    void post(std::size_t from, std::size_t to, std::function<void()> deliver);
    void collect(std::size_t host);
    void ask(const std::string& name, const stream& from);
    double uniform();

    std::size_t count;
    core::workspaces::workspace_table table;
    std::vector<std::unique_ptr<core::quotas::quota_service>> hosts;
    std::vector<std::string> names;
    std::set<std::size_t> isolated;
    core::instant cut_at{};
    std::priority_queue<delivery> queue;
    std::uint64_t next_delivery = 0;
    std::uint64_t incarnations = 1;
    std::map<std::string, stream> streams;
    std::map<std::string, std::deque<core::instant>> admissions;
    std::map<std::string, std::deque<core::instant>> asks;
    std::mt19937 random;
};

} // namespace amaranthhatch::tests
