#include <catch2/catch.hpp>

#include <random>
#include <set>

#include "core/quarantine/part_quarantine.hpp"

#include "quarantine_table.hpp"

using namespace amaranthhatch;
using namespace amaranthhatch::tests;
using core::instant;
using core::quarantine::crash_report;
using core::quarantine::part_id;
using core::quarantine::part_quarantine;
using namespace std::chrono_literals;

TEST_CASE_METHOD(
    quarantine_table,
    "deadly part, three crashes, is blocked with what it came with")
{
    this->deadly_crashes(2);
    this->answer_others();
    CHECK_FALSE(this->blocked({first_part, subject, deadly}));
    this->deadly_crashes(1);
    CHECK_FALSE(this->blocked({first_part, subject, deadly}));
    this->answer_others();
    CHECK(this->blocked({first_part, subject, deadly}));
    CHECK_FALSE(this->blocked({first_part, subject}));
    CHECK_FALSE(this->blocked({first_part, deadly}));
}

TEST_CASE_METHOD(quarantine_table,
                 "deadly part, in another company, is blocked in any")
{
    this->deadly_crashes(3);
    this->answer_others({first_part});
    CHECK_FALSE(this->blocked({first_part, other_subject, deadly}));
    this->deadly_crashes(1, other_subject);
    for (int second = 0; second < 3; second++)
        this->answer_others({first_part});
    CHECK(this->blocked({77, deadly, 78}));
    CHECK_FALSE(this->blocked({first_part, subject}));
    CHECK_FALSE(this->blocked({first_part, other_subject}));
}

TEST_CASE_METHOD(quarantine_table,
                 "shared part, crashes beside a deadly one, isn't blocked")
{
    // A sound request with the shared part began on a crashed endpoint.
    this->deadly_crashes(4);
    this->crash(1, {first_part, 50});
    this->crash(2, {first_part, 51});
    this->answer_others();
    CHECK(this->blocked({first_part, subject, deadly}));
    CHECK_FALSE(this->blocked({first_part, 52}));
    CHECK_FALSE(this->blocked({first_part, subject}));
}

TEST_CASE_METHOD(quarantine_table,
                 "two deadly parts, same first part, are both "
                 "blocked and the first part isn't")
{
    this->deadly_crashes(4);
    for (int at = 0; at < 4; at++)
        this->crash(100 + at, {first_part, other_subject, 777});
    this->answer_others();
    CHECK(this->blocked({first_part, subject, deadly}));
    CHECK(this->blocked({first_part, other_subject, 777}));
    CHECK_FALSE(this->blocked({first_part, 50}));
}

TEST_CASE_METHOD(quarantine_table,
                 "sound part, runs closed on many endpoints, is cleared")
{
    for (int at = 0; at < 8; at++)
        this->crash(at, {first_part, static_cast<part_id>(50 + at)});
    this->table.record_answer(std::vector<part_id>{first_part, 99}, service,
                              this->now);
    this->answer_others();
    CHECK(this->table.quarantined().empty());
}

TEST_CASE_METHOD(quarantine_table,
                 "all endpoints down, nothing answered, blocks no part")
{
    for (int at = 0; at < 8; at++)
        this->crash(at, {first_part, static_cast<part_id>(50 + at)});
    for (int at = 0; at < 50; at++)
    {
        this->now += 100ms;
        this->table.update(this->now);
    }
    CHECK(this->table.quarantined().empty());
}

TEST_CASE_METHOD(quarantine_table,
                 "one crash, many runs ended by it, is one crash")
{
    for (int at = 0; at < 8; at++)
        this->crash(5, {first_part, subject});
    this->answer_others();
    CHECK(this->table.quarantined().empty());
}

