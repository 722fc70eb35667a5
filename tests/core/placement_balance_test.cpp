#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

#include "core/batches/placement_balance.hpp"

using namespace amaranthhatch::core::batches;

namespace
{

/// @brief Hosts in zones of two regions, and a placement that is balanced one
/// change at a time, as the owners do it.
struct balance_fixture
{
    explicit balance_fixture(std::size_t host_count = 3,
                             std::size_t copy_count = 2)
    {
        for (std::size_t at = 0; at < host_count; at++)
            this->hosts.push_back(this->make(at, "d" + std::to_string(at)));
        this->placed = *first_placement(24, copy_count, this->hosts);
    }

    disk_host make(std::size_t at, std::string disk) const
    {
        auto zone = "z" + std::to_string(at % 3);
        return {std::move(disk), zone, zone == "z2" ? "r2" : "r1", 1, true};
    }

    // Applies the takeovers and replacements that follow the loss of a disk.
    void lose(std::size_t at)
    {
        auto lost = this->hosts[at].disk;
        this->hosts.erase(this->hosts.begin() +
                          static_cast<std::ptrdiff_t>(at));
        for (auto& place : this->placed.partitions)
        {
            if (!place.holds_copy(lost))
                continue;
            placement_balance balance(this->placed, this->hosts);
            const auto* next = balance.choose_replacement(place, lost, "r1");
            REQUIRE(next != nullptr);
            std::replace(place.copies.begin(), place.copies.end(), lost,
                         next->disk);
            if (place.owner_disk == lost)
                place.owner_disk = place.copies.front();
        }
    }

    bool change_one()
    {
        placement_balance balance(this->placed, this->hosts);
        for (auto& place : this->placed.partitions)
        {
            if (auto move = balance.choose_move(place))
            {
                std::replace(place.copies.begin(), place.copies.end(),
                             move->from_disk, move->to_disk);
                return true;
            }
            if (const auto* successor = balance.choose_successor(place))
            {
                place.owner_disk = successor->disk;
                return true;
            }
        }
        return false;
    }

    std::size_t even_out()
    {
        std::size_t changes = 0;
        while (changes < 200 && this->change_one())
            changes++;
        return changes;
    }

    using counter =
        std::uint32_t (placement_balance::*)(std::string_view) const;

    /// @brief Difference between the largest and the smallest count of a host,
    /// in one zone or in all.
    std::uint32_t spread(counter count, std::string_view zone = {}) const
    {
        placement_balance balance(this->placed, this->hosts);
        std::set<std::uint32_t> seen;
        for (const auto& host : this->hosts)
            if (zone.empty() || host.zone == zone)
                seen.insert((balance.*count)(host.disk));
        return *seen.rbegin() - *seen.begin();
    }

    std::string zone_of(std::string_view disk) const
    {
        for (const auto& host : this->hosts)
            if (host.disk == disk)
                return host.zone;
        return {};
    }

    std::vector<disk_host> hosts;
    placement placed;
};

struct large_balance_fixture : balance_fixture
{
    large_balance_fixture() : balance_fixture(13, 3) {}
};

} // namespace

TEST_CASE_METHOD(balance_fixture, "balance, first placement, needs no change")
{
    CHECK(this->even_out() == 0);
    CHECK(this->spread(&placement_balance::copies) <= 1);
    CHECK(this->spread(&placement_balance::owned) <= 1);
}

TEST_CASE_METHOD(balance_fixture,
                 "balance, host lost and back with an empty disk, gives it its "
                 "share again")
{
    this->lose(2);
    this->hosts.push_back(this->make(2, "d9"));
    auto changes = this->even_out();
    CHECK(changes > 0);
    CHECK(changes < 60);
    CHECK(this->spread(&placement_balance::copies) <= 1);
    CHECK(this->spread(&placement_balance::owned) <= 1);
}

TEST_CASE_METHOD(large_balance_fixture,
                 "balance, two hosts of many lost, keeps three zones a "
                 "partition")
{
    this->lose(0);
    this->lose(4);
    this->even_out();
    // Each zone has one copy of each partition, however many hosts it has.
    for (const auto* zone : {"z0", "z1", "z2"})
        CHECK(this->spread(&placement_balance::copies, zone) <= 1);
    for (const auto& place : this->placed.partitions)
    {
        std::set<std::string> zones;
        for (const auto& disk : place.copies)
            zones.insert(this->zone_of(disk));
        CHECK(zones.size() == 3);
        CHECK(place.holds_copy(place.owner_disk));
    }
}

TEST_CASE_METHOD(balance_fixture,
                 "balance, host that is to be drained, gets no copies")
{
    this->lose(2);
    auto back = this->make(2, "d9");
    back.accepts_copies = false;
    this->hosts.push_back(back);
    this->even_out();
    placement_balance balance(this->placed, this->hosts);
    CHECK(balance.copies("d9") == 0);
    CHECK(balance.owned("d9") == 0);
}

TEST_CASE_METHOD(balance_fixture,
                 "balance, copies that share a zone, moves one of them first")
{
    this->hosts.push_back(this->make(0, "d3"));
    auto& place = this->placed.partitions.front();
    place = {1, "d0", 1, {"d0", "d3"}};
    placement_balance balance(this->placed, this->hosts);
    auto move = balance.choose_move(place);
    REQUIRE(move);
    CHECK(move->from_disk == "d3");
    CHECK(this->zone_of(move->to_disk) != "z0");
}
