#include <catch2/catch.hpp>

#include "core/hash.hpp"
#include "core/peers/peer_table.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using core::instant;
using core::peers::beacon;

namespace
{

struct peer_table_fixture
{
    peer_table_fixture() : peers("self", "z1", 5, {1000ms, 1000ms, 10000ms}) {}

    beacon from(std::string name, std::int64_t sent,
                std::uint64_t incarnation = 1) const
    {
        beacon out;
        out.name = std::move(name);
        out.incarnation = incarnation;
        out.sent_ms = sent;
        out.address = "127.0.0.1:1";
        out.zone = "z1";
        out.disk = "disk-" + out.name;
        return out;
    }

    core::peers::peer_table peers;
    instant now{50000};
};

} // namespace

TEST_CASE_METHOD(peer_table_fixture, "beacons, late ones, are dropped")
{
    CHECK(this->peers.receive(this->from("a", 10), this->now));
    CHECK_FALSE(this->peers.receive(this->from("a", 9), this->now));
    CHECK(this->peers.receive(this->from("a", 1, 2), this->now));
    CHECK_FALSE(this->peers.receive(this->from("self", 1), this->now));
}

TEST_CASE_METHOD(peer_table_fixture,
                 "disk, its host unresponsive, has no live host")
{
    this->peers.receive(this->from("a", 10), this->now);
    CHECK(this->peers.live_disk_host("disk-a", this->now) != nullptr);
    CHECK(this->peers.live_disk_host("disk-a", this->now + 1001ms) == nullptr);
    CHECK(this->peers.live_disk_host("", this->now) == nullptr);
}

TEST_CASE_METHOD(peer_table_fixture, "echoes, of another start, grant no lease")
{
    auto sent = this->from("a", 10);
    sent.echoes = {{core::hash("self"), 4, 49000}};
    this->peers.receive(sent, this->now);
    CHECK(this->peers.find("a")->last_echoed == 0ms);
    sent.sent_ms = 11;
    sent.echoes = {{core::hash("self"), 5, 49500}};
    this->peers.receive(sent, this->now);
    CHECK(this->peers.find("a")->last_echoed == 49500ms);
    sent.sent_ms = 12;
    sent.echoes = {{core::hash("self"), 5, 49100}};
    this->peers.receive(sent, this->now);
    CHECK(this->peers.find("a")->last_echoed == 49500ms);
}

TEST_CASE_METHOD(peer_table_fixture,
                 "loads, beacons of two hosts, add up and vanish")
{
    auto first = this->from("a", 1);
    first.loads = {{42, 3, 1}};
    auto second = this->from("b", 1);
    second.loads = {{42, 2, 2}};
    this->peers.receive(first, this->now);
    this->peers.receive(second, this->now);
    CHECK(this->peers.load(42).online == 5);
    CHECK(this->peers.load(42).batch == 3);
    second.sent_ms = 2;
    second.loads = {};
    this->peers.receive(second, this->now + 900ms);
    CHECK(this->peers.load(42).online == 3);
    this->peers.expire_loads(this->now + 1500ms);
    CHECK(this->peers.load(42).online == 0);
}

TEST_CASE_METHOD(peer_table_fixture,
                 "registration, expired and unresponsive, is removed")
{
    core::peers::peer listed;
    listed.name = "a";
    listed.address = "127.0.0.1:2";
    this->peers.set_registered({listed});
    this->peers.expire(this->now);
    REQUIRE(this->peers.find("a") != nullptr);
    this->peers.receive(this->from("a", 1), this->now);
    // An expired registration alone does not remove a host whose beacons
    // arrive.
    this->peers.set_registered({});
    this->peers.expire(this->now + 5000ms);
    CHECK(this->peers.find("a") != nullptr);
    this->peers.expire(this->now + 10001ms);
    CHECK(this->peers.find("a") == nullptr);
}

TEST_CASE_METHOD(peer_table_fixture, "backlogs, live hosts, add up by route")
{
    auto first = this->from("a", 1);
    first.backlogs = {{7, 100}, {8, 5}};
    auto second = this->from("b", 1);
    second.backlogs = {{7, 50}};
    this->peers.receive(first, this->now);
    this->peers.receive(second, this->now + 900ms);
    CHECK(this->peers.backlog_tokens(7, this->now + 950ms) == 150);
    CHECK(this->peers.backlog_tokens(7, this->now + 1200ms) == 50);
}

TEST_CASE_METHOD(peer_table_fixture,
                 "zone summary, of another zone, is its load")
{
    auto host = this->from("b", 1);
    host.zone = "z2";
    host.loads = {{42, 9, 9}};
    this->peers.receive(host, this->now);
    CHECK(this->peers.load(42).online == 0);
    auto summary = this->from("a", 1);
    summary.zone = "z2";
    summary.scope = core::peers::beacon_scope::zone;
    summary.loads = {{42, 3, 1}};
    CHECK(this->peers.receive(summary, this->now));
    CHECK_FALSE(this->peers.receive(this->from("a", 0), this->now));
    CHECK(this->peers.load(42).online == 3);
    // Another host sends the summary of the zone after the first one stopped.
    summary.name = "b";
    summary.sent_ms = 2;
    summary.loads = {{42, 1, 0}};
    this->peers.receive(summary, this->now + 100ms);
    CHECK(this->peers.load(42).online == 1);
    this->peers.expire_loads(this->now + 1200ms);
    CHECK(this->peers.load(42).online == 0);
}