TEST_CASE_METHOD(quarantine_table,
                 "quarantined part, answered elsewhere, is released everywhere")
{
    this->deadly_crashes(3);
    this->answer_others();
    quarantine_table other;
    for (const auto& report : this->table.reports_to_send(this->now))
        other.table.merge(report, other.now);
    REQUIRE(other.blocked({first_part, subject, deadly}));
    other.table.record_answer(std::vector<part_id>{first_part, subject, deadly},
                              service, other.now);
    for (const auto& report : other.table.reports_to_send(other.now))
        this->table.merge(report, this->now);
    CHECK_FALSE(this->blocked({first_part, subject, deadly}));
}

TEST_CASE_METHOD(quarantine_table,
                 "quarantined part, no crash for the duration, is released")
{
    this->deadly_crashes(3);
    this->answer_others();
    auto left = this->table.blocked_for(
        std::vector<part_id>{first_part, subject, deadly}, this->now);
    REQUIRE(left);
    CHECK(*left > 290s);
    this->now += *left;
    this->table.update(this->now);
    CHECK(this->table.size() == 0);
    CHECK_FALSE(this->blocked({first_part, subject, deadly}));
}

TEST_CASE_METHOD(
    quarantine_table,
    "removed report, of a host that still had it, doesn't come back")
{
    this->deadly_crashes(3);
    this->answer_others();
    // In the last seconds nothing is sent, as others may have removed it.
    this->now += 291s;
    CHECK(this->table.reports_to_send(this->now).empty());
    CHECK(this->blocked({first_part, subject, deadly}));
}

TEST_CASE_METHOD(quarantine_table,
                 "flood of parts, each crashing once, stays within its bounds")
{
    this->deadly_crashes(3);
    this->answer_others({first_part});
    for (part_id at = 0; at < 5000; at++)
        this->crash(1000 + at, {first_part, 10000 + at});
    CHECK(this->table.size() <= part_quarantine::limits{}.reports);
    CHECK(this->table.reports_to_send(this->now).size() <= 8);
    CHECK(this->blocked({first_part, subject, deadly}));
    std::vector<part_id> many(1000, 4);
    this->crash(9, many);
    CHECK(this->table.size() <= part_quarantine::limits{}.reports);
}

TEST_CASE_METHOD(quarantine_table,
                 "deadly part, its requests come in pairs, is blocked")
{
    for (part_id pair = 0; pair < 10; pair++)
    {
        this->deadly_crashes(2, 1000 + pair);
        this->answer_others({first_part});
    }
    CHECK(this->blocked({first_part, 77, deadly}));
    CHECK_FALSE(this->blocked({first_part, 77}));
}

TEST_CASE_METHOD(
    quarantine_table,
    "deadly part, many crashes with another part, is blocked alone")
{
    this->deadly_crashes(10);
    for (int at = 0; at < 4; at++)
        this->crash(100 + at, {first_part, deadly});
    for (int second = 0; second < 3; second++)
        this->answer_others({first_part});
    CHECK(this->blocked({first_part, deadly}));
}

TEST_CASE_METHOD(quarantine_table,
                 "endpoints down, another service answers, blocks no part")
{
    for (int at = 0; at < 8; at++)
        this->crash(at, {first_part, static_cast<part_id>(50 + at)});
    for (int at = 0; at < 50; at++)
    {
        this->now += 100ms;
        this->table.record_answer(std::vector<part_id>{9}, 6, this->now);
        this->table.record_answer({}, service, this->now);
        this->table.update(this->now);
    }
    CHECK(this->table.quarantined().empty());
}

TEST_CASE_METHOD(quarantine_table,
                 "endpoints down, a report of another service "
                 "is cleared, blocks no part")
{
    this->deadly_crashes(3);
    crash_report elsewhere{900, 900, 6, {first_part, subject, deadly},
                           0,   0,   {}};
    this->table.record_crash(elsewhere, this->now);
    for (int at = 0; at < 50; at++)
        this->table.record_answer(std::vector<part_id>{9}, 6, this->now);
    this->table.update(this->now);
    // Another host has cleared that report only.
    elsewhere.cleared = 7;
    this->table.merge(elsewhere, this->now);
    this->now += 1s;
    this->table.update(this->now);
    CHECK(this->table.quarantined().empty());
}

