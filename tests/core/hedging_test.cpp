#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <random>
#include <vector>

#include "core/hedging/hedge_policy.hpp"

using namespace amaranthhatch::core;
using hedging::hedge_decision;

namespace
{

constexpr hedging::request_class streams{"pool", true, 500};

/// @brief A policy that knows a service whose first events take 20 ms, some
/// 100 ms.
struct measured_policy
{
    measured_policy() : measured_policy(hedging::hedge_limit{10, 2}) {}

    explicit measured_policy(hedging::hedge_limit limit) : policy(limit)
    {
        for (int sample = 0; sample < 200; sample++)
            this->policy.record_delay(
                streams, milliseconds(sample % 10 == 0 ? 100 : 20));
    }

    /// @brief A request for which a second attempt may start.
    static hedging::hedge_question slow_request()
    {
        return {streams, milliseconds(150), milliseconds(3000), 1, true, 0.6};
    }

    hedging::hedge_policy policy;
};

/// @brief What happens to the first attempt when the second one starts.
enum class first_attempt : std::uint8_t
{
    closed,
    raced
};

struct replay_result
{
    std::vector<double> delays;
    int extra = 0;
    int first = 0;

    double percentile(double share) const
    {
        auto sorted = this->delays;
        std::sort(sorted.begin(), sorted.end());
        return sorted[static_cast<std::size_t>(
            share * static_cast<double>(sorted.size() - 1))];
    }
};

/// @brief Hosts that send requests to endpoints, a third of which becomes five
/// times as slow in the middle.
class hedging_fleet
{
public:
    hedging_fleet(std::uint32_t percent, first_attempt first,
                  bool becomes_slow = true)
        : first(first), becomes_slow(becomes_slow),
          hosts(host_count, hedging::hedge_policy({percent, burst}))
    {
    }

    replay_result run(int requests_per_host)
    {
        replay_result out;
        for (int number = 0; number < requests_per_host; number++)
            for (auto& host : this->hosts)
                this->request(
                    host, this->becomes_slow && number >= requests_per_host / 2,
                    number >= requests_per_host / 2, out);
        return out;
    }

    static constexpr int host_count = 22;
    static constexpr std::uint32_t burst = 10;

private:
    // A prompt takes 15 ms and more, one in fifty some 200 ms longer.
    double draw(bool slow_endpoints)
    {
        std::exponential_distribution<double> spread(1.0 / 8);
        std::uniform_real_distribution<double> chance(0, 1);
        double time = 15 + spread(this->random);
        if (chance(this->random) < 0.02)
            time += 200;
        bool slow = slow_endpoints && chance(this->random) < 1.0 / 3;
        return slow ? time * 5 : time;
    }

    void request(hedging::hedge_policy& host, bool slow, bool measured,
                 replay_result& out)
    {
        host.record_first_attempt();
        out.first++;
        double delay = this->draw(slow);
        auto threshold = host.delay(streams);
        bool late =
            threshold && delay > static_cast<double>(threshold->count());
        bool hedged =
            late && host.decide({streams, *threshold, milliseconds(4000), 1,
                                 true, 0.6}) == hedge_decision::start;
        if (hedged)
        {
            out.extra++;
            auto waited = static_cast<double>(threshold->count());
            double second = this->draw(slow);
            host.record_delay(streams, *threshold);
            host.record_delay(streams, rounded(second));
            delay = this->first == first_attempt::raced
                        ? std::min(delay, waited + second)
                        : waited + second;
        }
        else
            host.record_delay(streams, rounded(delay));
        if (measured)
            out.delays.push_back(delay);
    }

    static milliseconds rounded(double time)
    {
        return milliseconds(static_cast<std::int64_t>(std::lround(time)));
    }

    std::mt19937_64 random{20};
    first_attempt first;
    bool becomes_slow;
    std::vector<hedging::hedge_policy> hosts;
};

} // namespace

