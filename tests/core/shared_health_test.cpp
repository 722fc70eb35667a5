#include <cstdio>
#include <cstdlib>

#include <catch2/catch.hpp>

#include "health_fleet.hpp"
#include "peers/packing.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using core::endpoints::run_outcome;
using tests::health_fleet;
using course = health_fleet::course;

namespace
{

// 7% of the endpoints.
bool is_faulty(std::size_t endpoint)
{
    return endpoint < 5;
}

course reset()
{
    return {run_outcome::broken, 2ms, 2ms};
}

health_fleet::fault failing(double share, course how)
{
    return [share, how](std::size_t endpoint, std::size_t, double uniform)
    { return is_faulty(endpoint) && uniform < share ? how : course(); };
}

void report(const char* what, const health_fleet& fleet)
{
    UNSCOPED_INFO(what << ": failed callers " << fleet.failed_callers()
                       << ", most at one endpoint " << fleet.most_failed()
                       << ", trials " << fleet.trials() << ", ejected "
                       << fleet.ever_ejected() << ", refused "
                       << fleet.refused());
    if (std::getenv("HATCH_REPLAY_FIGURES") != nullptr)
        std::printf("%s: failed callers %zu, most at one endpoint %zu, trials "
                    "%zu, ejected %zu, refused %zu\n",
                    what, fleet.failed_callers(), fleet.most_failed(),
                    fleet.trials(), fleet.ever_ejected(), fleet.refused());
}

} // namespace

// Guards against each host finding a fault by itself: 827 callers failed where
// eleven endpoints of 71 reset their connections.
TEST_CASE("shared health, endpoints reset all runs, are ejected by all hosts")
{
    for (std::uint32_t seed = 1; seed <= 3; seed++)
    {
        health_fleet fleet(seed);
        fleet.run(6300ms, failing(1, reset()));
        report("reset", fleet);
        CHECK(fleet.ever_ejected() == 5);
        fleet.run(6000ms);
        for (std::size_t endpoint = 0; endpoint < 5; endpoint++)
            CHECK(fleet.ejecting(endpoint) == 0);
    }
}

// Guards against the same; three callers for each endpoint are aimed at.
TEST_CASE(
    "shared health, endpoints that fail all runs, cost three callers each")
{
    auto how =
        GENERATE(reset(), course{run_outcome::abandoned, 5000ms, 5000ms});
    for (std::uint32_t seed : {1u, 2u, 3u, 11u})
    {
        health_fleet fleet(seed);
        fleet.run(6300ms, failing(1, how));
        report("three callers", fleet);
        CHECK(fleet.failed_callers() <= 5 * 3);
    }
}

TEST_CASE("shared health, endpoints hang, are ejected before runs time out")
{
    health_fleet fleet(11);
    fleet.run(6300ms, failing(1, {run_outcome::abandoned, 5000ms, 5000ms}));
    report("hang", fleet);
    CHECK(fleet.ever_ejected() == 5);
}

TEST_CASE("shared health, part of the runs fails, ejects the endpoint")
{
    for (double share : {0.33, 0.45})
        for (auto how : {reset(), course{run_outcome::error_status, 2ms, 40ms}})
        {
            health_fleet fleet(21);
            fleet.run(6300ms, failing(share, how));
            report("part", fleet);
            CHECK(fleet.ever_ejected() == 5);
        }
}

TEST_CASE("shared health, one zone sees failures, only it ejects")
{
    health_fleet fleet(31);
    auto cut_off = [](std::size_t endpoint, std::size_t zone, double)
    { return is_faulty(endpoint) && zone == 1 ? reset() : course(); };
    fleet.run(3000ms, cut_off);
    std::size_t other_zones = 0;
    std::size_t own_zone = 0;
    for (int step = 0; step < 30; step++)
    {
        fleet.run(100ms, cut_off);
        for (int zone = 0; zone < 6; zone++)
            (zone == 1 ? own_zone : other_zones) += fleet.ejecting(1, zone);
    }
    report("one zone", fleet);
    // 30 samples of 11 hosts, and of 57 hosts.
    CHECK(own_zone > 30 * 11 / 2);
    CHECK(other_zones < 30 * 57 / 10);
}

TEST_CASE("shared health, flapping endpoints, come back when they answer")
{
    health_fleet fleet(41);
    for (int period = 0; period < 4; period++)
    {
        fleet.run(850ms, failing(1, reset()));
        fleet.run(1600ms);
    }
    report("flapping", fleet);
    // Three callers for each of four faults.
    CHECK(fleet.most_failed() <= 4 * 3);
    fleet.run(6000ms);
    for (std::size_t endpoint = 0; endpoint < 5; endpoint++)
        CHECK(fleet.ejecting(endpoint) == 0);
}