TEST_CASE_METHOD(quarantine_table,
                 "endpoints that reset some requests, answer others sent "
                 "later, block no part")
{
    this->deadly_crashes(3);
    this->now += 300ms;
    for (std::uint64_t endpoint = 1; endpoint <= 3; endpoint++)
        this->table.record_alive(endpoint, this->now, this->now);
    this->answer_others();
    CHECK(this->table.quarantined().empty());
}

TEST_CASE_METHOD(quarantine_table,
                 "endpoints that reset all requests, stay registered, "
                 "release the part")
{
    this->deadly_crashes(3);
    auto closed_at = this->now;
    this->answer_others();
    REQUIRE(this->blocked({first_part, subject, deadly}));
    CHECK(this->table.reported_endpoints() == std::set<std::uint64_t>{1, 2, 3});
    for (auto crashed_before : {closed_at - 1ms, closed_at})
    {
        CHECK(this->blocked({first_part, subject, deadly}));
        for (std::uint64_t endpoint = 1; endpoint <= 3; endpoint++)
            this->table.record_registered(endpoint, crashed_before, this->now);
    }
    CHECK(this->table.quarantined().empty());
    CHECK(this->table.reported_endpoints().empty());
}

TEST_CASE_METHOD(quarantine_table,
                 "crashed endpoints, runs of before or of the next "
                 "incarnation, keep the part blocked")
{
    this->deadly_crashes(3);
    auto crashed_at = this->now;
    this->answer_others();
    // Sent before the crash, with its report on the way, or to the endpoint's
    // next incarnation.
    for (auto sent_at : {crashed_at - 1ms, crashed_at + 100ms, crashed_at + 3s})
        for (std::uint64_t endpoint = 1; endpoint <= 3; endpoint++)
            this->table.record_alive(endpoint, sent_at, this->now);
    CHECK(this->blocked({first_part, subject, deadly}));
}

TEST_CASE_METHOD(quarantine_table,
                 "endpoint that reset a request, crashes later, counts again")
{
    this->deadly_crashes(3);
    this->now += 300ms;
    for (std::uint64_t endpoint = 1; endpoint <= 3; endpoint++)
        this->table.record_alive(endpoint, this->now, this->now);
    this->endpoints = 0;
    this->deadly_crashes(3);
    CHECK(this->table.reported_endpoints().empty());
    for (int second = 0; second < 2; second++)
        this->answer_others();
    this->endpoints = 0;
    this->deadly_crashes(3);
    this->answer_others();
    CHECK(this->blocked({first_part, subject, deadly}));
}

TEST_CASE_METHOD(quarantine_table,
                 "sound part, one crash after an unfounded quarantine, isn't "
                 "blocked at once")
{
    this->deadly_crashes(3);
    this->answer_others();
    REQUIRE(this->blocked({first_part, subject, deadly}));
    this->table.record_registered(1, this->now, this->now);
    REQUIRE_FALSE(this->blocked({first_part, subject, deadly}));
    this->crash(9, {first_part, subject, deadly});
    CHECK_FALSE(this->blocked({first_part, subject, deadly}));
}

TEST_CASE_METHOD(quarantine_table,
                 "cleared report, removed here, another host still has it, "
                 "doesn't come back")
{
    this->deadly_crashes(3);
    this->answer_others();
    auto uncleared = this->table.reports_of(deadly, this->now);
    REQUIRE(uncleared.size() == 3);
    for (auto& report : uncleared)
        report.confirmed = 0;
    part_quarantine fresh({});
    for (const auto& report : uncleared)
        fresh.merge(report, this->now);
    for (std::uint64_t endpoint = 1; endpoint <= 3; endpoint++)
        fresh.record_registered(endpoint, this->now, this->now);
    this->now += 20s;
    fresh.update(this->now);
    REQUIRE(fresh.size() == 0);
    for (const auto& report : uncleared)
        fresh.merge(report, this->now);
    CHECK(fresh.size() == 0);
}

