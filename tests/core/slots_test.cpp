#include <catch2/catch.hpp>

#include "core/limits/retry_budget.hpp"
#include "core/slots/slot_scheduler.hpp"

using namespace amaranthhatch::core;
using namespace std::chrono_literals;
using messages::want_slot;
using messages::work_kind;
using slots::scheduler_options;
using slots::scheduler_output;
using slots::slot_scheduler;

namespace
{

struct scheduling
{
    explicit scheduling(unsigned endpoints = 2, unsigned limit = 2,
                        scheduler_options options = {})
        : scheduler("model@sul", with_limit(options, limit), 1)
    {
        for (unsigned index = 0; index < endpoints; ++index)
            this->listed.push_back({"e" + std::to_string(index),
                                    "127.0.0.1:" + std::to_string(index + 1),
                                    "sul", false, true});
        this->scheduler.set_endpoints(0ms, this->listed);
    }

    static scheduler_options with_limit(scheduler_options options,
                                        unsigned limit)
    {
        options.concurrency = {limit, 1, limit};
        return options;
    }

    static want_slot request(work_kind kind, std::uint32_t tokens = 10,
                             std::uint32_t wait_timeout_ms = 1000)
    {
        want_slot want;
        want.requester = "entry";
        want.kind = kind;
        want.expected_tokens = tokens;
        want.wait_timeout_ms = wait_timeout_ms;
        want.token_gap_ms = 54;
        return want;
    }

    scheduler_output want(instant now, slots::waiter_id waiter,
                          const want_slot& request)
    {
        this->scheduler.request_slot(now, waiter, request);
        return this->scheduler.take_output();
    }

    scheduler_output finish(instant now, std::uint64_t ticket,
                            const std::string& endpoint)
    {
        messages::slot_report report;
        report.requester = "entry";
        report.finished.push_back({ticket, endpoint, false, 5});
        this->scheduler.report(now, report);
        return this->scheduler.take_output();
    }

    std::vector<slots::group_endpoint> listed;
    slot_scheduler scheduler;
};

struct one_endpoint : scheduling
{
    one_endpoint() : scheduling(1, 1) {}
};

} // namespace

TEST_CASE_METHOD(scheduling, "slots, endpoints free, are granted evenly")
{
    auto first = this->want(1ms, 1, request(work_kind::online));
    auto second = this->want(1ms, 2, request(work_kind::online));
    REQUIRE(first.decisions.size() == 1);
    REQUIRE(second.decisions.size() == 1);
    CHECK(first.decisions[0].answer.endpoint !=
          second.decisions[0].answer.endpoint);
}

TEST_CASE_METHOD(one_endpoint,
                 "slots, batch fills the endpoint, online is granted at once")
{
    auto batch = this->want(1ms, 1, request(work_kind::batch));
    REQUIRE(batch.decisions.size() == 1);
    auto online = this->want(2ms, 2, request(work_kind::online));
    REQUIRE(online.decisions.size() == 1);
    CHECK(online.decisions[0].answer.reason == refusal::none);
    REQUIRE(online.preemptions.size() == 1);
    CHECK(online.preemptions[0].ticket == batch.decisions[0].answer.ticket);
}

TEST_CASE_METHOD(one_endpoint,
                 "slots, online and batch wait, online is served first")
{
    auto held = this->want(1ms, 1, request(work_kind::online));
    this->want(2ms, 2, request(work_kind::batch));
    this->want(3ms, 3, request(work_kind::online));
    auto next = this->finish(4ms, held.decisions[0].answer.ticket, "e0");
    REQUIRE(next.decisions.size() == 1);
    CHECK(next.decisions[0].waiter == 3);
}

TEST_CASE_METHOD(one_endpoint,
                 "slots, short behind long, short is served first")
{
    auto held = this->want(1ms, 1, request(work_kind::online));
    this->want(2ms, 2, request(work_kind::online, 500));
    this->want(3ms, 3, request(work_kind::online, 10));
    auto next = this->finish(4ms, held.decisions[0].answer.ticket, "e0");
    REQUIRE(next.decisions.size() == 1);
    CHECK(next.decisions[0].waiter == 3);
}

