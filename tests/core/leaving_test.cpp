#include <catch2/catch.hpp>

#include "core/endpoints/endpoint_table.hpp"
#include "core/endpoints/leaving_marks.hpp"
#include "forward/leaving_answer.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using core::instant;
using core::endpoints::load_kind;
using core::endpoints::run_outcome;

namespace
{

constexpr std::int64_t first_start = 1000;

core::endpoints::endpoint make(const std::string& id, std::int64_t started_ms,
                               const std::string& address = "127.0.0.1:1")
{
    return {id, "pool", address, "near", 2, false, started_ms};
}

/// @brief Two endpoints of one service, of which the first is to leave.
struct two_endpoints
{
    two_endpoints()
        : peers("self", "near", 1, {1000ms, 1000ms, 10000ms}),
          table("near", {{"near", "r1"}}, peers)
    {
        this->list(make("one", first_start));
    }

    void list(const core::endpoints::endpoint& first)
    {
        this->table.replace({first, make("two", first_start)});
    }

    void list_without_first()
    {
        this->table.replace({make("two", first_start)});
    }

    core::endpoints::run_key begin(load_kind kind = load_kind::online)
    {
        return this->table.begin("one", kind, this->now);
    }

    void leave()
    {
        auto run = this->begin();
        CHECK(this->table.record_leaving(run));
        this->table.end(run, run_outcome::answered, this->now);
    }

    /// @brief True if any choice among the endpoints can give the first one.
    bool first_is_chosen()
    {
        auto online = this->table.choose_online(
            "pool", std::vector<std::string>{"two"}, this->now, 0.3);
        bool batch = false;
        for (double uniform = 0; uniform < 1; uniform += 0.01)
        {
            auto found =
                this->table.choose_batch("pool", {0, 1}, this->now, uniform);
            batch =
                batch || (found.chosen != nullptr && found.chosen->id == "one");
        }
        CHECK(batch == (online.chosen != nullptr));
        CHECK(this->table.usable("pool", this->now) == (batch ? 2 : 1));
        CHECK(this->table.free_for_batch("pool", {0, 1}, this->now) ==
              (batch ? 4 : 2));
        return batch;
    }

    core::peers::peer_table peers;
    core::endpoints::endpoint_table table;
    instant now{10000};
};

bool says_leaving(const std::vector<std::string>& lines)
{
    forward::header_names names;
    names.leaving = "Leaves";
    names.leaving_value = "1";
    http::header_list headers;
    headers.add("Other", "1");
    for (const auto& line : lines)
        headers.add("leaves", line);
    return forward::says_leaving(names, headers);
}

} // namespace

TEST_CASE_METHOD(two_endpoints,
                 "leaving endpoint, said so in an answer, isn't chosen again")
{
    REQUIRE(this->first_is_chosen());
    this->leave();
    CHECK_FALSE(this->first_is_chosen());
    this->now += 1h;
    this->list(make("one", first_start));
    CHECK_FALSE(this->first_is_chosen());
}

TEST_CASE_METHOD(two_endpoints,
                 "leaving endpoint, its running requests, aren't ended")
{
    auto online = this->begin();
    auto batch = this->begin(load_kind::batch);
    CHECK(this->table.record_leaving(online));
    CHECK_FALSE(this->table.record_leaving(batch));
    REQUIRE(this->table.own_loads().size() == 1);
    CHECK(this->table.own_loads()[0].online == 1);
    CHECK(this->table.own_loads()[0].batch == 1);
    CHECK(this->table.excess("one") == 0);
    this->table.end(online, run_outcome::answered, this->now);
    this->table.end(batch, run_outcome::answered, this->now);
    CHECK(this->table.own_loads().empty());
    CHECK_FALSE(this->first_is_chosen());
}

TEST_CASE_METHOD(two_endpoints,
                 "leaving endpoint, its entry vanishes and comes back, isn't "
                 "chosen again")
{
    this->leave();
    this->list_without_first();
    REQUIRE(this->table.find("one") == nullptr);
    this->list(make("one", first_start));
    CHECK_FALSE(this->first_is_chosen());
}

TEST_CASE_METHOD(two_endpoints,
                 "leaving endpoint, unlisted while it says so, isn't chosen "
                 "again")
{
    auto run = this->begin();
    this->list_without_first();
    CHECK(this->table.record_leaving(run));
    this->table.end(run, run_outcome::answered, this->now);
    this->list(make("one", first_start));
    CHECK_FALSE(this->first_is_chosen());
}

