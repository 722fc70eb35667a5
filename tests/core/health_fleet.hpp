#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "core/endpoints/endpoint_table.hpp"

namespace amaranthhatch::tests
{

/// @brief Replays a fleet of 68 hosts in six zones that run requests at 71
/// endpoints and hear of each other late.
class health_fleet
{
public:
    /// @brief How a run goes: when its first event and its end come.
    struct course
    {
        core::endpoints::run_outcome end =
            core::endpoints::run_outcome::answered;
        core::milliseconds first_event{40};
        core::milliseconds time{500};
    };
    using fault = std::function<course(std::size_t endpoint, std::size_t zone,
                                       double uniform)>;

    explicit health_fleet(std::uint32_t seed, std::size_t zones = 6,
                          std::size_t hosts = 68, std::size_t endpoints = 71);

    void run(core::milliseconds time, const fault& behaves = {});

    /// @brief Failed callers of requests that may run once only.
    std::size_t failed_callers() const { return this->failed; }
    /// @brief The most of them at one endpoint.
    std::size_t most_failed() const;
    /// @brief Hosts that have ejected an endpoint at present.
    std::size_t ejecting(std::size_t endpoint, int zone = -1) const;
    /// @brief Endpoints that any host has ejected since the start.
    std::size_t ever_ejected() const { return this->ejections.size(); }
    bool was_ejected(std::size_t endpoint) const
    {
        return this->ejections.contains(endpoint);
    }
    std::size_t trials() const { return this->trial_count; }
    /// @brief Requests that hosts without a fault refused.
    std::size_t refused() const { return this->refused_count; }
    void reset_counts();
    /// @brief Lets a host report this many failures at each endpoint.
    void report_falsely(std::size_t host, int failures);
    static std::string name(std::size_t endpoint);

    core::instant now{100000};
    double per_second = 600;
    double once_only_share = 0.86;

private:
    struct host
    {
        host(std::size_t number, const std::string& zone);
        core::peers::peer_table peers;
        core::endpoints::endpoint_table table;
    };

    struct step
    {
        core::instant at;
        std::uint64_t number;
        std::function<void()> perform;
        bool operator<(const step& other) const
        {
            return this->at != other.at ? this->at > other.at
                                        : this->number > other.number;
        }
    };

    std::size_t zone_of(std::size_t host) const { return host % this->zones; }
    core::milliseconds delay(std::size_t from, std::size_t to) const;
    void later(core::milliseconds after, std::function<void()> perform);
    void send_beacons();
    void send(std::size_t from);
    void request(const fault& behaves);
    void collect(host& from);
    double uniform();

    std::size_t zones;
    std::vector<std::unique_ptr<host>> hosts;
    std::priority_queue<step> steps;
    std::uint64_t next_step = 0;
    std::size_t ticks = 0;
    std::size_t failed = 0;
    std::size_t trial_count = 0;
    std::size_t refused_count = 0;
    std::size_t faulty_host = SIZE_MAX;
    std::map<std::string, std::size_t> failed_at;
    std::map<std::size_t, std::size_t> ejections;
    std::mt19937 random;
};

} // namespace amaranthhatch::tests