TEST_CASE_METHOD(one_endpoint,
                 "slots, stream of short requests, long one is not starved")
{
    auto held = this->want(1ms, 1, request(work_kind::online));
    auto ticket = held.decisions[0].answer.ticket;
    this->want(2ms, 2, request(work_kind::online, 500, 60'000));
    bool served = false;
    for (int turn = 0; turn < 200 && !served; ++turn)
    {
        auto now = instant(100 * turn + 10);
        this->want(now, 100 + static_cast<slots::waiter_id>(turn),
                   request(work_kind::online, 10, 60'000));
        auto next = this->finish(now, ticket, "e0");
        REQUIRE(next.decisions.size() == 1);
        served = next.decisions[0].waiter == 2;
        ticket = next.decisions[0].answer.ticket;
    }
    CHECK(served);
}

TEST_CASE("slots, long requests only, leave slots to short ones")
{
    scheduling group(1, 10);
    for (slots::waiter_id waiter = 1; waiter <= 40; ++waiter)
        group.want(1ms, waiter, group.request(work_kind::online, 10, 60'000));
    unsigned short_held = group.scheduler.status()[0].online;
    REQUIRE(short_held == 10);
    // A complete report without tickets releases all tickets of the requester,
    // so that the requests that wait are granted the slots.
    messages::slot_report empty_report;
    empty_report.requester = "entry";
    empty_report.complete = true;
    group.scheduler.report(2000ms, empty_report);
    auto refill = group.scheduler.take_output();
    group.scheduler.report(4000ms, empty_report);
    group.scheduler.take_output();
    group.scheduler.report(6000ms, empty_report);
    group.scheduler.take_output();
    group.scheduler.report(8000ms, empty_report);
    group.scheduler.take_output();
    REQUIRE(group.scheduler.waiting() == 0);
    unsigned granted = 0;
    for (slots::waiter_id waiter = 100; waiter < 120; ++waiter)
        granted += static_cast<unsigned>(
            group
                .want(10'000ms, waiter,
                      group.request(work_kind::online, 5000, 60'000))
                .decisions.size());
    CHECK(granted < 10);
    CHECK(granted >= 7);
    auto quick =
        group.want(10'001ms, 200, group.request(work_kind::online, 10, 60'000));
    CHECK(quick.decisions.size() == 1);
}

TEST_CASE_METHOD(one_endpoint, "slots, endpoint leaves, gets no new work")
{
    this->listed[0].leaving = true;
    this->scheduler.set_endpoints(1ms, this->listed);
    auto waiting = this->want(2ms, 1, request(work_kind::online));
    CHECK(waiting.decisions.empty());
    CHECK(this->scheduler.endpoints().endpoints.empty());
}

TEST_CASE_METHOD(one_endpoint,
                 "slots, endpoint no longer listed, gets no new work")
{
    auto held = this->want(1ms, 1, request(work_kind::online));
    this->scheduler.set_endpoints(2ms, {});
    auto waiting = this->want(3ms, 2, request(work_kind::online));
    CHECK(waiting.decisions.empty());
    CHECK(this->scheduler.status().size() == 1);
    this->finish(4ms, held.decisions[0].answer.ticket, "e0");
    this->scheduler.set_endpoints(5ms, {});
    CHECK(this->scheduler.status().empty());
}

TEST_CASE_METHOD(one_endpoint, "slots, wait timeout ends, request is refused")
{
    this->want(1ms, 1, request(work_kind::online));
    this->want(2ms, 2, request(work_kind::online, 10, 100));
    this->scheduler.tick(50ms);
    CHECK(this->scheduler.take_output().decisions.empty());
    this->scheduler.tick(103ms);
    auto refused = this->scheduler.take_output();
    REQUIRE(refused.decisions.size() == 1);
    CHECK(refused.decisions[0].answer.reason == refusal::deadline_passed);
}

TEST_CASE("slots, queue full, request is refused")
{
    scheduler_options options;
    options.queue_limit = 1;
    scheduling group(1, 1, options);
    group.want(1ms, 1, group.request(work_kind::online));
    group.want(1ms, 2, group.request(work_kind::online));
    auto refused = group.want(1ms, 3, group.request(work_kind::online));
    REQUIRE(refused.decisions.size() == 1);
    CHECK(refused.decisions[0].answer.reason == refusal::queue_full);
}

TEST_CASE_METHOD(one_endpoint,
                 "slots, requester's lease expires, its slots are free again")
{
    this->want(1ms, 1, request(work_kind::online));
    this->want(2ms, 2, request(work_kind::online, 10, 60'000));
    this->scheduler.tick(3900ms);
    CHECK(this->scheduler.take_output().decisions.empty());
    this->scheduler.tick(4002ms);
    CHECK(this->scheduler.take_output().decisions.size() == 1);
}

TEST_CASE_METHOD(one_endpoint,
                 "slots, new coordinator, restores held slots from a report")
{
    messages::slot_report report;
    report.requester = "entry";
    report.complete = true;
    report.held.push_back({77, "e0", work_kind::online, 10});
    this->scheduler.report(1ms, report);
    CHECK(this->scheduler.status()[0].online == 1);
    CHECK(this->want(2ms, 1, request(work_kind::online)).decisions.empty());
}

TEST_CASE_METHOD(scheduling, "slots, excluded endpoint, is not chosen")
{
    for (int turn = 0; turn < 2; ++turn)
    {
        auto want = request(work_kind::online);
        want.excluded = {"e0"};
        auto chosen = this->want(1ms, 1, want);
        REQUIRE(chosen.decisions.size() == 1);
        CHECK(chosen.decisions[0].answer.endpoint == "e1");
    }
}

TEST_CASE("slots, one endpoint slow, is ejected and readmitted after probes")
{
    scheduling group(4, 8);
    auto progress = [&](instant now, const std::string& name, unsigned tokens)
    {
        messages::slot_report report;
        report.requester = "entry";
        report.progress.push_back({name, tokens, 500});
        return group.scheduler.report(now, report);
    };
    for (auto now = 50ms; now <= 500ms; now += 50ms)
        for (const char* name : {"e0", "e1", "e2", "e3"})
            progress(now, name, 50);
    CHECK(progress(500ms, "e0", 50).ejected.empty());
    messages::report_answer answer;
    for (auto now = 550ms; now <= 1000ms && answer.ejected.empty(); now += 50ms)
    {
        for (const char* name : {"e1", "e2", "e3"})
            progress(now, name, 50);
        answer = progress(now, "e0", 10);
    }
    REQUIRE(answer.ejected == std::vector<std::string>{"e0"});
    auto chosen = group.want(1001ms, 1, group.request(work_kind::online));
    CHECK(chosen.decisions[0].answer.endpoint != "e0");
    for (slots::waiter_id waiter = 2; waiter < 30; ++waiter)
    {
        auto more =
            group.want(1002ms, waiter, group.request(work_kind::online));
        for (const auto& decision : more.decisions)
            CHECK(decision.answer.endpoint != "e0");
    }
    group.scheduler.tick(1500ms);
    auto probing = group.scheduler.take_output();
    REQUIRE(probing.probes.size() == 1);
    CHECK(probing.probes[0].endpoint == "e0");
    group.scheduler.probe_ended(1600ms, "e0", 3, 250ms);
    CHECK(group.scheduler.status()[0].ejected);
    group.scheduler.tick(2500ms);
    REQUIRE(group.scheduler.take_output().probes.size() == 1);
    group.scheduler.probe_ended(2600ms, "e0", 3, 30ms);
    CHECK_FALSE(group.scheduler.status()[0].ejected);
}

TEST_CASE("slots, endpoint slow for a moment, is avoided before it is ejected")
{
    scheduling group(4, 8);
    auto progress = [&](instant now, const std::string& name, unsigned tokens)
    {
        messages::slot_report report;
        report.requester = "entry";
        report.progress.push_back({name, tokens, 100});
        return group.scheduler.report(now, report);
    };
    for (auto now = 50ms; now <= 1000ms; now += 50ms)
        for (const char* name : {"e0", "e1", "e2", "e3"})
            progress(now, name, 10);
    for (const char* name : {"e1", "e2", "e3"})
        progress(1050ms, name, 10);
    CHECK(progress(1050ms, "e0", 2).ejected.empty());
    for (slots::waiter_id waiter = 1; waiter <= 6; ++waiter)
    {
        auto chosen =
            group.want(1051ms, waiter, group.request(work_kind::online));
        REQUIRE(chosen.decisions.size() == 1);
        CHECK(chosen.decisions[0].answer.endpoint != "e0");
    }
}

TEST_CASE("outlier detector, all endpoints slow down, ejects none")
{
    health::outlier_detector detector({});
    std::vector<std::string> names = {"a", "b", "c", "d"};
    detector.set_endpoints(names);
    for (auto now = 0ms; now < 5000ms; now += 50ms)
        for (const auto& name : names)
            detector.progress(now, name, now < 2000ms ? 50 : 10, 500);
    CHECK(detector.ejected().empty());
}

TEST_CASE("outlier detector, many endpoints fail, keeps most of the group")
{
    health::outlier_detector detector({});
    std::vector<std::string> names = {"a", "b", "c", "d", "e"};
    detector.set_endpoints(names);
    for (int turn = 0; turn < 3; ++turn)
        for (const auto& name : names)
            detector.failed(1ms, name);
    CHECK(detector.ejected().size() == 2);
}

TEST_CASE("concurrency limit, gap over target, shrinks and grows again")
{
    limits::concurrency_limit limit({16, 1, 64});
    for (auto now = 1000ms; now < 3000ms; now += 100ms)
        limit.observe(now, 100, 54, 16);
    CHECK(limit.value() < 12);
    auto low = limit.value();
    for (auto now = 3000ms; now < 6000ms; now += 100ms)
        limit.observe(now, 20, 54, limit.value());
    CHECK(limit.value() > low);
}

TEST_CASE("retry budget, calls all fail, allows only its share of repeats")
{
    limits::retry_budget budget(0.05, 10);
    int repeats = 0;
    for (int call = 0; call < 1000; ++call)
    {
        budget.earn();
        repeats += budget.spend() ? 1 : 0;
    }
    CHECK(repeats <= 60);
    CHECK(repeats >= 50);
}
