#include <catch2/catch.hpp>

#include "claim_schedule.hpp"
#include "core/members/rendezvous.hpp"
#include "schedules.hpp"

using namespace amaranthhatch;
using namespace amaranthhatch::core;
using namespace std::chrono_literals;
using claims::claim_keeper;
using claims::claim_vote;
using claims::vote_state;
using messages::claim_verdict;
using tests::claim_fault;
using tests::claim_schedule;

namespace
{

std::uint64_t count_doubled(claim_fault fault, std::uint64_t schedules)
{
    std::uint64_t doubled = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed)
        doubled += claim_schedule(seed, fault).run().empty() ? 0 : 1;
    return doubled;
}

messages::claim_answer granted()
{
    messages::claim_answer answer;
    answer.verdict = claim_verdict::granted;
    return answer;
}

messages::claim_answer taken_by(const std::string& holder)
{
    messages::claim_answer answer;
    answer.verdict = claim_verdict::taken;
    answer.holder = holder;
    return answer;
}

struct three_keepers
{
    three_keepers()
    {
        this->history.current.generation = 1;
        for (const char* name : {"a", "b", "c"})
            this->history.current.keepers.push_back(
                {name, std::string("zone-") + name, name,
                 std::string("boot-") + name});
    }

    claim_keeper keeper(const std::string& name, const std::string& boot,
                        claims::claim_options options = {},
                        instant started = 0ms) const
    {
        claim_keeper made(name, boot, options, started);
        made.adopt(started, this->history);
        return made;
    }

    messages::keeper_history history;
};

} // namespace

TEST_CASE("claims, replayed schedules, no key is held by two attempts")
{
    std::uint32_t granted = 0;
    std::uint32_t refused = 0;
    for (std::uint64_t seed = 1; seed <= tests::schedule_count(); ++seed)
    {
        INFO("seed " << seed);
        claim_schedule schedule(seed, claim_fault::none);
        REQUIRE(schedule.run().empty());
        granted += schedule.granted();
        refused += schedule.refused();
    }
    WARN("granted " << granted << ", refused " << refused);
    // A protocol that never grants would pass the check above.
    CHECK(granted > tests::schedule_count());
}

TEST_CASE("claims, keeper votes right after its restart, replays find doubles")
{
    CHECK(count_doubled(claim_fault::vote_after_restart, 400) > 0);
}

TEST_CASE("claims, new generation votes without copies, replays find doubles")
{
    CHECK(count_doubled(claim_fault::vote_without_copies, 400) > 0);
}

TEST_CASE_METHOD(three_keepers,
                 "claim keeper, second attempt on a key, is told taken")
{
    auto keeper = this->keeper("a", "boot-a");
    CHECK(keeper.ask(1ms, {"key", "one", 1}).verdict == claim_verdict::granted);
    CHECK(keeper.ask(2ms, {"key", "one", 1}).verdict == claim_verdict::granted);
    CHECK(keeper.ask(3ms, {"key", "two", 1}).verdict == claim_verdict::taken);
}

TEST_CASE_METHOD(three_keepers,
                 "claim keeper, window passed, grants the key anew")
{
    claims::claim_options options;
    options.window = 1000ms;
    auto keeper = this->keeper("a", "boot-a", options);
    keeper.ask(1ms, {"key", "one", 1});
    CHECK(keeper.ask(900ms, {"key", "two", 1}).verdict == claim_verdict::taken);
    CHECK(keeper.ask(1002ms, {"key", "two", 1}).verdict ==
          claim_verdict::granted);
}

TEST_CASE_METHOD(three_keepers,
                 "claim keeper, restarted, abstains until both others are read")
{
    auto keeper = this->keeper("a", "boot-of-a-later-start");
    CHECK(keeper.ask(5000ms, {"key", "one", 1}).verdict ==
          claim_verdict::abstain);
    messages::claim_copy_answer copy;
    copy.moved = true;
    copy.last = true;
    copy.claims = {{"key", "earlier", 10}};
    copy.boot = "boot-b";
    keeper.take_copy(5000ms, "b", 1, copy);
    CHECK(keeper.ask(5001ms, {"other", "one", 1}).verdict ==
          claim_verdict::abstain);
    copy.boot = "boot-c";
    keeper.take_copy(5002ms, "c", 1, copy);
    CHECK(keeper.ask(5003ms, {"other", "one", 1}).verdict ==
          claim_verdict::granted);
    CHECK(keeper.ask(5003ms, {"key", "one", 1}).verdict ==
          claim_verdict::taken);
}

