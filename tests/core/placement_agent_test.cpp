#include <catch2/catch.hpp>

#include "disk_fleet.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using batches::partition_owner;
using tests::accepted_record;
using tests::disk_fleet;

namespace
{

constexpr std::chrono::milliseconds step_limit{5000};

/// @brief A job id that falls into a partition.
std::string job_in(std::size_t partition, std::size_t partitions)
{
    core::batches::placement placement;
    placement.partitions.resize(partitions);
    std::string job = "job";
    while (placement.partition_of(job) != partition)
        job += "x";
    return job;
}

} // namespace

TEST_CASE_METHOD(disk_fleet,
                 "copy, asked for its marks before it has read a placement, "
                 "keeps the jobs of the other partitions")
{
    auto job = job_in(1, 2);
    bool stored = false;
    this->first.jobs().add(job, {accepted_record(job, 1)},
                           [&] { stored = true; });
    REQUIRE(this->run_until([&] { return stored; }, step_limit));
    this->first.stop();
    core::batches::partition_place other{
        1, this->second.disk(), 1, {this->second.disk(), this->first.disk()}};
    this->start({this->owned_place({this->first.disk()}), other});
    auto own_job = job_in(0, 2);
    REQUIRE(this->wait_for_owner(own_job, &partition_owner::serving));

    this->first.start(0);
    this->first.heard = true;
    this->run_until([] { return false; }, 500ms);
    CHECK(this->first.jobs().find(job) != nullptr);
    CHECK(this->jobs.find(job) == nullptr);

    this->first.jobs().set_partitions(2);
    auto owner = this->agent.owner_of(own_job);
    owner->add(own_job, {accepted_record(own_job, 1)});
    CHECK(this->run_until([&] { return owner->committed(own_job) == 1; },
                          step_limit));
    CHECK(this->first.jobs().find(job) != nullptr);
}

TEST_CASE_METHOD(disk_fleet,
                 "owner, starts while a copy has read no placement, takes over "
                 "no job of another partition")
{
    auto job = job_in(1, 2);
    bool stored = false;
    this->first.jobs().add(job, {accepted_record(job, 1)},
                           [&] { stored = true; });
    REQUIRE(this->run_until([&] { return stored; }, step_limit));
    this->first.heard = true;
    core::batches::partition_place other{
        1, this->second.disk(), 1, {this->second.disk(), this->first.disk()}};
    this->start({this->owned_place({this->first.disk()}), other});
    auto own_job = job_in(0, 2);
    REQUIRE(this->wait_for_owner(own_job, &partition_owner::serving));
    CHECK(this->jobs.find(job) == nullptr);
}

TEST_CASE_METHOD(disk_fleet,
                 "copy's move, its write ends unknown and the old copy is "
                 "back, commits nothing without the new copy")
{
    for (auto* host : {&this->first, &this->second, &this->spare})
    {
        host->jobs().set_partitions(1);
        host->heard = true;
    }
    // The store takes the write, but its answer is lost and this host's mirror
    // doesn't receive the change.
    this->store.write_outcome = store::outcome::unknown;
    this->start({this->owned_place({this->first.disk(), this->second.disk()})});
    REQUIRE(this->wait_for_owner("job", &partition_owner::recovered));
    this->first.heard = false;
    REQUIRE(this->run_until([&] { return !this->store.written.empty(); },
                            step_limit));
    const auto proposed = this->store.written.front().partitions.front();
    REQUIRE(proposed.holds_copy(this->spare.disk()));
    REQUIRE_FALSE(proposed.holds_copy(this->first.disk()));

    this->first.heard = true;
    this->run_until([] { return false; }, 600ms);
    auto owner = this->agent.owner_of("job");
    owner->add("job", {accepted_record("job", 1)});
    REQUIRE(this->run_until([&] { return owner->committed("job") == 1; },
                            step_limit));
    CHECK(this->spare.jobs().synced("job") == 1);

    this->store.write_outcome = store::outcome::done;
    CHECK(this->run_until(
        [&]
        {
            return owner->learner().empty() &&
                   owner->placement().copies == proposed.copies;
        },
        step_limit));
}

