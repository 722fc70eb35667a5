#include <catch2/catch.hpp>

#include <map>
#include <mutex>
#include <thread>

#include "fault_table.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr int key_count = 24;

fleet::fleet_plan once_plan()
{
    fleet::fleet_plan plan;
    plan.engines = 1;
    plan.services = 1;
    return plan;
}

/// @brief What callers were told about one key.
struct told
{
    int done = 0;
    int not_run = 0;
    int unknown = 0;
};

struct once_calls
{
    once_calls() : fleet(once_plan()) { this->fleet.start(); }

    std::string key_of(int number) const
    {
        return "key" + std::to_string(number);
    }

    void call(std::size_t entry, const std::string& key)
    {
        auto reply = fleet::post(this->fleet.entries[entry].address,
                                 "/services/seats/book", "{}",
                                 {{"Idempotency-Key", key}});
        auto outcome = reply.headers.get("X-Hatch-Outcome");
        std::lock_guard lock(this->guard);
        auto& one = this->answers[key];
        if (outcome == "done")
            ++one.done;
        else if (outcome == "not_run")
            ++one.not_run;
        else
            ++one.unknown;
    }

    // Each key goes through every entry at the same time.
    void call_all()
    {
        std::vector<std::thread> callers;
        for (int number = 0; number < key_count; ++number)
        {
            for (std::size_t entry = 0; entry < 3; ++entry)
                callers.emplace_back(
                    [this, entry, number]
                    { this->call(entry, this->key_of(number)); });
            std::this_thread::sleep_for(15ms);
        }
        for (auto& caller : callers)
            caller.join();
    }

    int runs_of(const json& runs, const std::string& key) const
    {
        return runs.value(key, 0);
    }

    void check_runs()
    {
        json runs = fleet::counters(this->fleet.services[0]).at("runs");
        for (const auto& [key, one] : this->answers)
        {
            INFO(key << ": done " << one.done << ", not run " << one.not_run
                     << ", unknown " << one.unknown);
            int ran = this->runs_of(runs, key);
            CHECK(ran <= 1);
            CHECK(one.done <= ran);
            // Where every caller was told "not run", nothing ran.
            if (one.done + one.unknown == 0)
                CHECK(ran == 0);
        }
    }

    // The dead service took its counts along. What a caller saw done must not
    // be run again by the one that comes in its place.
    void check_after_service_died()
    {
        auto before = this->answers;
        this->fleet.services[0].start();
        REQUIRE(fleet::eventually(
            [this]
            {
                return fleet::get(this->fleet.services[0].address, "/admin")
                           .status == 200;
            }));
        this->call_all();
        json runs = fleet::counters(this->fleet.services[0]).at("runs");
        for (const auto& [key, one] : before)
        {
            INFO(key << ": done before " << one.done);
            CHECK(this->runs_of(runs, key) <= 1);
            if (one.done > 0)
                CHECK(this->runs_of(runs, key) == 0);
        }
    }

    fleet::fleet fleet;
    std::mutex guard;
    std::map<std::string, told> answers;
};

} // namespace

TEST_CASE("calls that may not be repeated, faults of the table, run once")
{
    for (const auto& row : tests::read_faults("once.csv"))
    {
        DYNAMIC_SECTION(row[0])
        {
            once_calls calls;
            tests::run_steps(calls.fleet, row[1], {});
            std::thread traffic([&] { calls.call_all(); });
            std::this_thread::sleep_for(100ms);
            tests::run_steps(calls.fleet, row[2], {});
            traffic.join();
            bool service_died = row[2].find("service0") != std::string::npos;
            if (service_died)
            {
                calls.check_after_service_died();
                continue;
            }
            calls.check_runs();
            int served = 0;
            int not_run = 0;
            for (const auto& [key, one] : calls.answers)
            {
                served += one.done > 0 ? 1 : 0;
                not_run += one.done + one.unknown == 0 ? 1 : 0;
            }
            WARN(row[0] << ": of " << key_count << " keys " << served
                        << " served, " << not_run << " refused as not run, "
                        << key_count - served - not_run << " unknown");
            CHECK(served * 100 >= std::stoi(row[3]) * key_count);
            // Sent once more through all entries, whatever was said before.
            calls.call_all();
            calls.check_runs();
        }
    }
}

TEST_CASE_METHOD(
    once_calls, "call that may not be repeated, entry dies, does not run again")
{
    fleet::admin(this->fleet.services[0], {{"slow_ms", 1500}});
    std::thread caller([this] { this->call(0, "key"); });
    REQUIRE(fleet::eventually(
        [&]
        {
            return fleet::counters(this->fleet.services[0])
                       .at("runs")
                       .value("key", 0) == 1;
        }));
    this->fleet.entries[0].process->kill();
    caller.join();
    fleet::admin(this->fleet.services[0], {{"slow_ms", 0}});
    auto again =
        fleet::post(this->fleet.entries[1].address, "/services/seats/book",
                    "{}", {{"Idempotency-Key", "key"}});
    CHECK(again.status == 409);
    CHECK(again.headers.get("X-Hatch-Outcome") == "unknown");
    this->check_runs();
}