TEST_CASE_METHOD(three_keepers,
                 "claim keeper, copy of one that restarted too, does not count")
{
    auto keeper = this->keeper("a", "boot-of-a-later-start");
    messages::claim_copy_answer copy;
    copy.moved = true;
    copy.last = true;
    copy.boot = "boot-b";
    keeper.take_copy(5000ms, "b", 1, copy);
    copy.boot = "boot-of-c-later-start";
    keeper.take_copy(5000ms, "c", 1, copy);
    CHECK(keeper.ask(5001ms, {"key", "one", 1}).verdict ==
          claim_verdict::abstain);
    copy.restored = true;
    keeper.take_copy(5002ms, "c", 1, copy);
    CHECK(keeper.ask(5003ms, {"key", "one", 1}).verdict ==
          claim_verdict::granted);
}

TEST_CASE_METHOD(three_keepers,
                 "claim keeper, restarted, copies only after the ask limit")
{
    claims::claim_options options;
    options.ask_limit = 500ms;
    auto keeper = this->keeper("a", "boot-of-a-later-start", options, 100ms);
    CHECK(keeper.missing_copies(1000ms).empty());
    CHECK(keeper.missing_copies(1100ms).size() == 2);
}

TEST_CASE_METHOD(three_keepers,
                 "claim keeper, asked in another generation, refuses")
{
    auto keeper = this->keeper("a", "boot-a");
    CHECK(keeper.ask(1ms, {"key", "one", 2}).verdict ==
          claim_verdict::other_generation);
    CHECK(keeper.ask(1ms, {"key", "one", 0}).verdict ==
          claim_verdict::other_generation);
}

TEST_CASE_METHOD(three_keepers, "claim keeper, table full, says so")
{
    claims::claim_options options;
    options.capacity = 1;
    auto keeper = this->keeper("a", "boot-a", options);
    keeper.ask(1ms, {"key", "one", 1});
    CHECK(keeper.ask(1ms, {"other", "one", 1}).verdict == claim_verdict::full);
    CHECK(keeper.size() == 1);
}

TEST_CASE("claim vote, two of three grant, is granted")
{
    claim_vote vote(3, 0ms, 500ms);
    vote.answered(1ms, granted());
    CHECK(vote.state() == vote_state::open);
    vote.answered(2ms, granted());
    CHECK(vote.state() == vote_state::granted);
}

TEST_CASE("claim vote, grant after the limit, does not count")
{
    claim_vote vote(3, 0ms, 500ms);
    vote.answered(1ms, granted());
    vote.answered(501ms, granted());
    vote.missed();
    CHECK(vote.state() == vote_state::no_majority);
}

TEST_CASE("claim vote, each keeper holds it for another, is split")
{
    claim_vote vote(3, 0ms, 500ms);
    vote.answered(1ms, granted());
    vote.answered(1ms, taken_by("one"));
    vote.answered(1ms, taken_by("two"));
    CHECK(vote.state() == vote_state::split);
    CHECK_FALSE(vote.other_may_hold());
}

TEST_CASE("claim vote, another may have a majority, is taken")
{
    claim_vote known(3, 0ms, 500ms);
    known.answered(1ms, taken_by("one"));
    known.answered(1ms, taken_by("one"));
    CHECK(known.state() == vote_state::taken);
    claim_vote silent(3, 0ms, 500ms);
    silent.answered(1ms, taken_by("one"));
    silent.answered(1ms, granted());
    silent.missed();
    CHECK(silent.state() == vote_state::split);
    CHECK(silent.other_may_hold());
}

TEST_CASE("claim vote, no keepers known, has no majority")
{
    CHECK(claim_vote(0, 0ms, 500ms).state() == vote_state::no_majority);
}

TEST_CASE("keepers of a key, three zones, stand in three zones")
{
    messages::keeper_set set;
    for (int index = 0; index < 9; ++index)
        set.keepers.push_back({"n" + std::to_string(index),
                               "zone" + std::to_string(index % 3), "", ""});
    for (int key = 0; key < 100; ++key)
    {
        auto chosen = members::keepers_of(std::to_string(key), set);
        REQUIRE(chosen.size() == 3);
        std::set<std::string> zones;
        for (const auto& one : chosen)
            zones.insert(one.zone);
        CHECK(zones.size() == 3);
    }
}
