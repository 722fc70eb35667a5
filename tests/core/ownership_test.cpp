#include <catch2/catch.hpp>

#include "ownership_schedule.hpp"
#include "schedules.hpp"

using amaranthhatch::tests::ownership_fault;
using amaranthhatch::tests::ownership_schedule;
using amaranthhatch::tests::schedule_count;

TEST_CASE("ownership, replayed schedules, loses and changes no shown record")
{
    auto lost_disks = GENERATE(std::size_t{1}, std::size_t{2});
    std::size_t committed = 0;
    for (std::uint64_t seed = 1; seed <= schedule_count(); seed++)
    {
        ownership_schedule schedule(seed, ownership_fault::none, lost_disks);
        INFO("seed " << seed << ", " << lost_disks << " disks at once");
        auto failure = schedule.run();
        INFO(failure);
        REQUIRE(failure.empty());
        committed += schedule.committed();
    }
    // Schedules that commit nothing would pass the check above.
    CHECK(committed > schedule_count() * 10);
}

TEST_CASE("ownership, a rule left out, the replay finds the loss")
{
    auto fault = GENERATE(ownership_fault::accept_stale_epoch,
                          ownership_fault::commit_alone,
                          ownership_fault::serve_after_later_epoch,
                          ownership_fault::drop_copy_early,
                          ownership_fault::forget_unknown_write);
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 400 && !found; seed++)
        found = !ownership_schedule(seed, fault, 1 + seed % 2).run().empty();
    CAPTURE(static_cast<int>(fault));
    CHECK(found);
}
