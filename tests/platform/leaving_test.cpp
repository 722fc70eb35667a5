#include <catch2/catch.hpp>

#include <thread>

#include "core/hash.hpp"
#include "platform_fleet.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

const json leaves = {{"leaving", {"1"}}};
const json stays = {{"leaving", json::array()}};

// Within this time entries have read a change of the workers' list.
constexpr auto list_time = 1500ms;

/// @brief Two entries and two workers, each beside one of the entries.
struct leaving_online
{
    leaving_online() : fleet(2, 0, 2) { this->fleet.start(); }

    const fleet::node& worker(std::size_t number) const
    {
        return this->fleet.workers[number];
    }

    int received(std::size_t number) const
    {
        return fleet::counters(this->worker(number)).at("received").get<int>();
    }

    int call(std::size_t entry, const std::string& body = "b",
             const std::vector<http::header>& headers = {})
    {
        return this->fleet
            .call(entry, "POST", "/once/x", this->next_id(), body, headers)
            .status;
    }

    std::string next_id() { return "r" + std::to_string(this->number++); }

    /// @brief Sends a few requests by the first entry, apart by more than a
    /// busy endpoint is avoided, and returns how many reached its worker.
    int reach_first_worker(int count = 6)
    {
        auto before = this->received(0);
        for (int at = 0; at < count; at++)
        {
            CHECK(this->call(0) == 200);
            std::this_thread::sleep_for(150ms);
        }
        return this->received(0) - before;
    }

    /// @brief Lets the first worker come back under its id, as a new start.
    void restart_first_worker()
    {
        fleet::admin(this->worker(0), stays);
        fleet::admin(this->worker(0), {{"full", false}});
        this->fleet.register_restarted_worker(0);
        REQUIRE(fleet::eventually(
            [&] { return this->reach_first_worker(1) > 0; }, 10s));
    }

    tests::platform_fleet fleet;
    int number = 0;
};

/// @brief A kind of answer, and how a request gets it from the first worker.
struct answer_kind
{
    std::string name;
    json switches;
    std::string body;
    std::vector<http::header> headers;
    /// Time after which the worker would be chosen again if it said nothing.
    std::chrono::milliseconds avoided_for;
};

const answer_kind answer_kinds[] = {
    {"success", json::object(), "b", {}, 0ms},
    {"error", json::object(), "failing", {}, 0ms},
    {"refusal", {{"full", true}}, "b", {}, 300ms},
    {"another instance", {{"id", "i-other"}}, "b", {}, 3500ms},
    {"without signature", {{"unsigned", 1}}, "b", {}, 300ms},
    {"of another request",
     {{"crossed", 1}},
     "b",
     {{"Deadline-Ms", "400"}},
     300ms}};

} // namespace

TEST_CASE_METHOD(leaving_online,
                 "leaving worker, store away, gets nothing more from an entry "
                 "that has passed on its answer")
{
    fleet::admin(this->fleet.store, {{"outage", true}});
    REQUIRE(this->reach_first_worker(1) == 1);
    fleet::admin(this->worker(0), leaves);
    CHECK(fleet::get(this->worker(0).address, "/healthz").status == 503);
    REQUIRE(this->reach_first_worker(1) == 1);
    CHECK(this->reach_first_worker() == 0);

    // The other entry hasn't seen such an answer yet, and its own worker is
    // full.
    fleet::admin(this->worker(1), {{"full", true}});
    auto before = this->received(0);
    CHECK(this->call(1) == 200);
    CHECK(this->received(0) == before + 1);
    std::this_thread::sleep_for(300ms);
    auto began = std::chrono::steady_clock::now();
    auto refused = this->fleet.call(1, "POST", "/once/x", "last", "b");
    CHECK(std::chrono::steady_clock::now() - began < 1s);
    CHECK(refused.status == 503);
    CHECK(refused.body.starts_with("not run"));
    CHECK_FALSE(refused.headers.get("Retry-After").empty());
    CHECK(this->received(0) == before + 1);
}

TEST_CASE_METHOD(leaving_online,
                 "leaving worker, each kind of answer, ends its use until it "
                 "comes back as a new incarnation")
{
    for (const auto& kind : answer_kinds)
    {
        INFO(kind.name);
        fleet::admin(this->worker(0), leaves);
        fleet::admin(this->worker(0), kind.switches);
        auto before = this->received(0);
        this->call(0, kind.body, kind.headers);
        REQUIRE(this->received(0) == before + 1);
        std::this_thread::sleep_for(kind.avoided_for);
        CHECK(this->reach_first_worker(3) == 0);
        this->restart_first_worker();
    }
}

