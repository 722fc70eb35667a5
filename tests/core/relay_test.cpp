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

constexpr std::uint64_t endpoint = 42;

std::string free_udp_address(boost::asio::io_context& loop)
{
    udp::socket probe(
        loop, udp::endpoint(boost::asio::ip::make_address_v4("127.0.0.1"), 0));
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

/// @brief A host with its table and socket; it runs a fixed number of online
/// requests at one endpoint.
struct host_with_socket
{
    host_with_socket(boost::asio::io_context& loop, std::string own_name,
                     std::string own_address)
        : name(std::move(own_name)), address(std::move(own_address)),
          peers(name, "z1", 1, {1000ms, 1000ms, 10000ms}),
          socket(
              loop, address, {"z1", "r1", false}, peers,
              [this] { return this->compose(); },
              [this](const core::peers::beacon&) { this->received++; })
    {
    }

    core::peers::beacon compose() const
    {
        core::peers::beacon out;
        out.name = this->name;
        out.incarnation = 1;
        out.sent_ms = host::boot_now().count();
        out.address = this->address;
        out.zone = "z1";
        out.region = "r1";
        out.loads = {{endpoint, this->online, 0}};
        return out;
    }

    std::string name;
    std::string address;
    std::uint32_t online = 1;
    core::peers::peer_table peers;
    peers::beacon_socket socket;
    int received = 0;
};

/// @brief A zone of so many hosts that they use relays.
struct large_zone
{
    large_zone()
    {
        std::vector<core::peers::peer> listed;
        for (std::size_t number = 0; number < host_count; number++)
        {
            core::peers::peer one;
            one.name = "host-" + std::to_string(10 + number);
            one.address = free_udp_address(this->loop);
            one.zone = "z1";
            one.region = "r1";
            one.incarnation = 1;
            listed.push_back(one);
            this->hosts.push_back(std::make_unique<host_with_socket>(
                this->loop, one.name, one.address));
        }
        for (const auto& one : this->hosts)
        {
            one->peers.set_registered(listed);
            one->socket.start();
        }
    }

    ~large_zone()
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

    /// @brief How many of the hosts from a number on know this sum.
    std::size_t knowing(std::uint32_t online, std::size_t from = 0) const
    {
        std::size_t count = 0;
        for (auto number = from; number < host_count; number++)
            count += this->hosts[number]->peers.load(endpoint).online == online
                         ? 1
                         : 0;
        return count;
    }

    static constexpr std::size_t host_count = 24;
    boost::asio::io_context loop;
    std::vector<std::unique_ptr<host_with_socket>> hosts;
};

} // namespace

TEST_CASE_METHOD(large_zone,
                 "beacons, large zone, tell all hosts the sum of the loads")
{
    this->run(1500ms);
    CHECK(this->knowing(host_count - 1) == host_count);
    this->hosts[20]->online = 9;
    this->hosts[20]->socket.send_soon();
    this->run(400ms);
    // The host itself doesn't count its own requests.
    CHECK(this->hosts[20]->peers.load(endpoint).online == host_count - 1);
    CHECK(this->knowing(host_count + 7) == host_count - 1);
}

TEST_CASE_METHOD(large_zone,
                 "beacons, large zone, reach a host at a bounded rate")
{
    this->run(1500ms);
    for (const auto& one : this->hosts)
        one->received = 0;
    // Every host's load changes all the time.
    for (int step = 0; step < 200; step++)
    {
        for (const auto& one : this->hosts)
            one->socket.send_soon();
        this->run(10ms);
    }
    // Direct beacons of 23 hosts would be 480 a second. Presence, the lead's
    // sums and the second relay's presence are 20, 25 and 5 at most.
    for (std::size_t number = 2; number < host_count; number++)
        CHECK(this->hosts[number]->received <= 2 * 60);
    CHECK(this->hosts[0]->received <= 2 * 520);
}

TEST_CASE_METHOD(large_zone,
                 "beacons, both relays of a large zone lost, go through the "
                 "next hosts")
{
    this->run(1500ms);
    REQUIRE(this->hosts[0]->peers.leads_zone(host::boot_now()));
    this->hosts[0]->socket.stop();
    this->hosts[1]->socket.stop();
    // Two silent hosts are passed over after a second and some.
    this->run(2600ms);
    CHECK(this->hosts[2]->peers.leads_zone(host::boot_now()));
    this->hosts[20]->online = 5;
    this->hosts[20]->socket.send_soon();
    this->run(400ms);
    CHECK(this->knowing(host_count - 3 + 4, 2) == host_count - 3);
}
