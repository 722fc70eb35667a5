#include <catch2/catch.hpp>

#include "commit_schedule.hpp"
#include "core/jobs/job_items.hpp"
#include "core/jobs/job_manifest.hpp"
#include "core/jobs/journal_copy.hpp"
#include "schedules.hpp"

using namespace amaranthhatch::core;
using amaranthhatch::tests::commit_fault;
using amaranthhatch::tests::commit_schedule;
using jobs::job_items;
using jobs::job_manifest;
using jobs::journal_copy;
using jobs::manifest_action;
using jobs::manifest_state;
using jobs::run_end;
using verdict = messages::append_answer::verdict;

namespace
{

std::uint64_t count_failures(commit_fault fault)
{
    constexpr std::uint64_t schedules = 400;
    std::uint64_t failure = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed)
        failure += commit_schedule(seed, fault).run().empty() ? 0 : 1;
    return failure;
}

messages::journal_append append(std::uint64_t epoch, std::uint64_t position,
                                std::vector<std::string> records,
                                std::uint64_t committed = 0)
{
    return {"job", epoch, position, committed, std::move(records)};
}

verdict apply(journal_copy& copy, const messages::journal_append& request)
{
    auto decision = copy.decide(request);
    if (decision.verdict != verdict::stored)
        return decision.verdict;
    copy.seal(request.epoch);
    copy.applied(decision.keep,
                 std::span(request.records).subspan(decision.skip));
    copy.advance_committed(request.committed);
    return decision.verdict;
}

struct fixed_liveness : jobs::host_liveness
{
    bool is_alive(std::string_view host) const override
    {
        return std::find(this->alive.begin(), this->alive.end(), host) !=
               this->alive.end();
    }

    std::vector<std::string> alive;
};

job_manifest running_job()
{
    job_manifest manifest;
    manifest.job = "job";
    manifest.epoch = 1;
    manifest.owner = "a";
    manifest.copies = {"a", "b"};
    manifest.state = manifest_state::running;
    return manifest;
}

} // namespace

TEST_CASE("journal copy, sealed by a later epoch, refuses the older owner")
{
    journal_copy copy;
    CHECK(apply(copy, append(1, 0, {"x"})) == verdict::stored);
    CHECK(copy.seal(2));
    CHECK(apply(copy, append(1, 1, {"y"})) == verdict::sealed);
    CHECK(copy.length() == 1);
    CHECK_FALSE(copy.seal(1));
}

TEST_CASE("journal copy, same records again, are not doubled")
{
    journal_copy copy;
    apply(copy, append(1, 0, {"x", "y"}));
    CHECK(apply(copy, append(1, 0, {"x", "y"})) == verdict::stored);
    CHECK(apply(copy, append(1, 1, {"y", "z"})) == verdict::stored);
    CHECK(copy.length() == 3);
}

TEST_CASE("journal copy, gap before the records, reports that it is behind")
{
    journal_copy copy;
    CHECK(apply(copy, append(1, 2, {"z"})) == verdict::behind);
}

TEST_CASE("journal copy, later owner differs after the committed, is truncated")
{
    journal_copy copy;
    apply(copy, append(1, 0, {"x", "y", "z"}, 2));
    CHECK(copy.committed() == 2);
    CHECK(apply(copy, append(2, 0, {"x", "y", "other"})) == verdict::stored);
    CHECK(copy.length() == 3);
    CHECK(apply(copy, append(2, 0, {"x", "y", "other"})) == verdict::stored);
}

TEST_CASE("journal copy, request differs in a committed record, is refused")
{
    journal_copy copy;
    apply(copy, append(1, 0, {"x", "y"}, 2));
    CHECK(apply(copy, append(2, 0, {"x", "other"})) == verdict::failed);
    CHECK(copy.length() == 2);
}

TEST_CASE("job items, item fails always, ends after its tries")
{
    job_items items(1);
    for (std::uint32_t tries = 1; tries < job_items::tries_limit; ++tries)
    {
        REQUIRE(items.next() == 0u);
        CHECK(items.requeue(0, run_end::failed));
    }
    REQUIRE(items.next() == 0u);
    CHECK_FALSE(items.requeue(0, run_end::failed));
    CHECK(items.finish(0, true));
    CHECK(items.all_finished());
    CHECK(items.failed_count() == 1);
}