TEST_CASE_METHOD(leaving_online,
                 "leaving worker, its entry vanishes and comes back, gets "
                 "nothing more")
{
    fleet::admin(this->worker(0), leaves);
    REQUIRE(this->reach_first_worker(1) == 1);
    this->fleet.drop_worker(0);
    std::this_thread::sleep_for(list_time);
    this->fleet.register_worker(0, "ready");
    std::this_thread::sleep_for(list_time);
    CHECK(this->reach_first_worker() == 0);
    this->restart_first_worker();
}

TEST_CASE_METHOD(leaving_online,
                 "leaving worker, stream that runs there, isn't cut")
{
    fleet::admin(this->worker(0), {{"events", 30}, {"event_ms", 50}});
    http::reply reply;
    std::thread caller(
        [&]
        { reply = this->fleet.call(0, "POST", "/once/x", "running", "b"); });
    CHECK(fleet::eventually([&] { return this->received(0) == 1; }, 1s));
    fleet::admin(this->worker(0), leaves);
    fleet::admin(this->worker(0), {{"events", 1}});
    REQUIRE(this->reach_first_worker(1) == 1);
    caller.join();
    CHECK(reply.status == 200);
    CHECK(reply.body.find("data: running-30\n") != reply.body.npos);
}

TEST_CASE_METHOD(leaving_online, "leaving header, other values, end nothing")
{
    for (const auto* value : {"0", "2", "yes", ""})
    {
        INFO(value);
        fleet::admin(this->worker(0), {{"leaving", {value}}});
        CHECK(this->reach_first_worker(3) == 3);
    }
}

TEST_CASE_METHOD(leaving_online,
                 "leaving worker, told by its answer, is logged and counted "
                 "once")
{
    fleet::admin(this->worker(0), leaves);
    this->fleet.call(0, "POST", "/once/x", "told", "b");
    this->reach_first_worker(2);
    auto text = this->fleet.log_of(this->fleet.entries[0]);
    auto at = text.find("event=endpoint_leaving");
    REQUIRE(at != text.npos);
    CHECK(text.find("event=endpoint_leaving", at + 1) == text.npos);
    auto line = text.substr(at, text.find('\n', at) - at);
    CHECK(line.find("id=told") != line.npos);
    CHECK(line.find("endpoint=i-1") != line.npos);
    CHECK(line.find("source=answer") != line.npos);
    auto metrics = fleet::get(this->fleet.entries[0].address, "/metrics").body;
    CHECK(metrics.find("hatch_endpoints_leaving_total{source=\"answer\"} 1") !=
          metrics.npos);
}

namespace
{

/// @brief Two disk hosts and two workers.
struct leaving_batch
{
    leaving_batch() : fleet(1, 2, 2) { this->fleet.start(); }

    void run_job(const std::string& job)
    {
        const std::vector<std::string> bodies(6, "a");
        REQUIRE(fleet::eventually(
            [&]
            {
                return this->fleet
                           .call(0, "POST", "/jobs/x", job,
                                 tests::platform_fleet::job_body(job, bodies))
                           .status == 202;
            },
            10s));
        REQUIRE(fleet::eventually(
            [&]
            {
                auto read = this->fleet.results(0, job);
                return !read.is_null() &&
                       read.at("results").size() == bodies.size();
            },
            20s));
        for (const auto& one : this->fleet.results(0, job).at("results"))
            CHECK(one.at("state") == "done");
    }

    /// @brief The id of another job in the same partition.
    std::string neighbour_of(const std::string& job)
    {
        auto values = fleet::counters(this->fleet.store).at("values");
        auto partitions =
            json::parse(values.at("hatch/placement").get<std::string>()).size();
        for (int number = 0;; number++)
        {
            auto id = "neighbour" + std::to_string(number);
            if (core::hash(id) % partitions == core::hash(job) % partitions)
                return id;
        }
    }

    json seen() const { return fleet::counters(this->fleet.workers[0]); }

    tests::platform_fleet fleet;
};

} // namespace

TEST_CASE_METHOD(leaving_batch,
                 "leaving worker, store away, gets no more items from a host "
                 "that has had its answer")
{
    for (const auto& worker : this->fleet.workers)
        fleet::admin(worker, {{"event_ms", 50}});
    this->run_job("first");
    auto neighbour = this->neighbour_of("second");
    fleet::admin(this->fleet.store, {{"outage", true}});
    fleet::admin(this->fleet.workers[0], leaves);
    this->run_job("second");
    auto before = this->seen();
    REQUIRE(before.at("received").get<int>() > 0);
    this->run_job(neighbour);
    CHECK(this->seen().at("received") == before.at("received"));
    // What ran there when the answers came was left to end.
    for (const auto& runs : before.at("runs"))
        CHECK(runs == 1);
}
