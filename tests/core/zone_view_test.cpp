#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <string>

#include "core/endpoints/endpoint_table.hpp"
#include "core/endpoints/remote_capacity.hpp"
#include "core/peers/peer_table.hpp"
#include "peers/packing.hpp"
#include "peers/view_packing.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using core::instant;
using core::peers::endpoint_load;

namespace
{

using load_map = std::map<std::uint64_t, endpoint_load>;

std::vector<endpoint_load> values(const load_map& loads)
{
    std::vector<endpoint_load> out;
    for (const auto& [key, load] : loads)
        out.push_back(load);
    return out;
}

bool same(const load_map& left, const load_map& right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const auto& one, const auto& other)
                      {
                          return one.first == other.first &&
                                 one.second.online == other.second.online &&
                                 one.second.batch == other.second.batch;
                      });
}

core::peers::view_message sent(const core::peers::view_message& message)
{
    return *peers::unpack_view(peers::pack(message));
}

/// @brief A host of a large zone that follows views of the lead "a".
struct zone_host
{
    zone_host() { this->table.replace(this->listed()); }

    static std::vector<core::endpoints::endpoint> listed()
    {
        std::vector<core::endpoints::endpoint> out;
        for (const char* zone : {"z1", "z2", "z3"})
            for (int number = 0; number < 2; number++)
            {
                auto id = std::string(zone) + "-" + std::to_string(number);
                out.push_back({id, "pool", "127.0.0.1:1", zone, 4, false, 0});
            }
        return out;
    }

    void tell(std::vector<endpoint_load> loads,
              std::vector<core::peers::zone_capacity> capacities)
    {
        this->views.update(loads, 1);
        core::peers::beacon message;
        message.name = "a";
        message.incarnation = 1;
        message.sent_ms = ++this->sent_ms;
        message.zone = "z1";
        message.scope = core::peers::beacon_scope::view;
        message.view = this->views.changes();
        message.view.capacities = std::move(capacities);
        this->peers.receive(*peers::unpack_beacon(
                                peers::with_included(0, peers::pack(message))),
                            this->now);
    }

    static core::peers::zone_capacity free(const char* zone,
                                           std::uint32_t slots)
    {
        return {core::peers::capacity_key(zone),
                core::peers::capacity_key("pool"), slots};
    }

    static std::vector<endpoint_load> full_zone()
    {
        return {{core::endpoints::load_key("z1-0"), 4, 0},
                {core::endpoints::load_key("z1-1"), 4, 0}};
    }

    std::string zone_of_choice(double uniform) const
    {
        return this->table.choose_online("pool", {}, this->now, uniform)
            .chosen->zone;
    }

    core::peers::peer_table peers{"self", "z1", 5, {1000ms, 1000ms, 10000ms}};
    core::endpoints::endpoint_table table{
        "z1", {{"z1", "r1"}, {"z2", "r1"}, {"z3", "r2"}}, peers};
    core::peers::view_sender views;
    std::int64_t sent_ms = 0;
    instant now{50000};
};

} // namespace

// A host that applies changes to the wrong state would be wrong until the next
// whole view, without noticing.
TEST_CASE("views, lost and late ones, leave the sender's loads or a gap")
{
    std::minstd_rand random(3);
    core::peers::view_sender sender;
    core::peers::view_receiver receiver;
    load_map loads;
    core::peers::view_message delayed;
    int gaps = 0;
    for (int step = 0; step < 4000; step++)
    {
        for (int change = 0; change < 5; change++)
        {
            // The endpoints in use change over time, so that lists of keys end.
            std::uint64_t key = 1 + random() % 100 + step / 20;
            auto& load = loads[key];
            load = {key, static_cast<std::uint32_t>(random() % 14),
                    static_cast<std::uint32_t>(random() % 3)};
            if (load.online + load.batch == 0)
                loads.erase(key);
        }
        std::erase_if(loads, [&](const auto& each)
                      { return each.first < std::uint64_t(step) / 20; });
        sender.update(values(loads), 100);
        if (random() % 10 < 4)
        {
            delayed = sender.changes();
            continue;
        }
        bool applied = receiver.apply(sent(sender.changes()));
        if (!applied)
        {
            gaps++;
            REQUIRE(receiver.apply(sent(sender.full())));
        }
        REQUIRE(same(receiver.loads(), loads));
        // An older view must not take it back.
        CHECK_FALSE(receiver.apply(sent(delayed)));
        REQUIRE(same(receiver.loads(), loads));
    }
    CHECK(gaps > 10);
    CHECK(gaps < 1000);
}