TEST_CASE("job items, item displaced many times, uses up no try")
{
    job_items items(1);
    for (int turn = 0; turn < 100; ++turn)
    {
        REQUIRE(items.next() == 0u);
        CHECK(items.requeue(0, run_end::displaced));
    }
}

TEST_CASE("job items, second result of an item, does not count")
{
    job_items items(2);
    CHECK(items.finish(1, false));
    CHECK_FALSE(items.finish(1, true));
    CHECK(items.failed_count() == 0);
    CHECK(items.next() == 0u);
    CHECK_FALSE(items.next().has_value());
}

TEST_CASE("job items, straggler under way, holds back no other item")
{
    job_items items(3);
    CHECK(items.next() == 0u);
    CHECK(items.next() == 1u);
    CHECK(items.next() == 2u);
}

TEST_CASE("deadline forecast, rate too low, is not doable and has an end")
{
    auto late = jobs::forecast_deadline(1000, 1.0, 0, 500'000);
    CHECK(late.verdict == messages::forecast::not_doable);
    CHECK(late.end_unix_ms == 1'000'000);
    CHECK(jobs::forecast_deadline(450, 1.0, 0, 500'000).verdict ==
          messages::forecast::at_risk);
    CHECK(jobs::forecast_deadline(100, 1.0, 0, 500'000).verdict ==
          messages::forecast::on_time);
}

TEST_CASE("manifest action, owner dead, the other copy's host takes over")
{
    fixed_liveness hosts;
    hosts.alive = {"b", "c"};
    CHECK(decide_action(running_job(), "b", false, hosts) ==
          manifest_action::take_over);
    CHECK(decide_action(running_job(), "c", false, hosts) ==
          manifest_action::nothing);
}

TEST_CASE("manifest action, owner restarted, resumes its own job")
{
    fixed_liveness hosts;
    hosts.alive = {"a", "b"};
    CHECK(decide_action(running_job(), "a", false, hosts) ==
          manifest_action::take_over);
    CHECK(decide_action(running_job(), "a", true, hosts) ==
          manifest_action::nothing);
}

TEST_CASE("manifest action, job finished and copy's host dead, is repaired")
{
    fixed_liveness hosts;
    hosts.alive = {"a", "c"};
    auto finished = running_job();
    finished.state = manifest_state::finished;
    CHECK(decide_action(finished, "a", false, hosts) ==
          manifest_action::repair);
    hosts.alive = {"b", "c"};
    CHECK(decide_action(finished, "b", false, hosts) ==
          manifest_action::repair);
    hosts.alive = {"a", "b"};
    CHECK(decide_action(finished, "a", false, hosts) ==
          manifest_action::nothing);
}

TEST_CASE("manifest action, job cancelled, is not run by anyone")
{
    fixed_liveness hosts;
    hosts.alive = {"b"};
    auto cancelled = running_job();
    cancelled.state = manifest_state::cancelled;
    CHECK(decide_action(cancelled, "b", false, hosts) !=
          manifest_action::take_over);
}

TEST_CASE("commits, replayed schedules, no committed record is lost or changed")
{
    std::uint64_t committed = 0;
    for (std::uint64_t seed = 1; seed <= amaranthhatch::tests::schedule_count();
         ++seed)
    {
        INFO("seed " << seed);
        commit_schedule schedule(seed, commit_fault::none);
        std::string failure = schedule.run();
        INFO(failure);
        CHECK(failure.empty());
        committed += schedule.committed();
    }
    WARN("committed " << committed << " records");
    // A protocol that commits nothing would pass the check above.
    CHECK(committed > 10 * amaranthhatch::tests::schedule_count());
}

TEST_CASE(
    "commits, counted before the manifest lists both, replays find losses")
{
    CHECK(count_failures(commit_fault::count_unlisted_second) > 0);
}

TEST_CASE("commits, new owner doesn't seal its copy, replays find losses")
{
    CHECK(count_failures(commit_fault::take_over_unsealed) > 0);
}

TEST_CASE(
    "commits, host with a lost disk accepts any epoch, replays find losses")
{
    CHECK(count_failures(commit_fault::accept_any_epoch) > 0);
}
