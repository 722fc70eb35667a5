#include <catch2/catch.hpp>

#include <map>
#include <thread>

#include "batch_client.hpp"
#include "fault_table.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using nlohmann::json;
using tests::batch_client;

namespace
{

constexpr std::uint32_t job_items = 200;
constexpr std::uint32_t item_tokens = 10;

fleet::fleet_plan batch_plan()
{
    fleet::fleet_plan plan;
    plan.batch_hosts = 4;
    plan.sites = {{"sul", "poa-a"}, {"sul", "poa-b"}, {"sudeste", "sp-a"}};
    plan.engines = 4;
    plan.initial_concurrency = 4;
    plan.most_concurrency = 4;
    plan.engine_settings = {{"gap_ms", 20}};
    return plan;
}

/// @brief A fleet with a running job.
struct running_job
{
    running_job() : fleet(batch_plan()), client(fleet, job_items, item_tokens)
    {
        this->fleet.start();
        this->client.upload();
        this->client.create_until_accepted("key");
        REQUIRE_FALSE(this->client.job().empty());
    }

    std::string name_of(const std::string& role)
    {
        if (role != "owner" && role != "second")
            return role;
        if (!this->resolved.contains(role))
        {
            json manifest = this->client.manifest();
            std::string owner = manifest.at("owner");
            this->resolved["owner"] = owner;
            for (std::string copy : manifest.at("copies"))
            {
                if (copy != owner)
                    this->resolved["second"] = copy;
            }
        }
        return this->resolved[role];
    }

    bool take_step(const std::string& step)
    {
        if (step == "taken-over")
        {
            REQUIRE(fleet::eventually(
                [&] {
                    return this->client.manifest().at("owner") !=
                           this->name_of("owner");
                },
                60s));
            return true;
        }
        if (step != "repaired")
            return false;
        REQUIRE(fleet::eventually(
            [&]
            {
                json manifest = this->client.manifest();
                auto copies =
                    manifest.at("copies").get<std::vector<std::string>>();
                bool without =
                    std::find(copies.begin(), copies.end(),
                              this->name_of("owner")) == copies.end();
                return without && copies.size() == 2;
            },
            60s));
        this->resolved.clear();
        return true;
    }

    void run(const std::string& steps)
    {
        // Resolved first, since a step may take the manifest out of reach.
        this->name_of("owner");
        tests::run_steps(this->fleet, steps,
                         {[this](const std::string& name)
                          { return this->name_of(name); },
                          [this](const std::string& step)
                          { return this->take_step(step); }});
    }

    bool reaches(int percent)
    {
        return fleet::eventually(
            [&]
            {
                json status = this->client.status(2);
                if (!status.is_object())
                    return false;
                json counts = status.at("request_counts");
                int done = counts.at("completed").get<int>() +
                           counts.at("failed").get<int>();
                return done * 100 >= percent * static_cast<int>(job_items);
            },
            90s);
    }

    bool completes()
    {
        return fleet::eventually(
            [&]
            {
                json status = this->client.status(2);
                return status.is_object() && status.at("status") == "completed";
            },
            120s);
    }

    /// Generations started on all engines so far.
    std::uint64_t started() const
    {
        std::uint64_t sum = 0;
        for (const auto& engine : this->fleet.engines)
            sum += fleet::counters(engine).at("started").get<std::uint64_t>();
        return sum;
    }

    fleet::fleet fleet;
    batch_client client;
    std::map<std::string, std::string> resolved;
};

} // namespace

TEST_CASE("batch job, faults of the table, completes every item once")
{
    for (const auto& row : tests::read_faults("batch.csv"))
    {
        DYNAMIC_SECTION(row[0])
        {
            running_job job;
            std::string name = job.client.job();
            if (std::stoi(row[1]) > 0)
                REQUIRE(job.reaches(std::stoi(row[1])));
            job.run(row[2]);
            job.client.create_until_accepted("key");
            CHECK(job.client.job() == name);
            INFO(job.client.manifest().dump());
            REQUIRE(job.completes());
            std::string output;
            REQUIRE(fleet::eventually(
                [&]
                {
                    output = job.client.output(1);
                    return !output.empty();
                }));
            std::string wrong = job.client.check_output(output);
            INFO(wrong);
            CHECK(wrong.empty());
            // The results stay as they are, by way of every entry.
            json again = job.client.create(2, "key");
            CHECK(again.value("id", "") == name);
            CHECK(fleet::eventually(
                [&] { return job.client.output(2) == output; }));
        }
    }
}