TEST_CASE("views, malformed, are refused")
{
    core::peers::view_message message;
    message.epoch = 1;
    message.sequence = 1;
    message.first_key = 5;
    message.loads = {{2, 1, 0}};
    core::peers::view_receiver receiver;
    CHECK_FALSE(receiver.apply(message));
    message.first_key = 0;
    CHECK_FALSE(receiver.apply(message));
    CHECK_FALSE(peers::unpack_view("\x97\x01\x01"));
}

TEST_CASE("views, each endpoint's load changed, take a byte an endpoint")
{
    core::peers::view_sender sender;
    load_map loads;
    for (std::uint64_t step = 0; step < 8; step++)
    {
        for (std::uint64_t number = 0; number < 500; number++)
        {
            auto key = core::endpoints::load_key(std::to_string(number));
            loads[key] = {key, static_cast<std::uint32_t>(1 + step % 8), 2};
        }
        sender.update(values(loads), 1);
    }
    CHECK(peers::pack(sender.changes()).size() < 560);
    CHECK(peers::pack(sender.full()).size() < 3100);
}

TEST_CASE_METHOD(
    zone_host, "zone full, others have free slots, goes to the nearest region")
{
    this->tell({}, {free("z2", 3), free("z3", 8)});
    CHECK(this->peers.follows_lead());
    for (double uniform : {0.0, 0.5, 0.99})
        CHECK(this->zone_of_choice(uniform) == "z1");
    this->tell(full_zone(), {free("z2", 3), free("z3", 8)});
    for (double uniform : {0.0, 0.5, 0.99})
        CHECK(this->zone_of_choice(uniform) == "z2");
    this->tell(full_zone(), {free("z2", 0), free("z3", 8)});
    for (double uniform : {0.0, 0.5, 0.99})
        CHECK(this->zone_of_choice(uniform) == "z3");
    // The loads of other zones aren't known, so they must not look idle.
    this->tell(full_zone(), {free("z2", 0)});
    for (double uniform : {0.0, 0.5, 0.99})
        CHECK(this->zone_of_choice(uniform) == "z1");
}

TEST_CASE_METHOD(zone_host,
                 "batch slots, of other zones, leave their reserve free")
{
    core::endpoints::batch_allowance allowance{1, 1};
    this->tell(full_zone(), {free("z2", 2), free("z3", 5)});
    // Each zone has two endpoints, so that two slots stay free.
    CHECK(this->table.free_for_batch("pool", allowance, this->now) == 3);
    auto chosen = this->table.choose_batch("pool", allowance, this->now, 0.4);
    REQUIRE(chosen.chosen != nullptr);
    CHECK(chosen.chosen->zone == "z3");
    auto run = this->table.begin(chosen.chosen->id,
                                 core::endpoints::load_kind::batch, this->now);
    CHECK(this->table.excess(run.endpoint) == 0);
    this->tell(full_zone(), {free("z2", 2)});
    CHECK(this->table.excess(run.endpoint) == 1);
    CHECK(this->table.choose_batch("pool", allowance, this->now, 0.4).chosen ==
          nullptr);
}

TEST_CASE_METHOD(zone_host, "views missed, are asked for")
{
    this->tell({}, {});
    CHECK_FALSE(this->peers.wants_view());
    for (int lost = 0; lost < 5; lost++)
        this->views.update(full_zone(), 1);
    this->tell({}, {});
    CHECK(this->peers.wants_view());
}