TEST_CASE_METHOD(quarantine_table,
                 "endpoint that resets all requests, doesn't fill the table")
{
    this->deadly_crashes(1);
    this->now += 300ms;
    this->table.record_alive(1, this->now, this->now);
    auto before = this->table.size();
    for (part_id at = 0; at < 100; at++)
        this->crash(1, {first_part, 1000 + at});
    CHECK(this->table.size() == before);
}

TEST_CASE_METHOD(quarantine_table,
                 "cleared part, a host was cut off meanwhile, is told it later")
{
    this->deadly_crashes(3);
    this->answer_others();
    quarantine_table other;
    for (const auto& report : this->table.reports_to_send(this->now))
        other.table.merge(report, other.now);
    this->table.record_answer(std::vector<part_id>{first_part, subject, deadly},
                              service, this->now);
    // The other host hears none of this for some seconds.
    this->now += 10s;
    other.now += 10s;
    this->table.update(this->now);
    REQUIRE(other.blocked({first_part, subject, deadly}));
    for (int at = 0; at < 100; at++)
    {
        this->now += 20ms;
        other.now += 20ms;
        for (const auto& report : other.table.reports_to_send(other.now))
            this->table.merge(report, this->now);
        for (const auto& report : this->table.reports_to_send(this->now))
            other.table.merge(report, other.now);
    }
    CHECK_FALSE(other.blocked({first_part, subject, deadly}));
    CHECK_FALSE(this->blocked({first_part, subject, deadly}));
}

TEST_CASE_METHOD(quarantine_table, "report, age or marks garbled, is bounded")
{
    this->deadly_crashes(3);
    this->answer_others();
    auto reports = this->table.reports_to_send(this->now);
    REQUIRE(reports.size() == 3);
    for (auto age : {core::milliseconds::max(), core::milliseconds(-5000)})
        for (auto report : reports)
        {
            report.age = age;
            report.cleared = 0xfffffff0;
            this->table.merge(report, this->now);
            report.run += 1000;
            this->table.merge(report, this->now);
        }
    this->now += 301s;
    this->table.update(this->now);
    CHECK(this->table.size() == 0);
}

TEST_CASE("deadly part, crashes spread over many hosts with lost beacons, is "
          "blocked on all of them")
{
    constexpr int hosts = 12;
    for (unsigned seed = 1; seed <= 20; seed++)
    {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        std::vector<part_quarantine> tables(hosts, part_quarantine({}));
        std::uint64_t run = 0;
        for (instant now{0}; now < 6s; now += 20ms)
        {
            auto host = random() % hosts;
            // A request with the deadly part every 300 ms, at any host.
            if (now % 300ms == 0ms && now < 2s)
                tables[host].record_crash({++run,
                                           run,
                                           service,
                                           {first_part, subject, deadly},
                                           0,
                                           0,
                                           {}},
                                          now);
            // A sound one at another host; half of them share the first part.
            auto sound = random() % hosts;
            tables[sound].record_answer(
                std::vector<part_id>{random() % 2 == 0 ? first_part : 9,
                                     100 + random() % 100},
                service, now);
            for (auto& from : tables)
            {
                from.update(now);
                auto reports = from.reports_to_send(now);
                for (auto& to : tables)
                    if (&to != &from && random() % 4 == 0)
                        for (const auto& report : reports)
                            to.merge(report, now);
            }
        }
        for (const auto& table : tables)
        {
            std::vector<part_id> poisonous{first_part, subject, deadly};
            std::vector<part_id> sound{first_part, subject};
            CHECK(table.blocked_for(poisonous, 6s));
            CHECK_FALSE(table.blocked_for(sound, 6s));
        }
    }
}
