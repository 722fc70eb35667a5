#include <catch2/catch.hpp>

#include "core/endpoints/endpoint_table.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using core::instant;
using core::endpoints::load_kind;
using core::endpoints::run_outcome;

namespace
{

core::endpoints::endpoint make(std::string id, std::string zone,
                               std::uint32_t slots = 2)
{
    return {std::move(id),   "pool", "127.0.0.1:1",
            std::move(zone), slots,  false};
}

struct three_endpoints
{
    three_endpoints()
        : peers("self", "near", 1, {1000ms, 1000ms, 10000ms}),
          table("near", {{"near", "r1"}, {"next", "r1"}, {"far", "r2"}}, peers)
    {
        this->table.replace({make("near-1", "near"), make("next-1", "next"),
                             make("far-1", "far")});
    }

    std::string choose_online_id(const std::vector<std::string>& excluded = {})
    {
        auto found =
            this->table.choose_online("pool", excluded, this->now, 0.3);
        return found.chosen == nullptr ? "none" : found.chosen->id;
    }

    std::string choose_batch_id(std::uint32_t reserve = 0)
    {
        auto found =
            this->table.choose_batch("pool", {reserve, 1}, this->now, 0.3);
        return found.chosen == nullptr ? "none" : found.chosen->id;
    }

    void fill(const std::string& id, load_kind kind, int count = 2)
    {
        for (int index = 0; index < count; index++)
        {
            auto run = this->table.begin(id, kind, this->now);
            this->table.progress(run, this->now);
            this->runs.push_back(run);
        }
    }

    void receive_load(const std::string& id, std::uint32_t online,
                      std::uint32_t batch)
    {
        core::peers::beacon sent_beacon;
        sent_beacon.name = "other";
        sent_beacon.incarnation = 7;
        sent_beacon.zone = "near";
        sent_beacon.sent_ms = ++this->sent;
        sent_beacon.loads = {{core::endpoints::load_key(id), online, batch}};
        this->peers.receive(sent_beacon, this->now);
    }

    core::peers::peer_table peers;
    core::endpoints::endpoint_table table;
    instant now{10000};
    std::int64_t sent = 0;
    std::vector<core::endpoints::run_key> runs;
};

} // namespace

TEST_CASE_METHOD(three_endpoints, "choice, free slots, selects the nearest")
{
    CHECK(this->choose_online_id() == "near-1");
    CHECK(this->choose_online_id({"near-1"}) == "next-1");
    CHECK(this->choose_online_id({"near-1", "next-1"}) == "far-1");
    CHECK(this->choose_online_id({"near-1", "next-1", "far-1"}) == "none");
}

TEST_CASE_METHOD(three_endpoints, "choice, near one full, selects a free one")
{
    this->fill("near-1", load_kind::online);
    CHECK(this->choose_online_id() == "next-1");
}

TEST_CASE_METHOD(three_endpoints,
                 "choice, batch work everywhere, preempts it nearby")
{
    for (const auto* id : {"near-1", "next-1", "far-1"})
        this->fill(id, load_kind::batch);
    auto found = this->table.choose_online("pool", {}, this->now, 0.3);
    REQUIRE(found.chosen != nullptr);
    CHECK(found.chosen->id == "near-1");
    CHECK(found.preempts);
    CHECK(found.expected_wait == 0ms);
}

TEST_CASE_METHOD(three_endpoints,
                 "choice, all full of online work, returns the expected wait")
{
    for (const auto* id : {"near-1", "next-1", "far-1"})
        this->fill(id, load_kind::online);
    auto found = this->table.choose_online("pool", {}, this->now, 0.3);
    REQUIRE(found.chosen != nullptr);
    CHECK_FALSE(found.preempts);
    CHECK(found.expected_wait == this->table.mean_slot_time("pool") / 2);
}

TEST_CASE_METHOD(three_endpoints, "choice, other hosts' load, counts")
{
    this->receive_load("near-1", 2, 0);
    CHECK(this->choose_online_id() == "next-1");
    CHECK(this->choose_batch_id() != "near-1");
    this->receive_load("near-1", 0, 0);
    CHECK(this->choose_online_id() == "near-1");
}

