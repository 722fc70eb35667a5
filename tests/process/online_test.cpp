#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

#include "fault_table.hpp"
#include "load/load_run.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

load::load_plan steady_load(core::milliseconds duration, double factor = 1)
{
    load::load_plan plan;
    plan.model = "despacho-llm";
    plan.duration = duration;
    load::load_stream brief;
    brief.name = "brief";
    brief.work_class = "interactive";
    brief.per_second = 12 * factor;
    brief.tokens = 10;
    load::load_stream wordy = brief;
    wordy.name = "wordy";
    wordy.per_second = 3 * factor;
    wordy.tokens = 80;
    plan.streams = {brief, wordy};
    return plan;
}

std::vector<std::string> addresses(const std::vector<fleet::node>& nodes)
{
    std::vector<std::string> all;
    for (const auto& one : nodes)
        all.push_back(one.address);
    return all;
}

/// @brief Runs a load and, meanwhile, something that goes wrong.
template <typename Fault>
load::load_report load_with(fleet::fleet& running, const load::load_plan& plan,
                            Fault fault)
{
    load::load_report report;
    std::thread traffic(
        [&] { report = load::run_load(plan, addresses(running.entries)); });
    std::this_thread::sleep_for(1500ms);
    fault();
    traffic.join();
    return report;
}

void check_whole(const load::load_report& report)
{
    INFO(load::report_table(report));
    for (const auto& one : report.streams)
    {
        CHECK(one.cut == 0);
        CHECK(one.doubled == 0);
        CHECK(one.crossed == 0);
        CHECK(one.failed == 0);
        CHECK(one.refused == 0);
        CHECK(one.unreached == 0);
        CHECK(one.sent > 0);
        CHECK(one.whole == one.sent);
    }
}

struct online_fleet
{
    online_fleet() : fleet(plan()) { this->fleet.start(); }

    static fleet::fleet_plan plan()
    {
        fleet::fleet_plan made;
        made.engines = 5;
        made.services = 1;
        made.retry_percent = "50";
        return made;
    }

    fleet::fleet fleet;
};

std::uint64_t started_on(const fleet::node& engine)
{
    return fleet::counters(engine).at("started").get<std::uint64_t>();
}

} // namespace

TEST_CASE("online streams, faults of the table, end whole")
{
    for (const auto& row : tests::read_faults("online.csv"))
    {
        DYNAMIC_SECTION(row[0])
        {
            online_fleet running;
            auto report =
                load_with(running.fleet, steady_load(8000ms),
                          [&] { tests::run_steps(running.fleet, row[1], {}); });
            check_whole(report);
        }
    }
}

TEST_CASE_METHOD(online_fleet,
                 "online streams, entry killed, none is cut short as if whole")
{
    auto report = load_with(this->fleet, steady_load(6000ms),
                            [&] { this->fleet.entries[0].process->kill(); });
    INFO(load::report_table(report));
    CHECK(load::broken_answers(report) == 0);
    std::uint32_t failed = 0;
    std::uint32_t sent = 0;
    for (const auto& one : report.streams)
    {
        failed += one.failed;
        sent += one.sent;
        CHECK(one.unreached == 0);
    }
    // Only what ran on the killed entry at that moment may fail.
    CHECK(failed < sent / 4);
}

