#include <catch2/catch.hpp>

#include <cstdlib>

#include "platform_fleet.hpp"

using namespace amaranthhatch;
using nlohmann::json;

namespace
{

/// @brief Two workers and an entry with a limit for second attempts.
struct hedging_entry
{
    explicit hedging_entry(const std::string& percent = "100") : fleet(1, 0, 2)
    {
        auto& command = this->fleet.entries[0].command;
        command.insert(command.end(),
                       {"--hedge-percent", percent, "--hedge-burst", "20"});
        this->fleet.start();
        auto route = this->fleet.configuration["routes"][0];
        route["name"] = "plain";
        route["prefix"] = "/plain/";
        route["kind"] = "idempotent";
        route["max_attempts"] = 2;
        this->fleet.configure([&](json& changed)
                              { changed["routes"].push_back(route); });
        for (const auto& worker : this->fleet.workers)
            fleet::admin(worker, {{"events", 2}, {"event_ms", 2}});
    }

    /// @brief Sends requests and returns those that weren't answered whole.
    int failed_calls(const std::string& route, const std::string& name,
                     int count)
    {
        int failed = 0;
        for (int number = 0; number < count; number++)
        {
            auto id = name + std::to_string(number);
            auto reply = this->fleet.call(0, "POST", route, id, "body",
                                          {{"Token-Counts", "450,26"}});
            bool whole =
                reply.status == 200 &&
                reply.headers.get("Response-Signature") == "signed-" + id &&
                reply.body == tests::platform_fleet::stream_text(id, 2);
            failed += whole ? 0 : 1;
        }
        return failed;
    }

    /// @brief The largest number of runs of one of these requests.
    int most_runs(const std::string& name, int count)
    {
        auto first = fleet::counters(this->fleet.workers[0]).at("runs");
        auto second = fleet::counters(this->fleet.workers[1]).at("runs");
        int most = 0;
        for (int number = 0; number < count; number++)
        {
            auto id = name + std::to_string(number);
            most = std::max(most, first.value(id, 0) + second.value(id, 0));
        }
        return most;
    }

    bool logged(const std::string& text) const
    {
        return this->fleet.log_of(this->fleet.entries[0]).find(text) !=
               std::string::npos;
    }

    std::string metrics() const
    {
        return fleet::get(this->fleet.entries[0].address, "/metrics").body;
    }

    tests::platform_fleet fleet;
};

constexpr int warm_up_calls = 60;
constexpr int slow_calls = 6;

} // namespace

// Guards against requests that wait for a slow endpoint beside an idle one,
// against responses that mix two runs and against more runs than allowed.
TEST_CASE_METHOD(hedging_entry,
                 "hedge, one slow worker, the other one answers whole")
{
    for (const std::string route : {"/again/", "/plain/"})
    {
        auto name = route.substr(1, 5);
        CHECK(this->failed_calls(route, name + "-warm", warm_up_calls) == 0);
        fleet::admin(this->fleet.workers[0], {{"event_ms", 600}});
        CHECK(this->failed_calls(route, name + "-slow", slow_calls) == 0);
        CHECK(this->most_runs(name + "-slow", slow_calls) == 2);
        fleet::admin(this->fleet.workers[0], {{"event_ms", 2}});
    }
    CHECK(this->logged("attempt=2 hedged=1"));
    CHECK(this->logged("attempt=1 hedged=0"));
    auto text = this->metrics();
    CHECK(text.find("hatch_hedges_total{result=\"won\"}") != text.npos);
    CHECK(text.find("hatch_hedge_extra_share") != text.npos);
}

// Guards against a second run of a request that may run only once.
TEST_CASE_METHOD(hedging_entry, "hedge, request that may run once, runs once")
{
    CHECK(this->failed_calls("/once/", "warm", warm_up_calls) == 0);
    fleet::admin(this->fleet.workers[0], {{"event_ms", 600}});
    CHECK(this->failed_calls("/once/", "slow", slow_calls) == 0);
    CHECK(this->most_runs("slow", slow_calls) == 1);
    CHECK_FALSE(this->logged("hedged=1"));
}

// Guards against second attempts of a deployment that didn't ask for them.
TEST_CASE("hedge, limit of zero, first attempt is waited for")
{
    hedging_entry off("0");
    CHECK(off.failed_calls("/plain/", "warm", warm_up_calls) == 0);
    fleet::admin(off.fleet.workers[0], {{"event_ms", 600}});
    CHECK(off.failed_calls("/plain/", "slow", slow_calls) == 0);
    CHECK(off.most_runs("slow", slow_calls) == 1);
    CHECK_FALSE(off.logged("hedged=1"));
}

// Guards against a mistyped limit that is taken as another one.
TEST_CASE("hedge options, wrong, are refused")
{
    for (const std::string options :
         {"--hedge-percent=101", "--hedge-percent=-1", "--hedge-percent=2.5",
          "--hedge-percent=x", "--hedge-burst=0", "--hedge-burst=1001"})
    {
        auto command = fleet::binary("hatch-platform-entry") +
                       " --settings none " + options + " 2>&1 | grep -q " +
                       "'takes a whole number'";
        INFO(options);
        CHECK(std::system(command.c_str()) == 0);
    }
}
