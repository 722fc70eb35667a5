#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "host/boot_clock.hpp"
#include "peers/beacon_socket.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using udp = boost::asio::ip::udp;

namespace
{

constexpr std::uint64_t first_endpoint = 100;
constexpr std::uint64_t endpoints_per_zone = 100;

std::string free_udp_address(boost::asio::io_context& loop)
{
    udp::socket probe(
        loop, udp::endpoint(boost::asio::ip::make_address_v4("127.0.0.1"), 0));
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

std::string zone_name(std::uint64_t number)
{
    return "z" + std::to_string(number);
}

/// @brief Zone z0 has the endpoints 100 to 199, z1 those up to 299. Each zone
/// has so many free slots of the service "pool" as the host was told.
struct known_endpoints : core::peers::fleet_endpoints
{
    std::string_view zone_of(std::uint64_t endpoint) const override
    {
        return endpoint < first_endpoint                        ? ""
               : endpoint < first_endpoint + endpoints_per_zone ? "z0"
                                                                : "z1";
    }

    std::vector<core::peers::zone_capacity>
    free_slots(core::instant) const override
    {
        std::vector<core::peers::zone_capacity> out;
        for (std::uint64_t number : {0, 1})
        {
            auto told = this->peers->free_capacity(zone_name(number), "pool");
            out.push_back({core::peers::capacity_key(zone_name(number)),
                           core::peers::capacity_key("pool"),
                           told.value_or(this->own_free)});
        }
        return out;
    }

    const core::peers::peer_table* peers = nullptr;
    std::uint32_t own_free = 0;
};

/// @brief A host that runs one request at each endpoint of one zone.
struct zone_member
{
    zone_member(boost::asio::io_context& loop, const core::peers::peer& self)
        : self(self), peers(self.name, self.zone, 1, {1000ms, 1000ms, 10000ms},
                            self.capacity),
          socket(
              loop, self.address, {self.zone, "r1", false}, peers,
              [this] { return this->compose(); },
              [](const core::peers::beacon&) {})
    {
        this->endpoints.peers = &this->peers;
        this->endpoints.own_free = self.zone == "z0" ? 7 : 11;
        this->socket.set_endpoints(this->endpoints);
    }

    core::peers::beacon compose() const
    {
        core::peers::beacon out;
        out.name = this->self.name;
        out.incarnation = 1;
        out.sent_ms = host::boot_now().count();
        out.address = this->self.address;
        out.zone = this->self.zone;
        out.region = "r1";
        out.capacity = this->self.capacity;
        auto first =
            first_endpoint + (this->runs_in == "z0" ? 0 : endpoints_per_zone);
        for (auto key = first; key < first + endpoints_per_zone; key++)
            out.loads.push_back({key, 1, 0});
        return out;
    }

    core::peers::peer self;
    std::string runs_in = "z0";
    core::peers::peer_table peers;
    peers::beacon_socket socket;
    known_endpoints endpoints;
};

/// @brief Two large zones; the first two hosts of each by name never lead.
struct two_large_zones
{
    two_large_zones()
    {
        std::vector<core::peers::peer> listed;
        for (std::size_t number = 0; number < 2 * zone_size; number++)
        {
            core::peers::peer one;
            one.name = "host-" + std::to_string(10 + number);
            one.address = free_udp_address(this->loop);
            one.zone = zone_name(number / zone_size);
            one.region = "r1";
            one.capacity = number % zone_size < 2 ? 0 : 1000;
            one.incarnation = 1;
            listed.push_back(one);
            this->hosts.push_back(
                std::make_unique<zone_member>(this->loop, one));
        }
        for (const auto& one : this->hosts)
        {
            one->peers.set_registered(listed);
            one->socket.start();
        }
    }

    ~two_large_zones()
    {
        for (const auto& one : this->hosts)
            one->socket.stop();
        this->run(10ms);
    }

    void run(std::chrono::milliseconds time)
    {
        this->loop.restart();
        this->loop.run_for(time);
    }

    static constexpr std::size_t zone_size = 18;
    boost::asio::io_context loop;
    std::vector<std::unique_ptr<zone_member>> hosts;
};

} // namespace

// A lead that isn't told what other zones run at its endpoints takes full ones
// for free, and a zone without the others' free slots keeps its excess.
TEST_CASE_METHOD(two_large_zones,
                 "large zones, a request of one at the other's endpoints, is "
                 "known there")
{
    for (std::size_t number = 0; number < hosts.size(); number++)
        this->hosts[number]->runs_in = number < zone_size + 3 ? "z0" : "z1";
    this->run(3500ms);
    auto now = host::boot_now();
    for (const auto& one : this->hosts)
    {
        const auto& peers = one->peers;
        INFO(one->self.name);
        bool leads = peers.leads_zone(now);
        CHECK((leads || peers.follows_lead()));
        bool first = one->self.zone == "z0";
        auto own_endpoint =
            first ? first_endpoint : first_endpoint + endpoints_per_zone;
        // Three hosts of z1 run at the endpoints of z0, no host the other way.
        std::uint32_t others = first                  ? zone_size + 3 - 1
                               : one->runs_in == "z1" ? zone_size - 3 - 1
                                                      : zone_size - 3;
        CHECK(peers.load(own_endpoint).online == others);
        CHECK(peers.free_capacity(one->self.zone, "pool") == std::nullopt);
        CHECK(peers.free_capacity(first ? "z1" : "z0", "pool") ==
              (first ? 11u : 7u));
        auto other_endpoint =
            first ? first_endpoint + endpoints_per_zone : first_endpoint;
        if (!leads)
            CHECK(peers.load(other_endpoint).online == 0);
    }
}