TEST_CASE_METHOD(running_job,
                 "batch job, cancelled, starts nothing after a few seconds")
{
    REQUIRE(this->reaches(20));
    REQUIRE(fleet::eventually([&] { return this->client.cancel(1); }));
    std::this_thread::sleep_for(3s);
    auto before = this->started();
    std::this_thread::sleep_for(2s);
    CHECK(this->started() == before);
    CHECK(this->client.status(0).at("status") == "cancelled");
}

TEST_CASE_METHOD(running_job,
                 "batch job, cancelled and its owner dies, stays cancelled")
{
    REQUIRE(this->reaches(20));
    REQUIRE(fleet::eventually([&] { return this->client.cancel(1); }));
    this->run("kill:owner");
    std::this_thread::sleep_for(8s);
    auto before = this->started();
    std::this_thread::sleep_for(2s);
    CHECK(this->started() == before);
    REQUIRE(fleet::eventually(
        [&]
        {
            json status = this->client.status(0);
            return status.is_object() && status.at("status") == "cancelled";
        }));
}

TEST_CASE_METHOD(running_job,
                 "batch job, owner dies before the cancel, is cancelled")
{
    REQUIRE(this->reaches(20));
    this->run("kill:owner lose:1");
    REQUIRE(fleet::eventually([&] { return this->client.cancel(1); }, 60s));
    std::this_thread::sleep_for(3s);
    auto before = this->started();
    std::this_thread::sleep_for(3s);
    CHECK(this->started() == before);
}

TEST_CASE_METHOD(running_job,
                 "batch job, both copies lost for good, is said to be lost")
{
    REQUIRE(this->reaches(10));
    this->run("kill:owner kill:second wipe:owner wipe:second start:owner "
              "start:second");
    CHECK(fleet::eventually(
        [&]
        {
            json status = this->client.status(0);
            return status.is_object() && status.at("status") == "lost";
        },
        60s));
}

TEST_CASE("batch job, key-value service away, is not acknowledged")
{
    fleet::fleet fleet(batch_plan());
    fleet.start();
    batch_client client(fleet, 20, 4);
    client.upload();
    fleet::admin(fleet.store, {{"outage", true}});
    json refused = client.create(0, "key");
    REQUIRE(refused.contains("error"));
    CHECK(refused.at("error").at("code") == "store_unreachable");
    CHECK(refused.at("error").at("outcome") == "not_run");
    fleet::admin(fleet.store, {{"outage", false}});
    client.create_until_accepted("key");
    CHECK_FALSE(client.job().empty());
}

TEST_CASE("batch job, sent through all entries at once, is one job")
{
    fleet::fleet fleet(batch_plan());
    fleet.start();
    batch_client client(fleet, 40, 4);
    client.upload();
    std::vector<std::thread> senders;
    std::vector<std::string> names(9);
    for (std::size_t index = 0; index < names.size(); ++index)
        senders.emplace_back(
            [&, index]
            {
                batch_client own = client;
                fleet::eventually(
                    [&]
                    {
                        json answer = own.create(index % 3, "same");
                        names[index] = answer.value("id", "");
                        return !names[index].empty();
                    });
            });
    for (auto& sender : senders)
        sender.join();
    for (const auto& name : names)
        CHECK(name == names[0]);
    client.create_until_accepted("same");
    REQUIRE(fleet::eventually(
        [&]
        {
            json status = client.status(0);
            return status.is_object() && status.at("status") == "completed";
        }));
    std::string wrong = client.check_output(client.output(0));
    INFO(wrong);
    CHECK(wrong.empty());
}
