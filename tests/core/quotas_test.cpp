#include <catch2/catch.hpp>

#include <numeric>

#include "quota_fleet.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using core::workspaces::rate_limit;
using tests::quota_fleet;

namespace
{

// A limit is 1.6 times what a workspace usually sends, with a burst of a
// second.
constexpr double limit_factor = 1.6;
constexpr double crest = 1.87;
constexpr double trough = 0.38;

core::workspaces::workspace limited(std::string name, double usual,
                                    double burst_s = 1)
{
    core::workspaces::workspace made;
    made.name = std::move(name);
    made.limit = {usual * limit_factor,
                  std::max(1.0, usual * limit_factor * burst_s)};
    return made;
}

std::vector<std::size_t> first_hosts(std::size_t count)
{
    std::vector<std::size_t> out(count);
    std::iota(out.begin(), out.end(), std::size_t(0));
    return out;
}

/// @brief Workspaces of the sizes that deployments have, on 66 hosts.
struct flood
{
    explicit flood(std::uint32_t seed = 1)
        : declared({limited("large", 60), limited("middle", 6),
                    limited("small", 0.3)}),
          fleet(66, this->declared, seed)
    {
    }

    /// @brief The usual load of all, in waves, with floods of some.
    void run(core::milliseconds time, const std::vector<double>& factors)
    {
        constexpr core::milliseconds wave{5800};
        constexpr core::milliseconds low{3400};
        auto end = this->fleet.now + time;
        while (this->fleet.now < end)
        {
            bool rising = this->fleet.now % wave < low;
            for (std::size_t at = 0; at < this->declared.size(); at++)
            {
                auto usual = this->declared[at].limit.per_second / limit_factor;
                this->fleet.load(this->declared[at].name,
                                 usual * factors[at] *
                                     (rising ? trough : crest),
                                 this->weights);
            }
            this->fleet.run(std::min<core::milliseconds>(
                end - this->fleet.now, rising ? low - this->fleet.now % wave
                                              : wave - this->fleet.now % wave));
        }
    }

    void check_bounds()
    {
        for (const auto& each : this->declared)
        {
            INFO(each.name << ": " << this->fleet.admitted(each.name) << " of "
                           << this->fleet.asked(each.name));
            CHECK(this->fleet.over_bound(each.name, each.limit) <= 0);
        }
    }

    std::vector<core::workspaces::workspace> declared;
    quota_fleet fleet;
    std::vector<double> weights;
};

} // namespace

// Guards against a caller within its limit that is refused.
TEST_CASE("quota, workspaces at their usual waves, are refused no more than by "
          "one exact bucket, and a large one nothing")
{
    auto seed = GENERATE(1u, 2u, 3u, 4u, 5u, 6u);
    flood played(seed);
    played.run(40s, {1, 1, 1});
    for (const auto& each : played.declared)
    {
        INFO(each.name);
        auto refused =
            played.fleet.asked(each.name) - played.fleet.admitted(each.name);
        CHECK(refused <= played.fleet.exactly_refused(each.name, each.limit));
    }
    CHECK(played.fleet.admitted("large") == played.fleet.asked("large"));
}

// Guards against a flood that is admitted at each host by itself.
TEST_CASE("quota, floods through all hosts, stay within the bound in each "
          "window and use the limit")
{
    auto seed = GENERATE(1u, 2u, 3u, 4u);
    auto factor = GENERATE(3.0, 7.5);
    flood played(seed);
    played.run(10s, {1, 1, 1});
    auto began = played.fleet.now;
    played.run(8s, {factor, factor, factor});
    auto large = played.fleet.admitted_since("large", began);
    played.run(6s, {1, 1, 1});
    played.check_bounds();
    // Eight seconds of its rate.
    CHECK(static_cast<double>(large) >= 8 * 0.9 * 60 * limit_factor);
}

TEST_CASE("quota, flood through few hosts, stays within the bound")
{
    flood played;
    played.weights.assign(66, 0.02);
    played.weights[3] = 10;
    played.weights[40] = 5;
    played.run(10s, {1, 1, 1});
    played.run(8s, {7.5, 7.5, 7.5});
    played.check_bounds();
}