// Slow endpoints answer; ejecting them would only move their load.
TEST_CASE("shared health, endpoints five times as slow, are not ejected")
{
    health_fleet fleet(51);
    fleet.per_second = 300;
    fleet.run(6300ms,
              [](std::size_t endpoint, std::size_t, double)
              {
                  return endpoint < 11
                             ? course{run_outcome::answered, 200ms, 2500ms}
                             : course();
              });
    report("slow", fleet);
    CHECK(fleet.ever_ejected() == 0);
}

TEST_CASE("shared health, one host reports falsely, others eject nothing")
{
    health_fleet fleet(61);
    for (int round = 0; round < 5; round++)
    {
        fleet.report_falsely(7, 3);
        fleet.run(500ms);
        for (std::size_t endpoint = 0; endpoint < 71; endpoint++)
            CHECK(fleet.ejecting(endpoint) <= 1);
    }
    report("false report", fleet);
    CHECK(fleet.refused() == 0);
}

TEST_CASE("shared health, all endpoints fail, none stays out of use")
{
    health_fleet fleet(71);
    fleet.run(3000ms, [](std::size_t, std::size_t, double) { return reset(); });
    report("all", fleet);
    std::size_t out = 0;
    for (std::size_t endpoint = 0; endpoint < 71; endpoint++)
        out += fleet.ejecting(endpoint) > 34;
    CHECK(out <= 71 / 3);
    // The longest pause, and up to three trials after it.
    fleet.run(10000ms);
    for (std::size_t endpoint = 0; endpoint < 71; endpoint++)
        CHECK(fleet.ejecting(endpoint) == 0);
}

// On some days 2 to 5% of the runs break off at sound endpoints.
TEST_CASE("shared health, three percent fail everywhere, ejects nothing")
{
    for (std::uint32_t seed = 81; seed < 84; seed++)
    {
        health_fleet fleet(seed);
        fleet.run(6300ms, [](std::size_t, std::size_t, double uniform)
                  { return uniform < 0.03 ? reset() : course(); });
        report("3 percent", fleet);
        CHECK(fleet.ever_ejected() == 0);
    }
}

TEST_CASE("shared health, new incarnation, starts with a clean record")
{
    core::endpoints::shared_health health("self", 1, "zone");
    auto old = core::endpoints::shared_health::key("e", 1);
    auto other = core::endpoints::shared_health::key("f", 1);
    auto started_again = core::endpoints::shared_health::key("e", 2);
    health.set_listed({{old, "pool"}, {other, "pool"}});
    for (int count = 0; count < 100; count++)
        health.record_answer(other, false, 9000ms, 10000ms);
    for (int count = 0; count < 3; count++)
        health.record_failure(old, core::peers::failure_kind::broken, 10000ms);
    health.update(10000ms);
    CHECK(health.is_ejected(old));
    health.set_listed({{started_again, "pool"}, {other, "pool"}});
    CHECK_FALSE(health.is_ejected(started_again));
    CHECK_FALSE(health.is_suspected(started_again, 10000ms));
}

// Evidence that loses a field on its way would clear or blame the wrong zone.
TEST_CASE("shared health, evidence in a beacon, arrives as sent")
{
    core::peers::beacon sent;
    sent.name = "other";
    sent.evidence.push_back(
        {7, 3, 5, 1, core::peers::failure_kind::stalled, 11, 13, 17ms});
    auto received = peers::unpack_beacon(peers::pack(sent));
    REQUIRE(received);
    REQUIRE(received->evidence.size() == 1);
    const auto& each = received->evidence[0];
    CHECK(each.endpoint == 7);
    CHECK(each.failed == 3);
    CHECK(each.answered == 5);
    CHECK(each.cleared == 1);
    CHECK(each.reason == core::peers::failure_kind::stalled);
    CHECK(each.reporter == 11);
    CHECK(each.zone == 13);
    CHECK(each.age == 17ms);
}

// Guards against all waiting items of a host that run as trials at once.
TEST_CASE("shared health, overdue trial, one host sends one a second")
{
    using work = core::endpoints::shared_health::trial_work;
    core::endpoints::shared_health health("self", 1, "zone");
    auto failing_key = core::endpoints::shared_health::key("e", 1);
    health.set_listed({{failing_key, "pool"}, {1, "pool"}});
    for (int count = 0; count < 4; count++)
        health.record_failure(failing_key, core::peers::failure_kind::broken,
                              10000ms);
    health.update(10000ms);
    REQUIRE(health.is_ejected(failing_key));
    REQUIRE(health.may_try(failing_key, work::batch_item, 3, 1, 13000ms));
    health.record_begin(failing_key, 13000ms);
    CHECK_FALSE(health.may_try(failing_key, work::batch_item, 3, 1, 13000ms));
    CHECK_FALSE(health.may_try(failing_key, work::batch_item, 0, 1, 13900ms));
    CHECK(health.may_try(failing_key, work::batch_item, 3, 1, 14000ms));
}