// Guards against second attempts that start while the first one is on time.
TEST_CASE_METHOD(measured_policy, "hedge, before the percentile, doesn't start")
{
    auto asked = slow_request();
    asked.waited = milliseconds(80);
    CHECK(this->policy.decide(asked) == hedge_decision::early);
    asked.waited = milliseconds(150);
    CHECK(this->policy.decide(asked) == hedge_decision::start);
}

// Guards against a limit that isn't kept, and against tokens that are spent on
// attempts which don't start.
TEST_CASE_METHOD(measured_policy, "hedge, not allowed, says why and costs none")
{
    auto check = [this](auto change, hedge_decision expected)
    {
        auto asked = slow_request();
        change(asked);
        CHECK(this->policy.decide(asked) == expected);
    };
    using question = hedging::hedge_question;
    check([](question& asked) { asked.attempts_left = 0; },
          hedge_decision::no_attempts);
    check([](question& asked) { asked.time_left = milliseconds(50); },
          hedge_decision::no_time);
    check([](question& asked) { asked.free_share = 0.1; },
          hedge_decision::scarce_slots);
    check([](question& asked) { asked.alternative_free = false; },
          hedge_decision::no_alternative);
    check([](question& asked) { asked.kind.service = "other"; },
          hedge_decision::no_samples);
    check([](question& asked) { asked.kind.prompt_tokens = 9000; },
          hedge_decision::no_samples);
    check([](question&) {}, hedge_decision::start);
    check([](question&) {}, hedge_decision::start);
    check([](question&) {}, hedge_decision::no_budget);
    // The sum of ten shares of a tenth is less than one by rounding.
    for (int request = 0; request < 11; request++)
        this->policy.record_first_attempt();
    check([](question&) {}, hedge_decision::start);
    check([](question&) {}, hedge_decision::no_budget);
}

// Guards against second attempts in deployments that didn't ask for them.
TEST_CASE("hedge, limit of zero, never starts")
{
    measured_policy measured(hedging::hedge_limit{0, 10});
    CHECK(measured.policy.decide(measured_policy::slow_request()) ==
          hedge_decision::disabled);
}

// Guards against a delay that follows a few old samples or a single class.
TEST_CASE("delays, decaying, follow the newer samples")
{
    hedging::delay_distribution delays;
    CHECK_FALSE(delays.quantile(0.95));
    for (int sample = 0; sample < 3000; sample++)
        delays.add(milliseconds(400));
    for (int sample = 1; sample <= 100; sample++)
        delays.add(milliseconds(sample));
    for (int round = 0; round < 100; round++)
        for (int sample = 1; sample <= 100; sample++)
            delays.add(milliseconds(sample));
    CHECK(delays.quantile(0.5)->count() == Approx(50).margin(6));
    CHECK(delays.quantile(0.95)->count() == Approx(95).margin(10));
}

// Guards against extra work beyond the operator's limit when a third of the
// endpoints becomes slow at once, and against a limit that has no effect.
TEST_CASE("hedge, a third of the endpoints slow, keeps the limit")
{
    constexpr int requests = 4000;
    double unlimited_tail = 0;
    for (auto first : {first_attempt::closed, first_attempt::raced})
        for (std::uint32_t percent : {0, 2, 5, 10})
        {
            auto steady = hedging_fleet(percent, first, false).run(requests);
            auto slow = hedging_fleet(percent, first).run(requests);
            for (const auto* result : {&steady, &slow})
            {
                double limit = result->first * percent / 100.0 +
                               hedging_fleet::host_count * hedging_fleet::burst;
                CHECK(result->extra <= (percent == 0 ? 0 : limit));
                std::cout << (first == first_attempt::raced ? "raced" : "moved")
                          << (result == &slow ? " slow" : " steady")
                          << " limit=" << percent
                          << "% extra=" << 100.0 * result->extra / result->first
                          << "% p50=" << result->percentile(0.5)
                          << " p90=" << result->percentile(0.9)
                          << " p95=" << result->percentile(0.95)
                          << " p99=" << result->percentile(0.99) << "\n";
            }
            if (percent == 0)
                unlimited_tail = steady.percentile(0.99);
            if (percent == 5)
                CHECK(steady.percentile(0.99) < unlimited_tail);
        }
}
