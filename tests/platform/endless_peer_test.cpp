#include <catch2/catch.hpp>

#include "batches/batch_client.hpp"
#include "batches/disk_call.hpp"
#include "endless_server.hpp"
#include "fleet.hpp"
#include "host/boot_clock.hpp"
#include "host/host_runtime.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;

namespace
{

// What the sockets hold on the way isn't read.
constexpr std::size_t socket_bytes = 10u << 20;

/// @brief A store that holds a placement of one partition, or refuses reads.
class one_partition_store : public store::async_store
{
public:
    void list(std::string_view prefix, listing_callback done) override
    {
        store::listing listed;
        if (this->readable)
        {
            listed.result = store::outcome::done;
            listed.revision = 1;
            core::batches::placement table;
            table.partitions.push_back({1, "disk-1", 1, {}});
            if (prefix.ends_with("placement"))
                listed.entries.push_back({std::string(prefix),
                                          batches::placement_text(table), 1,
                                          false});
        }
        done(listed);
    }
    void watch(std::string_view, std::uint64_t, std::chrono::milliseconds,
               listing_callback) override
    {
    }
    void commit(const store::change&, change_callback) override {}
    void grant(std::chrono::milliseconds, lease_callback done) override
    {
        done({});
    }
    void renew(std::uint64_t, lease_callback done) override { done({}); }
    void revoke(std::uint64_t, lease_callback done) override { done({}); }

    bool readable = true;
};

/// @brief A host with 16 MiB for an answer, and a peer whose answers never end.
struct endless_peer
{
    endless_peer()
        : peer(1, {{"HTTP/1.1 200 OK\r\n\r\n", "x"}}),
          address(this->peer.addresses().front())
    {
        this->settings.name = "asker";
        this->settings.zone = "zone-a";
        this->settings.region = "near";
        this->settings.internal_address = fleet::free_address();
        this->settings.heartbeat = 1000ms;
        this->settings.drain = 1000ms;
    }

    ~endless_peer()
    {
        if (this->runtime)
            this->runtime->stop();
    }

    void start()
    {
        this->runtime.emplace(
            this->loop, this->http, this->metrics, this->store, this->settings,
            host::store_layout{"configuration/", "endpoints/", "system/"},
            "disk-0");
        this->runtime->start();
    }

    /// @brief Shows the host a peer with the disk of the partition.
    void show_peer()
    {
        core::peers::beacon beacon;
        beacon.name = "peer";
        beacon.incarnation = 1;
        beacon.sent_ms = host::boot_now().count();
        beacon.address = this->address;
        beacon.zone = "zone-a";
        beacon.region = "near";
        beacon.disk = "disk-1";
        this->runtime->peers().receive(beacon, host::boot_now());
    }

    template <typename Holds>
    bool run_until(Holds holds)
    {
        auto end = std::chrono::steady_clock::now() + 5s;
        while (!holds() && std::chrono::steady_clock::now() < end)
        {
            this->loop.restart();
            this->loop.run_for(5ms);
        }
        return holds();
    }

    tests::endless_server peer;
    std::string address;
    boost::asio::io_context loop;
    http::async_client http{loop};
    metrics::recorder metrics;
    one_partition_store store;
    host::host_settings settings;
    std::optional<host::host_runtime> runtime;
};

} // namespace

TEST_CASE_METHOD(endless_peer,
                 "copies of the store, peer's answers never end, are given up "
                 "together before they fill a small host")
{
    constexpr std::size_t parts = 4;
    constexpr std::size_t copy_bytes = 16u << 20;
    this->store.readable = false;
    this->settings.seeds = {this->address};
    this->start();
    CHECK(
        this->run_until([this] { return this->peer.served() >= int(parts); }));
    // Longer than a call for a copy may take.
    auto end = std::chrono::steady_clock::now() + 1s;
    auto served = this->peer.served();
    this->settings.seeds = {};
    this->runtime->change_settings(this->settings);
    this->run_until([&] { return std::chrono::steady_clock::now() > end; });
    INFO(this->peer.sent() << " bytes of " << this->peer.served());
    CHECK(this->peer.served() <= served + int(parts));
    CHECK(this->peer.sent() / static_cast<std::size_t>(this->peer.served()) <
          copy_bytes + socket_bytes);
}

TEST_CASE_METHOD(endless_peer,
                 "call to a disk's host, its answer never ends, is given up "
                 "within its limit")
{
    constexpr std::size_t answer_bytes = 4u << 20;
    this->start();
    this->show_peer();
    bool ended = false;
    batches::call_disk_host(*this->runtime, "disk-1", "/batches/append", "x",
                            {2000ms, answer_bytes},
                            [&](const std::optional<std::string>& body)
                            {
                                ended = true;
                                CHECK(!body);
                            });
    CHECK(this->run_until([&] { return ended; }));
    CHECK(this->peer.served() == 1);
    CHECK(this->peer.sent() < answer_bytes + socket_bytes);
    CHECK(this->metrics.text().find("hatch_broken_answers_total") !=
          std::string::npos);
}

TEST_CASE_METHOD(endless_peer,
                 "call to a job's owner, its answer never ends, is given up "
                 "within what a host may hold for an answer")
{
    this->start();
    this->show_peer();
    batches::batch_client jobs(*this->runtime);
    auto ended = batches::job_outcome::done;
    std::size_t limit = 0;
    auto hears = [&](batches::job_outcome result, const auto&...)
    { ended = result; };
    SECTION("submit")
    {
        jobs.submit({}, hears);
    }
    SECTION("end")
    {
        jobs.end("job", {}, hears);
    }
    SECTION("read")
    {
        limit = this->settings.response_bytes;
        jobs.read("job", {}, 0, 0ms, hears);
    }
    SECTION("body of an item")
    {
        limit = this->settings.response_bytes;
        jobs.read_body("job", {}, "item", hears);
    }
    CHECK(this->run_until([&] { return ended != batches::job_outcome::done; }));
    CHECK(ended == batches::job_outcome::unknown);
    CHECK(this->peer.served() == 1);
    CHECK(this->peer.sent() < limit + socket_bytes);
}