TEST_CASE_METHOD(disk_fleet,
                 "copy, told late to forget a job that was accepted anew, "
                 "keeps it")
{
    constexpr std::uint64_t earlier_epoch = 1;
    this->first.jobs().set_partitions(1);
    bool stored = false;
    this->first.jobs().add("job", {accepted_record("job", earlier_epoch)},
                           [&] { stored = true; });
    REQUIRE(this->run_until([&] { return stored; }, step_limit));
    auto place = this->owned_place({this->first.disk()});
    place.epoch = earlier_epoch + 1;
    this->start({place});
    REQUIRE(this->wait_for_owner("job", &partition_owner::serving));
    this->first.hold_appends = true;
    this->first.heard = true;
    REQUIRE(this->run_until([&] { return this->first.held_appends() == 1; },
                            step_limit));

    this->first.hold_appends = false;
    auto owner = this->agent.owner_of("job");
    owner->add("job", {accepted_record("job", place.epoch)});
    REQUIRE(this->run_until([&] { return owner->committed("job") == 1; },
                            step_limit));
    this->first.release_appends();
    CHECK(this->first.jobs().synced("job") == 1);
}

// A proposal whose answer was lost was written once more over newer changes of
// other hosts: copies went back to emptied disks, and jobs were lost.
TEST_CASE_METHOD(disk_fleet,
                 "copy's move, its answer is lost and another host has changed "
                 "the placement, isn't written over that change")
{
    for (auto* host : {&this->first, &this->second, &this->spare})
    {
        host->jobs().set_partitions(2);
        host->heard = true;
    }
    core::batches::partition_place other{
        1, this->second.disk(), 1, {this->second.disk(), this->first.disk()}};
    this->start(
        {this->owned_place({this->first.disk(), this->second.disk()}), other});
    auto own_job = job_in(0, 2);
    REQUIRE(this->wait_for_owner(own_job, &partition_owner::recovered));
    this->store.hold_writes = true;
    this->first.heard = false;
    REQUIRE(this->run_until([&] { return !this->store.written.empty(); },
                            step_limit));

    auto changed = this->store.placement;
    changed.partitions[1].epoch = 2;
    changed.partitions[1].copies = {this->second.disk(), this->spare.disk()};
    this->store.publish(changed);
    this->agent.tick();
    this->store.hold_writes = false;
    this->store.write_outcome = store::outcome::unknown;
    this->store.release_writes();
    REQUIRE(this->run_until([&] { return this->store.written.size() > 1; },
                            step_limit));
    CHECK(this->store.required_revisions.back() == this->store.revision - 1);
    CHECK(this->store.written.back().partitions[1] == changed.partitions[1]);
    CHECK(this->store.written.back().partitions[0].holds_copy(
        this->spare.disk()));
}

// An owner that had heard of a later epoch never served its partition again,
// although the placement named it and nobody else took over.
TEST_CASE_METHOD(disk_fleet,
                 "owner, its copy has seen a later epoch but the placement "
                 "names this owner, serves in a new epoch")
{
    constexpr std::uint64_t later_epoch = 5;
    this->first.jobs().set_partitions(1);
    this->first.jobs().raise_epoch(0, later_epoch);
    this->first.heard = true;
    this->start({this->owned_place({this->first.disk()})});
    REQUIRE(this->run_until(
        [&]
        {
            auto owner = this->agent.owner_of("job");
            return owner && owner->epoch() > later_epoch && owner->serving();
        },
        step_limit));
    auto owner = this->agent.owner_of("job");
    owner->add("job", {accepted_record("job", owner->epoch())});
    CHECK(this->run_until([&] { return owner->committed("job") == 1; },
                          step_limit));
    CHECK(this->first.jobs().synced("job") == 1);
}

// The same where a copy learns of the later epoch while the owner serves.
TEST_CASE_METHOD(disk_fleet,
                 "owner, superseded while it serves but still named by the "
                 "placement, serves in a new epoch and keeps its jobs")
{
    constexpr std::uint64_t later_epoch = 5;
    this->first.jobs().set_partitions(1);
    this->first.heard = true;
    this->start({this->owned_place({this->first.disk()})});
    REQUIRE(this->wait_for_owner("job", &partition_owner::recovered));
    auto owner = this->agent.owner_of("job");
    owner->add("job", {accepted_record("job", 1)});
    REQUIRE(this->run_until([&] { return owner->committed("job") == 1; },
                            step_limit));
    this->first.jobs().raise_epoch(0, later_epoch);
    owner->add("other", {accepted_record("other", 1)});
    REQUIRE(this->run_until(
        [&]
        {
            auto next = this->agent.owner_of("job");
            return next && next->epoch() > later_epoch && next->recovered();
        },
        step_limit));
    CHECK(this->agent.owner_of("job")->committed("job") == 1);
    CHECK(this->first.jobs().synced("job") == 1);
}