TEST_CASE_METHOD(online_fleet,
                 "rolling restart, every program under load, cuts no request")
{
    auto restart = [](std::vector<fleet::node>& nodes)
    {
        for (auto& one : nodes)
        {
            CHECK(one.process->stop(60s) == 0);
            one.start();
            std::this_thread::sleep_for(2500ms);
        }
    };
    auto report = load_with(this->fleet, steady_load(26'000ms),
                            [&]
                            {
                                restart(this->fleet.entries);
                                restart(this->fleet.coordinators);
                            });
    check_whole(report);
}

TEST_CASE_METHOD(online_fleet,
                 "leaving endpoint, five seconds later, gets no new work")
{
    std::uint64_t before = 0;
    std::uint64_t after = 0;
    auto report = load_with(this->fleet, steady_load(11'000ms),
                            [&]
                            {
                                this->fleet.publish_hosts({"engine0"});
                                std::this_thread::sleep_for(5s);
                                before = started_on(this->fleet.engines[0]);
                                std::this_thread::sleep_for(3s);
                                after = started_on(this->fleet.engines[0]);
                            });
    CHECK(before > 0);
    CHECK(after == before);
    check_whole(report);
}

TEST_CASE_METHOD(online_fleet,
                 "region lost, its processes stop, the other region serves")
{
    // The load goes to entries in the region that is left.
    auto plan = steady_load(8000ms, 0.5);
    std::vector<std::string> left;
    for (const auto& one : this->fleet.entries)
    {
        if (one.place.region == "sul")
            left.push_back(one.address);
    }
    load::load_report report;
    std::thread traffic([&] { report = load::run_load(plan, left); });
    std::this_thread::sleep_for(1500ms);
    for (auto* group : {&this->fleet.entries, &this->fleet.coordinators,
                        &this->fleet.engines})
    {
        for (auto& one : *group)
        {
            if (one.place.region == "sudeste")
                one.process->signal(SIGSTOP);
        }
    }
    traffic.join();
    check_whole(report);
}

TEST_CASE_METHOD(online_fleet,
                 "whole region's endpoints gone, the other region answers")
{
    std::vector<std::string> gone;
    for (auto& one : this->fleet.engines)
    {
        if (one.place.region == "sudeste")
            gone.push_back(one.name);
    }
    this->fleet.publish_hosts({}, gone);
    auto& entry = this->fleet.entries[2];
    REQUIRE(entry.place.region == "sudeste");
    REQUIRE(fleet::eventually(
        [&]
        {
            auto before = started_on(this->fleet.engines[2]);
            auto reply = fleet::post(
                entry.address, "/v1/completions",
                R"({"model":"despacho-llm","prompt":"p","max_tokens":3})");
            return reply.status == 200 &&
                   started_on(this->fleet.engines[2]) == before;
        }));
}

TEST_CASE("refusals, endpoints never reached, say not run and tell the truth")
{
    online_fleet running;
    auto& fleet = running.fleet;
    auto total = [&]
    { return fleet::counters(fleet.services[0]).at("total").get<int>(); };
    auto code_of = [](const http::reply& reply)
    {
        json body = json::parse(reply.body, nullptr, false);
        return body.at("error").at("code").get<std::string>() + " " +
               body.at("error").at("outcome").get<std::string>();
    };
    const std::string entry = fleet.entries[0].address;
    auto call = [&](const std::string& path, const std::string& body = "{}",
                    const std::vector<http::header>& headers = {})
    { return fleet::post(entry, path, body, headers); };

    CHECK(code_of(call("/services/none/x")) == "unknown_service not_run");
    CHECK(code_of(call("/v1/completions", "{")) == "bad_request not_run");
    CHECK(
        code_of(call("/v1/completions", R"({"model":"none","prompt":"p"})")) ==
        "unknown_model not_run");
    CHECK(code_of(call(
              "/v1/completions", R"({"model":"despacho-llm","prompt":"p"})",
              {{"X-Hatch-Class", "none"}})) == "unknown_class not_run");
    CHECK(total() == 0);

    fleet.services[0].process->signal(SIGKILL);
    REQUIRE(fleet::eventually(
        [&] { return !fleet.services[0].process->running(); }));
    auto dead = call("/services/seats/book", "{}", {{"Idempotency-Key", "d"}});
    CHECK(code_of(dead) == "connect_failed not_run");
    fleet.services[0].start();
    REQUIRE(fleet::eventually(
        [&] {
            return fleet::get(fleet.services[0].address, "/admin").status ==
                   200;
        }));
    // What was truly not run may be sent again with its key.
    REQUIRE(fleet::eventually(
        [&]
        {
            return call("/services/seats/book", "{}",
                        {{"Idempotency-Key", "d"}})
                       .status == 200;
        }));
    CHECK(total() == 1);

    fleet::admin(fleet.services[0], {{"lose_answers", 1}});
    auto lost = call("/services/seats/book", "{}", {{"Idempotency-Key", "e"}});
    CHECK(code_of(lost) == "stream_cut unknown");
    CHECK(total() == 2);

    fleet.publish_hosts({}, {"service0"});
    REQUIRE(fleet::eventually(
        [&]
        {
            auto reply =
                call("/services/seats/book", "{}", {{"Idempotency-Key", "f"}});
            return reply.status == 503 &&
                   code_of(reply) == "no_endpoint not_run";
        },
        60s));
    auto runs = fleet::counters(fleet.services[0]).at("runs");
    CHECK_FALSE(runs.contains("g"));
    auto refused =
        call("/services/seats/book", "{}", {{"Idempotency-Key", "g"}});
    CHECK(code_of(refused) == "no_endpoint not_run");
    CHECK_FALSE(fleet::counters(fleet.services[0]).at("runs").contains("g"));
    CHECK(fleet::metric(fleet.entries[0], "hatch_refusals_total",
                        "no_endpoint") >= 1);
}

TEST_CASE_METHOD(online_fleet, "client habits, headers and limits, are kept")
{
    const std::string entry = this->fleet.entries[0].address;
    auto passed = fleet::post(entry, "/services/timetable/x", "hello",
                              {{"Authorization", "Bearer abc"}});
    json body = json::parse(passed.body);
    CHECK(body.at("authorization") == "Bearer abc");
    CHECK(body.at("echo") == "hello");
    auto large =
        fleet::post(entry, "/v1/completions", std::string(50u << 20, 'x'));
    CHECK((large.status == 413 || large.reached != http::progress::answered));
    auto bad = fleet::post(entry, "/v1/files", "{\"custom_id\":1}\n");
    CHECK(bad.status == 400);
    CHECK(bad.body.find("line 1") != std::string::npos);
    auto none = fleet::get(entry, "/v1/batches/batch_none");
    CHECK(none.status == 404);
}
