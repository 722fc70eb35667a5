#include "disk_fleet.hpp"

#include <stdlib.h>

#include <filesystem>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include "core/hash.hpp"
#include "host/boot_clock.hpp"

namespace amaranthhatch::tests
{

using namespace std::chrono_literals;
namespace model = core::batches;

namespace
{

constexpr std::chrono::milliseconds tick_interval{20};
constexpr std::chrono::milliseconds owner_wait{5000};
const std::string region = "region";

std::string free_address()
{
    using tcp = boost::asio::ip::tcp;
    boost::asio::io_context loop;
    tcp::acceptor probe(
        loop, tcp::endpoint(boost::asio::ip::make_address_v4("127.0.0.1"), 0));
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

} // namespace

host::host_settings owner_settings()
{
    host::host_settings settings;
    settings.name = "owner";
    settings.zone = "zone-owner";
    settings.region = region;
    settings.internal_address = free_address();
    settings.lost_disks = 2;
    settings.heartbeat = 1000ms;
    settings.drain = 1000ms;
    settings.job_status = 60000ms;
    return settings;
}

void placement_store::list(std::string_view prefix, listing_callback done)
{
    store::listing listed{store::outcome::done, this->revision, {}};
    if (prefix == this->placement_key)
        listed.entries.push_back({this->placement_key,
                                  batches::placement_text(this->placement),
                                  this->revision});
    done(listed);
}

void placement_store::watch(std::string_view prefix, std::uint64_t,
                            std::chrono::milliseconds, listing_callback done)
{
    if (prefix == this->placement_key)
        this->watcher = std::move(done);
}

void placement_store::commit(const store::change& wanted, change_callback done)
{
    for (const auto& condition : wanted.conditions)
        if (condition.key == this->placement_key)
            this->required_revisions.push_back(condition.revision);
    for (const auto& write : wanted.writes)
        if (write.key == this->placement_key)
            this->written.push_back(*batches::parse_placement(write.value));
    if (this->hold_writes)
        return this->held.push_back(std::move(done));
    done({this->write_outcome, ++this->revision});
}

void placement_store::release_writes()
{
    for (const auto& done : std::exchange(this->held, {}))
        done({this->write_outcome, 0});
}

void placement_store::publish(model::placement changed)
{
    this->placement = std::move(changed);
    this->revision++;
    auto tell = std::exchange(this->watcher, nullptr);
    tell({store::outcome::done,
          this->revision,
          {{this->placement_key, batches::placement_text(this->placement),
            this->revision}}});
}

copy_host::copy_host(boost::asio::io_context& loop, std::string name)
    : loop(loop), host_name(std::move(name)), address(free_address())
{
    this->start(0);
}

void copy_host::start(std::size_t partitions)
{
    this->incarnation++;
    this->log =
        std::make_unique<batches::disk_log>(this->loop, this->folder.path());
    this->identity = this->log->identity();
    this->held_jobs =
        std::make_unique<batches::job_store>(*this->log, partitions);
    this->server = std::make_unique<http::async_server>(
        this->loop, this->address, [] { return http::server_limits(); },
        [this](const exchange_ptr& exchange) { this->respond(exchange); });
}

void copy_host::stop()
{
    this->server.reset();
    this->held_jobs.reset();
    this->log.reset();
}

void copy_host::respond(const exchange_ptr& exchange)
{
    const auto& request = exchange->received_request();
    if (request.path == "/batches/reconcile")
        return exchange->respond(
            200, {},
            batches::pack(this->held_jobs->handle(
                *batches::unpack_reconcile(request.body))));
    if (this->hold_appends)
        return this->held.push_back(exchange);
    this->append(exchange);
}

void copy_host::append(const exchange_ptr& exchange)
{
    this->held_jobs->handle(
        *batches::unpack_append(exchange->received_request().body),
        [exchange](const batches::append_response& response)
        { exchange->respond(200, {}, batches::pack(response)); });
}

void copy_host::release_appends()
{
    for (const auto& exchange : std::exchange(this->held, {}))
        this->append(exchange);
}

core::peers::beacon copy_host::beacon(const host::host_runtime& to) const
{
    core::peers::beacon beacon;
    auto now_ms = host::boot_now().count();
    beacon.name = this->host_name;
    beacon.incarnation = this->incarnation;
    beacon.sent_ms = now_ms;
    beacon.address = this->address;
    beacon.zone = "zone-" + this->host_name;
    beacon.region = region;
    beacon.disk = this->identity;
    beacon.echoes.push_back(
        {core::hash(to.settings().name), to.incarnation(), now_ms});
    return beacon;
}

disk_fleet::disk_fleet()
    : runtime(this->loop, this->client, this->metrics, this->store,
              owner_settings(), {"configuration/", "endpoints/", "system/"},
              this->disk.identity()),
      agent(this->runtime, this->jobs, [](const std::string&) {})
{
}

model::partition_place
disk_fleet::owned_place(const std::vector<std::string>& copy_disks) const
{
    model::partition_place place{1, this->owner_disk(),
                                 this->runtime.incarnation(), copy_disks};
    place.copies.insert(place.copies.begin(), this->owner_disk());
    return place;
}

void disk_fleet::start(std::vector<model::partition_place> partitions)
{
    this->store.placement_key = this->runtime.placement_key();
    this->store.placement.partitions = std::move(partitions);
    this->runtime.start();
}

void disk_fleet::deliver_beacons()
{
    for (const auto* host : {&this->first, &this->second, &this->spare})
        if (host->heard)
            this->runtime.peers().receive(host->beacon(this->runtime),
                                          host::boot_now());
}

bool disk_fleet::run_until(const std::function<bool()>& condition,
                           std::chrono::milliseconds limit)
{
    auto end = host::boot_now() + limit;
    while (!condition())
    {
        if (host::boot_now() > end)
            return false;
        this->deliver_beacons();
        this->agent.tick();
        this->loop.restart();
        this->loop.run_for(tick_interval);
    }
    return true;
}

bool disk_fleet::wait_for_owner(const std::string& job,
                                bool (batches::partition_owner::*state)() const)
{
    return this->run_until(
        [&]
        {
            auto owner = this->agent.owner_of(job);
            return owner && (*owner.*state)();
        },
        owner_wait);
}

model::record_ptr accepted_record(const std::string& job, std::uint64_t epoch)
{
    auto content = std::make_shared<model::job>();
    content->id = job;
    content->submitted_ms = host::wall_now_ms();
    content->items.resize(1);
    auto record = std::make_shared<model::record>();
    record->epoch = epoch;
    record->accepted = std::move(content);
    return record;
}

} // namespace amaranthhatch::tests