TEST_CASE_METHOD(two_endpoints,
                 "leaving endpoint, registered as a new incarnation, is chosen")
{
    this->leave();
    this->list(make("one", first_start + 1));
    CHECK(this->first_is_chosen());
    this->leave();
    CHECK_FALSE(this->first_is_chosen());
}

TEST_CASE_METHOD(two_endpoints,
                 "leaving endpoint, older copy names an earlier incarnation, "
                 "isn't chosen again")
{
    this->list(make("one", first_start + 1));
    this->leave();
    this->list(make("one", first_start));
    CHECK_FALSE(this->first_is_chosen());
}

TEST_CASE_METHOD(two_endpoints,
                 "leaving answer, of a run before the endpoint was replaced, "
                 "doesn't concern the new incarnation")
{
    auto run = this->begin();
    this->list(make("one", first_start + 1));
    CHECK(this->table.record_leaving(run));
    this->table.end(run, run_outcome::answered, this->now);
    CHECK(this->first_is_chosen());
    this->list(make("one", first_start));
    CHECK_FALSE(this->first_is_chosen());
}

TEST_CASE_METHOD(two_endpoints,
                 "leaving answer, of an ended or unknown run, does nothing")
{
    auto run = this->begin();
    this->table.end(run, run_outcome::answered, this->now);
    CHECK_FALSE(this->table.record_leaving(run));
    CHECK_FALSE(this->table.record_leaving({"none", 1}));
    CHECK(this->first_is_chosen());
}

TEST_CASE_METHOD(two_endpoints,
                 "leaving endpoint without a start time, told apart by its "
                 "address")
{
    this->list(make("one", 0));
    this->leave();
    this->list_without_first();
    this->list(make("one", 0));
    CHECK_FALSE(this->first_is_chosen());
    this->list(make("one", first_start));
    CHECK_FALSE(this->first_is_chosen());
    this->list(make("one", 0, "127.0.0.1:2"));
    CHECK(this->first_is_chosen());
}

TEST_CASE_METHOD(two_endpoints,
                 "leaving endpoint, last one of its service, leaves no choice")
{
    this->table.replace({make("one", first_start)});
    this->leave();
    CHECK(this->table.choose_online("pool", {}, this->now, 0.3).chosen ==
          nullptr);
    CHECK(this->table.choose_batch("pool", {0, 1}, this->now, 0.3).chosen ==
          nullptr);
}

TEST_CASE("leaving marks, more than the limit, the newest are kept")
{
    constexpr std::size_t limit = 3;
    core::endpoints::leaving_marks marks(limit);
    for (std::int64_t number = 0; number < 10; number++)
        CHECK(marks.add("e" + std::to_string(number), {first_start, "a"}));
    CHECK(marks.size() == limit);
    CHECK_FALSE(marks.covers("e6", {first_start, "a"}));
    CHECK(marks.covers("e7", {first_start, "a"}));
    CHECK(marks.covers("e9", {first_start, "a"}));
    CHECK(marks.add("e7", {first_start + 1, "a"}));
    CHECK(marks.add("e10", {first_start, "a"}));
    CHECK_FALSE(marks.covers("e8", {first_start, "a"}));
    CHECK(marks.covers("e7", {first_start + 1, "a"}));
}

TEST_CASE("leaving answer, odd values, only the one that says so counts")
{
    CHECK(says_leaving({"1"}));
    CHECK(says_leaving({" 1\t"}));
    CHECK(says_leaving({"0", "1"}));
    CHECK(says_leaving({"0, 1"}));
    CHECK(says_leaving({"1,"}));
    CHECK_FALSE(says_leaving({}));
    CHECK_FALSE(says_leaving({""}));
    CHECK_FALSE(says_leaving({"0"}));
    CHECK_FALSE(says_leaving({"01"}));
    CHECK_FALSE(says_leaving({"11"}));
    CHECK_FALSE(says_leaving({"1.0"}));
    CHECK_FALSE(says_leaving({"1;0"}));
    CHECK_FALSE(says_leaving({"yes"}));
    CHECK_FALSE(says_leaving({std::string(5000, ',')}));
}
