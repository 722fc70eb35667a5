#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <random>

#include "core/configuration/revision_register.hpp"
#include "core/members/member_table.hpp"
#include "core/members/rendezvous.hpp"
#include "schedules.hpp"

using namespace amaranthhatch;
using namespace amaranthhatch::core;
using namespace std::chrono_literals;
using members::member_table;
using messages::liveness;
using messages::member;

namespace
{

member named(const std::string& name, std::uint64_t incarnation = 1)
{
    member made;
    made.name = name;
    made.zone = "zone";
    made.region = "sul";
    made.address = name;
    made.incarnation = incarnation;
    return made;
}

std::string name_of(std::size_t index)
{
    return "n" + std::to_string(index);
}

/// @brief Simulates member tables that probe each other with message loss.
class gossip
{
public:
    gossip(std::size_t count, std::uint64_t seed) : random(seed)
    {
        for (std::size_t index = 0; index < count; ++index)
        {
            this->tables.push_back(std::make_unique<member_table>(
                named(name_of(index)), members::member_options{},
                seed * 100 + index));
            // At first, each node has only the seed node in its table.
            if (index > 0)
                this->tables[index]->received_from(0ms, named(name_of(0)));
        }
        this->up.assign(count, true);
    }

    void run(milliseconds time, unsigned loss_percent)
    {
        for (auto end = this->now + time; this->now < end; this->now += 300ms)
        {
            for (std::size_t index = 0; index < this->tables.size(); ++index)
            {
                if (this->up[index])
                    this->probe(index, loss_percent);
                this->tables[index]->tick(this->now);
            }
        }
    }

    bool all_report(const std::string& name, liveness state) const
    {
        for (std::size_t index = 0; index < this->tables.size(); ++index)
        {
            if (!this->up[index])
                continue;
            bool found = false;
            for (const auto& record : this->tables[index]->all())
                found = found || (record.name == name && record.state == state);
            if (!found)
                return false;
        }
        return true;
    }

    std::vector<std::unique_ptr<member_table>> tables;
    std::vector<bool> up;
    instant now{0};

private:
    bool lost(unsigned percent) { return this->random() % 100 < percent; }

    bool exchange(std::size_t sender, std::size_t receiver, unsigned loss)
    {
        auto updates = this->tables[sender]->take_updates();
        if (!this->up[receiver] || this->lost(loss))
            return false;
        this->tables[receiver]->received_from(this->now,
                                              this->tables[sender]->self());
        this->tables[receiver]->merge(this->now, updates);
        auto answer = this->tables[receiver]->take_updates();
        answer.push_back(this->tables[receiver]->self());
        for (const auto& record : this->tables[receiver]->all())
        {
            if (record.name == this->tables[sender]->self().name)
                answer.push_back(record);
        }
        if (this->lost(loss))
            return false;
        this->tables[sender]->merge(this->now, answer);
        return true;
    }

    void probe(std::size_t index, unsigned loss)
    {
        auto target = this->tables[index]->next_probe();
        if (!target)
            return;
        auto target_index = std::stoul(target->name.substr(1));
        bool reached = this->exchange(index, target_index, loss);
        auto helpers = this->tables[index]->helpers(target->name, 2);
        for (const auto& helper : helpers)
            reached =
                reached || this->exchange(std::stoul(helper.name.substr(1)),
                                          target_index, loss);
        if (!reached)
            this->tables[index]->probe_failed(this->now, target->name);
    }

    std::mt19937_64 random;
};

} // namespace

TEST_CASE("members, many seeds with lost messages, all discover all")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        INFO("seed " << seed);
        gossip fleet(12, seed);
        fleet.run(20'000ms, 5);
        for (std::size_t index = 0; index < 12; ++index)
            CHECK(fleet.all_report(name_of(index), liveness::alive));
    }
}

TEST_CASE("members, one dies, all report it dead within ten seconds")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        INFO("seed " << seed);
        gossip fleet(12, seed);
        fleet.run(15'000ms, 0);
        fleet.up[5] = false;
        fleet.run(10'000ms, 0);
        CHECK(fleet.all_report(name_of(5), liveness::dead));
        CHECK(fleet.all_report(name_of(6), liveness::alive));
    }
}

TEST_CASE("members, wrongly suspected, refutes and is alive again")
{
    gossip fleet(6, 3);
    fleet.run(10'000ms, 0);
    fleet.tables[1]->probe_failed(fleet.now, name_of(4));
    fleet.run(5'000ms, 0);
    CHECK(fleet.all_report(name_of(4), liveness::alive));
}

TEST_CASE("members, late update of a dead member, does not revive it")
{
    member_table table(named("self"), {}, 1);
    table.received_from(0ms, named("other", 5));
    auto dead = named("other", 5);
    dead.state = liveness::dead;
    std::vector<member> updates = {dead};
    table.merge(1ms, updates);
    table.received_from(2ms, named("other", 5));
    CHECK(table.all()[1].state == liveness::dead);
    table.received_from(3ms, named("other", 6));
    CHECK(table.all()[1].state == liveness::alive);
}

TEST_CASE("members, updates to send, are bounded for each message")
{
    members::member_options options;
    member_table table(named("self"), options, 1);
    for (int index = 0; index < 100; ++index)
        table.received_from(0ms, named("m" + std::to_string(index)));
    CHECK(table.take_updates().size() <= options.max_updates + 1);
}

TEST_CASE("coordinators for a group, one dies, only its groups move")
{
    std::vector<member> all;
    for (int index = 0; index < 8; ++index)
        all.push_back(named("c" + std::to_string(index)));
    auto fewer = all;
    fewer[3].state = liveness::dead;
    for (int group = 0; group < 200; ++group)
    {
        auto key = "group" + std::to_string(group);
        auto before = members::coordinators_for(key, "sul", all).front().name;
        auto after = members::coordinators_for(key, "sul", fewer).front().name;
        CHECK((before == "c3" || before == after));
    }
}

TEST_CASE("coordinators for a group, two regions, own region first")
{
    std::vector<member> all;
    for (int index = 0; index < 8; ++index)
    {
        all.push_back(named("c" + std::to_string(index)));
        all.back().region = index % 2 == 0 ? "sul" : "sudeste";
    }
    for (int group = 0; group < 50; ++group)
        CHECK(members::coordinators_for("g" + std::to_string(group), "sudeste",
                                        all)
                  .front()
                  .region == "sudeste");
}

TEST_CASE("revision register, late lower revision, is not adopted")
{
    configuration::revision_register current;
    CHECK(current.adopt(3, "three"));
    CHECK_FALSE(current.adopt(2, "two"));
    CHECK_FALSE(current.adopt(3, "another three"));
    CHECK(current.text() == "three");
    CHECK(current.adopt(4, "four"));
}