TEST_CASE("quota, messages are lost, stays within the bound")
{
    flood played;
    played.fleet.loss = 0.2;
    played.run(10s, {1, 1, 1});
    played.run(8s, {7.5, 7.5, 7.5});
    played.check_bounds();
}

// Guards against owners and hosts that start with a full bucket during a flood.
TEST_CASE("quota, half of the hosts killed during a flood and back with empty "
          "state, stays within the bound")
{
    auto seed = GENERATE(1u, 2u, 3u);
    flood played(seed);
    played.run(10s, {1, 1, 1});
    played.run(3s, {7.5, 7.5, 7.5});
    auto half = first_hosts(33);
    played.fleet.kill(half);
    played.run(1s, {7.5, 7.5, 7.5});
    played.fleet.restart(half);
    played.run(4s, {7.5, 7.5, 7.5});
    played.check_bounds();
}

TEST_CASE("quota, owner of the bucket lost during a flood, stays within the "
          "bound")
{
    flood played;
    played.run(10s, {1, 1, 1});
    played.run(3s, {7.5, 1, 1});
    played.fleet.kill({played.fleet.owner_of("large")});
    played.run(5s, {7.5, 1, 1});
    played.check_bounds();
}

// Guards against hosts that each admit the whole limit when they hear nobody.
TEST_CASE("quota, a tenth of the hosts cut off from all others during a "
          "flood, stays within the bound")
{
    auto seed = GENERATE(1u, 2u, 3u);
    flood played(seed);
    played.run(10s, {1, 1, 1});
    played.fleet.cut(first_hosts(7));
    played.run(8s, {7.5, 7.5, 7.5});
    played.fleet.heal();
    played.run(4s, {7.5, 7.5, 7.5});
    played.check_bounds();
}

TEST_CASE("quota, limit lowered and raised during a flood, binds a window "
          "later and is used")
{
    flood played;
    played.run(10s, {1, 1, 1});
    played.run(2s, {7.5, 1, 1});
    auto lower = played.declared;
    lower[0].limit = {20, 20};
    played.fleet.declare(lower);
    played.run(5s, {7.5, 1, 1});
    auto lowered = played.fleet.now;
    played.run(5s, {7.5, 1, 1});
    CHECK(static_cast<double>(played.fleet.admitted_since("large", lowered)) <=
          (20 * 5 + 20) * 1.1 + 20);
    played.fleet.declare(played.declared);
    auto raised = played.fleet.now;
    played.run(5s, {7.5, 1, 1});
    CHECK(static_cast<double>(played.fleet.admitted_since("large", raised)) >=
          0.9 * 5 * 60 * limit_factor);
}

// Guards against tokens that a refused request keeps.
TEST_CASE("quota, requests that were not run, give their tokens back")
{
    core::workspaces::workspace_table table({limited("one", 1, 4)});
    core::quotas::quota_service service("entry-0", 1, 0);
    core::instant now{1000};
    service.apply(table, now);
    for (int at = 0; at < 100; at++)
    {
        REQUIRE(service.admit(table.all()[0], now, 0.5).admitted);
        service.collect(now);
        service.give_back("one");
        now += 60ms;
        service.collect(now);
    }
}

TEST_CASE("quota, no token left, names the time until there is one")
{
    core::workspaces::workspace_table table({limited("one", 1, 1)});
    core::quotas::quota_service service("entry-0", 1, 0);
    core::instant now{1000};
    service.apply(table, now);
    core::quotas::admission last;
    for (int at = 0; at < 5; at++)
        last = service.admit(table.all()[0], now, 0.99);
    CHECK_FALSE(last.admitted);
    CHECK(last.retry_after >= 100ms);
    CHECK(last.retry_after <= 1500ms);
    now += last.retry_after;
    CHECK(service.admit(table.all()[0], now, 0.5).admitted);
}

TEST_CASE("quota, workspace without a limit, is admitted and reports nothing")
{
    core::workspaces::workspace free;
    free.name = "free";
    core::workspaces::workspace_table table({free});
    core::quotas::quota_service service("entry-0", 1, 0);
    core::instant now{1000};
    service.apply(table, now);
    CHECK(service.admit(free, now, 0.99).admitted);
    CHECK_FALSE(service.active(now));
}
