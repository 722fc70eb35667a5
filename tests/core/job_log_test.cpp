#include <catch2/catch.hpp>

#include "core/batches/job_log.hpp"
#include "core/batches/placement_balance.hpp"
#include "core/batches/replication_state.hpp"

using namespace amaranthhatch::core::batches;

namespace
{

record_ptr make(record_kind kind, std::uint64_t epoch, std::uint32_t item = 0)
{
    auto made = std::make_shared<record>();
    made->kind = kind;
    made->epoch = epoch;
    made->item = item;
    if (kind == record_kind::accepted)
    {
        auto content = std::make_shared<job>();
        content->id = "job";
        content->items.resize(2);
        content->items[0].tokens = 10;
        content->items[1].tokens = 30;
        made->accepted = content;
    }
    return made;
}

struct accepted_job
{
    accepted_job() : log("job") { this->add({make(record_kind::accepted, 1)}); }

    append_result add(std::vector<record_ptr> records)
    {
        return this->log.append(this->log.records().size(),
                                this->log.mark().epoch, records);
    }

    job_log log;
};

std::vector<disk_host> four_hosts()
{
    return {{"d1", "z1", "r1", 1, true},
            {"d2", "z2", "r1", 2, true},
            {"d3", "z3", "r2", 3, true},
            {"d4", "z1", "r1", 4, true}};
}

} // namespace

TEST_CASE_METHOD(accepted_job, "job log, results, keep their positions")
{
    this->add({make(record_kind::result, 1, 1)});
    CHECK(this->log.results_within(2) == 1);
    CHECK(this->log.result_at(0).item == 1);
    CHECK(this->log.finished(1));
    CHECK_FALSE(this->log.closed());
    CHECK(this->log.open_tokens() == 10);
    this->add({make(record_kind::result, 1, 0)});
    CHECK(this->log.closed());
    CHECK(this->log.results_within(2) == 1);
    CHECK(this->log.results_within(3) == 2);
    CHECK(this->log.result_at(1).item == 0);
}

TEST_CASE_METHOD(accepted_job, "job log, ended, has no open tokens")
{
    this->add({make(record_kind::ended, 1)});
    CHECK(this->log.ended());
    CHECK(this->log.closed());
    CHECK(this->log.open_tokens() == 0);
}

TEST_CASE_METHOD(accepted_job, "job log, append twice, stores once")
{
    std::vector<record_ptr> added{make(record_kind::result, 1, 1)};
    CHECK(this->log.append(1, 1, added) == append_result::appended);
    CHECK(this->log.append(1, 1, added) == append_result::appended);
    CHECK(this->log.records().size() == 2);
}

TEST_CASE_METHOD(accepted_job, "job log, gap or other epoch, is a mismatch")
{
    std::vector<record_ptr> added{make(record_kind::result, 3, 1)};
    CHECK(this->log.append(2, 1, added) == append_result::mismatch);
    CHECK(this->log.append(1, 2, added) == append_result::mismatch);
    CHECK(this->log.records().size() == 1);
}

TEST_CASE_METHOD(accepted_job, "job log, later epoch, replaces the tail")
{
    this->add({make(record_kind::result, 1, 1), make(record_kind::ended, 1)});
    std::vector<record_ptr> added{make(record_kind::result, 2, 0)};
    CHECK(this->log.append(1, 1, added) == append_result::appended);
    CHECK(this->log.records().size() == 2);
    CHECK_FALSE(this->log.ended());
    CHECK(this->log.finished(0));
    CHECK_FALSE(this->log.finished(1));
}

TEST_CASE_METHOD(accepted_job, "job log, longer than a later owner's, is cut")
{
    this->add(
        {make(record_kind::result, 1, 1), make(record_kind::result, 1, 0)});
    // A delayed call of the owner that wrote the records removes nothing.
    this->log.truncate_stale_tail(2, 1);
    CHECK(this->log.records().size() == 3);
    this->log.truncate_stale_tail(2, 4);
    CHECK(this->log.records().size() == 2);
    CHECK_FALSE(this->log.finished(0));
}

TEST_CASE("replication, a copy behind, commits nothing and never goes back")
{
    replication_state state("own", {"own", "copy"});
    state.note_stored("own", "job", 3);
    CHECK_FALSE(state.advance("job"));
    state.note_stored("copy", "job", 2);
    CHECK(state.advance("job"));
    CHECK(state.committed("job") == 2);
    state.forget_disk("copy");
    CHECK_FALSE(state.advance("job"));
    CHECK(state.committed("job") == 2);
    state.set_copies({"own", "third"});
    state.note_stored("third", "job", 3);
    CHECK(state.advance("job"));
    CHECK(state.committed("job") == 3);
}

TEST_CASE("replication, required records, are awaited")
{
    replication_state state("own", {"own", "copy"});
    state.require_committed("job", 2);
    CHECK_FALSE(state.recovered());
    state.note_stored("own", "job", 2);
    state.note_stored("copy", "job", 1);
    state.advance("job");
    CHECK_FALSE(state.recovered());
    state.note_stored("copy", "job", 2);
    state.advance("job");
    CHECK(state.recovered());
}

TEST_CASE("placement, first one, puts copies into different zones")
{
    auto made = first_placement(24, 2, four_hosts());
    REQUIRE(made);
    CHECK(made->partitions.size() == 24);
    auto zone = [](const std::string& disk)
    {
        for (const auto& host : four_hosts())
            if (host.disk == disk)
                return host.zone;
        return std::string();
    };
    for (const auto& partition : made->partitions)
    {
        REQUIRE(partition.copies.size() == 2);
        CHECK(zone(partition.copies[0]) != zone(partition.copies[1]));
        CHECK(partition.owner_disk == partition.copies[0]);
    }
}

TEST_CASE("placement, too few hosts, is none")
{
    CHECK_FALSE(first_placement(24, 5, four_hosts()));
    CHECK_FALSE(first_placement(24, 2, {}));
}

TEST_CASE("stray job, being taught or still asked for, is kept")
{
    using namespace std::chrono_literals;
    CHECK(may_delete_orphaned({61s, 61s, 61s}));
    // The placement doesn't list a learner until it has all records.
    CHECK_FALSE(may_delete_orphaned({61s, 100ms, 61s}));
    CHECK_FALSE(may_delete_orphaned({100ms, 61s, 61s}));
    CHECK_FALSE(may_delete_orphaned({61s, 61s, -20s}));
}

TEST_CASE("replacement, hosts at hand, prefers a free zone and keeps rules")
{
    auto hosts = four_hosts();
    partition_place place{1, "d1", 1, {"d1", "d2"}};
    placement_balance balance({{place}}, hosts);
    const auto* found = balance.choose_replacement(place, "d2", "r1");
    REQUIRE(found != nullptr);
    CHECK(found->disk == "d3");
    hosts[2].accepts_copies = false;
    found = balance.choose_replacement(place, "d2", "r1");
    REQUIRE(found != nullptr);
    CHECK(found->disk == "d4");
    hosts[3].accepts_copies = false;
    CHECK(balance.choose_replacement(place, "d2", "r1") == nullptr);
}