TEST_CASE_METHOD(three_endpoints, "choice, unresponsive host's load, expires")
{
    this->receive_load("near-1", 2, 0);
    this->now += 1100ms;
    this->peers.expire_loads(this->now);
    CHECK(this->choose_online_id() == "near-1");
}

TEST_CASE_METHOD(three_endpoints,
                 "choice, draining or no longer listed, is excluded")
{
    auto leaving = make("near-1", "near");
    leaving.draining = true;
    this->table.replace({leaving, make("far-1", "far")});
    CHECK(this->choose_online_id() == "far-1");
    CHECK(this->choose_batch_id() == "far-1");
}

TEST_CASE_METHOD(three_endpoints, "health, unreachable, is excluded for a time")
{
    auto run = this->table.begin("near-1", load_kind::online, this->now);
    this->table.end(run, run_outcome::unreachable, this->now);
    CHECK(this->choose_online_id() == "next-1");
    this->now += 250ms;
    CHECK(this->choose_online_id() == "near-1");
}

TEST_CASE_METHOD(three_endpoints,
                 "health, one broken answer, is tolerated once")
{
    for (int broken = 0; broken < 2; broken++)
    {
        CHECK(this->choose_online_id() == "near-1");
        auto run = this->table.begin("near-1", load_kind::online, this->now);
        this->table.end(run, run_outcome::broken, this->now);
    }
    CHECK(this->choose_online_id() == "next-1");
}

TEST_CASE_METHOD(three_endpoints,
                 "health, running without progress, is excluded")
{
    this->fill("near-1", load_kind::online, 1);
    this->now += 260ms;
    CHECK(this->choose_online_id() == "next-1");
    this->table.progress(this->runs[0], this->now);
    CHECK(this->choose_online_id() == "near-1");
}

TEST_CASE_METHOD(three_endpoints,
                 "health, replaced instance, is excluded for seconds")
{
    auto run = this->table.begin("near-1", load_kind::online, this->now);
    this->table.end(run, run_outcome::replaced, this->now);
    this->now += 3000ms;
    CHECK(this->choose_online_id() == "next-1");
}

TEST_CASE_METHOD(three_endpoints, "batch choice, reserve, keeps slots free")
{
    this->fill("near-1", load_kind::online, 1);
    this->fill("next-1", load_kind::online, 1);
    this->fill("far-1", load_kind::online, 1);
    CHECK(this->choose_batch_id(1) == "none");
    CHECK(this->choose_batch_id(0) != "none");
}

TEST_CASE_METHOD(three_endpoints,
                 "excess, online over batch, returns the count")
{
    this->fill("near-1", load_kind::batch);
    CHECK(this->table.excess("near-1") == 0);
    this->receive_load("near-1", 1, 0);
    CHECK(this->table.excess("near-1") == 1);
    this->table.end(this->runs[0], run_outcome::cancelled, this->now);
    CHECK(this->table.excess("near-1") == 0);
}

TEST_CASE_METHOD(three_endpoints,
                 "unlisted endpoint, last run ends, is removed")
{
    this->fill("near-1", load_kind::online, 1);
    this->table.replace({make("far-1", "far")});
    CHECK(this->table.find("near-1") != nullptr);
    this->table.end(this->runs[0], run_outcome::answered, this->now);
    CHECK(this->table.find("near-1") == nullptr);
}

// Items that end late anyway must not fill the slots of the fleet.
TEST_CASE_METHOD(three_endpoints,
                 "batch choice, share of the slots, is not exceeded")
{
    this->table.replace({make("near-1", "near", 8)});
    this->fill("near-1", load_kind::online, 4);
    CHECK(this->table.choose_batch("pool", {1, 0.5}, this->now, 0.3).chosen ==
          nullptr);
    CHECK(this->table.choose_batch("pool", {1, 1}, this->now, 0.3).chosen !=
          nullptr);
    // A service whose endpoints have one slot each runs batch work, too.
    this->table.replace({make("next-1", "next", 1)});
    CHECK(this->choose_batch_id(1) == "next-1");
}