TEST_CASE_METHOD(peer_table_fixture,
                 "zone lead, several live hosts, is the first by name")
{
    CHECK(this->peers.leads_zone(this->now));
    this->peers.receive(this->from("a", 1), this->now);
    CHECK_FALSE(this->peers.leads_zone(this->now));
    CHECK(this->peers.zone_size(this->now) == 2);
    CHECK(this->peers.leads_zone(this->now + 1100ms));
    auto away = this->from("a", 2);
    away.store_unreachable = true;
    this->peers.receive(away, this->now);
    CHECK_FALSE(this->peers.leads_zone(this->now));
    CHECK(this->peers.reads_for_zone(this->now));
    auto leaving = this->from("a", 3);
    leaving.leaving = true;
    this->peers.receive(leaving, this->now);
    CHECK(this->peers.leads_zone(this->now));
}

TEST_CASE_METHOD(peer_table_fixture,
                 "other zones' leads, known or assumed, are listed")
{
    std::vector<core::peers::peer> listed(4);
    const char* names[] = {"d", "b", "c", "e"};
    for (std::size_t at = 0; at < listed.size(); at++)
    {
        listed[at].name = names[at];
        listed[at].zone = "z2";
        listed[at].address = "127.0.0.1:3";
    }
    this->peers.set_registered(listed);
    CHECK(this->peers.other_zone_leads(this->now).size() == 2);
    auto summary = this->from("d", 1);
    summary.zone = "z2";
    summary.scope = core::peers::beacon_scope::zone;
    this->peers.receive(summary, this->now);
    auto leads = this->peers.other_zone_leads(this->now);
    REQUIRE(leads.size() == 1);
    CHECK(leads[0]->name == "d");
}

TEST_CASE_METHOD(peer_table_fixture,
                 "zone lead, hosts of unlike capacity, is the largest")
{
    auto large = this->from("x", 1);
    large.capacity = 500;
    this->peers.receive(this->from("a", 1), this->now);
    this->peers.receive(large, this->now);
    auto relays = this->peers.relays(this->now);
    REQUIRE(relays.size() == 2);
    CHECK(relays[0]->name == "x");
    CHECK(relays[1]->name == "a");
    CHECK_FALSE(this->peers.is_relay(this->now));
}

// Both relays die at once. As other hosts show themselves seldom, a host that
// was only heard of long ago must not hold up the next lead.
TEST_CASE_METHOD(peer_table_fixture,
                 "relays, silent, are passed over until they are heard again")
{
    for (const char* name : {"a", "b", "c", "t"})
    {
        auto shown = this->from(name, 1);
        shown.next_within = 2000ms;
        this->peers.receive(shown, this->now);
    }
    CHECK(this->peers.alive(*this->peers.find("a"), this->now + 5000ms));
    instant at = this->now;
    auto silent_until = [&](instant end)
    {
        for (; at < end; at += 200ms)
            this->peers.check_relays(at);
    };
    silent_until(this->now + 1400ms);
    auto relays = this->peers.relays(at);
    // This host ranks behind "c" and is the second relay.
    REQUIRE(relays.size() == 1);
    CHECK(relays[0]->name == "c");
    CHECK_FALSE(this->peers.leads_zone(at));
    silent_until(this->now + 2800ms);
    CHECK(this->peers.leads_zone(at));
    this->peers.receive(this->from("a", 2), at);
    CHECK_FALSE(this->peers.leads_zone(at));
}

TEST_CASE_METHOD(peer_table_fixture,
                 "fleet loads, sent by the lead, contain this host's once")
{
    this->peers.receive(this->from("a", 1), this->now);
    this->peers.add_report(100, {{42, 2, 1}});
    // Told to the relays later than the sums were made.
    this->peers.add_report(150, {{42, 7, 3}});
    auto sums = this->from("a", 2);
    sums.scope = core::peers::beacon_scope::fleet;
    sums.included_ms = 100;
    sums.loads = {{42, 5, 4}, {43, 1, 0}};
    CHECK(this->peers.receive(sums, this->now));
    CHECK(this->peers.load(42).online == 3);
    CHECK(this->peers.load(42).batch == 3);
    CHECK(this->peers.load(43).online == 1);
    // A host of the zone that shows itself doesn't count once more.
    auto other = this->from("b", 1);
    other.loads = {{42, 9, 9}};
    this->peers.receive(other, this->now);
    CHECK(this->peers.load(42).online == 3);
    // Without the lead, this host's own sums count.
    this->peers.expire_loads(this->now + 900ms);
    CHECK(this->peers.load(42).online == 3);
    other.sent_ms = 2;
    this->peers.receive(other, this->now + 1000ms);
    this->peers.expire_loads(this->now + 1050ms);
    CHECK_FALSE(this->peers.follows_lead());
    CHECK(this->peers.load(42).online == 9);
}

TEST_CASE_METHOD(peer_table_fixture,
                 "presence, of a host that reports loads, keeps them")
{
    auto report = this->from("b", 1);
    report.loads = {{42, 3, 1}};
    this->peers.receive(report, this->now);
    auto shown = this->from("b", 2);
    shown.scope = core::peers::beacon_scope::presence;
    this->peers.receive(shown, this->now);
    CHECK(this->peers.load(42).online == 3);
}

TEST_CASE_METHOD(peer_table_fixture,
                 "echoes, in a large fleet, name hosts of shared partitions")
{
    for (int host = 0; host < 40; host++)
        this->peers.receive(this->from("h" + std::to_string(host), 1),
                            this->now);
    CHECK(this->peers.disk_echoes(this->now).empty());
    this->peers.set_partner_disks({"disk-h3", "disk-h4"});
    CHECK(this->peers.disk_echoes(this->now).size() == 2);
}
