#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "batches/batch_service.hpp"
#include "disk_fleet.hpp"
#include "host/boot_clock.hpp"
#include "http/buffered_call.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
namespace routes = core::routes;

namespace
{

constexpr std::chrono::milliseconds call_limit{2000};
constexpr std::chrono::milliseconds step_limit{5000};
const std::string authority = "host.example";

routes::route limited_route(const std::string& prefix,
                            std::uint64_t backlog_tokens)
{
    routes::route out;
    out.name = prefix;
    out.authority = authority;
    out.prefix = prefix;
    out.kind = routes::route_kind::batch;
    out.services = {{"service", 1}};
    out.backlog_tokens = backlog_tokens;
    return out;
}

core::batches::job job_of(const std::string& id, const std::string& path,
                          std::uint64_t configuration_version)
{
    core::batches::job out;
    out.id = id;
    out.authority = authority;
    out.path = path;
    out.submitted_ms = host::wall_now_ms();
    out.configuration_version = configuration_version;
    out.items.resize(1);
    out.items.front().id = id + "-item";
    out.items.front().tokens = 60;
    return out;
}

/// @brief A host that keeps jobs and owns the only partition, without copies.
struct job_host
{
    job_host()
        : runtime(this->loop, this->client, this->metrics, this->store,
                  tests::owner_settings(),
                  {"configuration/", "endpoints/", "system/"},
                  this->disk.identity()),
          service(this->runtime, this->disk, {})
    {
        this->store.placement_key = this->runtime.placement_key();
        this->store.placement.partitions = {{1,
                                             this->disk.identity(),
                                             this->runtime.incarnation(),
                                             {this->disk.identity()}}};
        this->runtime.start();
        this->service.start();
    }

    ~job_host() { this->service.stop(); }

    void apply(std::uint64_t version, std::vector<routes::route> all)
    {
        this->service.apply(std::make_shared<const routes::route_table>(
            version, std::move(all), std::vector<routes::service>{},
            routes::caller_limits{}));
    }

    int submit(const core::batches::job& job)
    {
        http::client_request request;
        request.method = "POST";
        request.target = "/jobs";
        request.body = std::make_shared<const std::string>(batches::pack(job));
        std::optional<int> status;
        auto call = http::start_buffered_call(
            this->client, this->loop, "owner",
            this->runtime.settings().internal_address, request, call_limit,
            [&](const http::buffered_response& response)
            { status = response.status; });
        while (!status)
        {
            this->loop.restart();
            this->loop.run_for(20ms);
        }
        return *status;
    }

    /// @brief Submits until the host serves its partition.
    int submit_once_serving(const core::batches::job& job)
    {
        auto end = host::boot_now() + step_limit;
        int status = this->submit(job);
        while (status == 421 && host::boot_now() < end)
            status = this->submit(job);
        return status;
    }

    boost::asio::io_context loop;
    http::async_client client{this->loop};
    metrics::recorder metrics;
    tests::placement_store store;
    tests::data_folder folder;
    batches::disk_log disk{this->loop, this->folder.path()};
    host::host_runtime runtime;
    batches::batch_service service;
};

} // namespace

// A job was accepted on a route that its owner didn't know, so that neither the
// route's limit nor its end could be told.
TEST_CASE_METHOD(job_host,
                 "job of a route that its owner hasn't read, is taken once the "
                 "owner has, within the route's limit")
{
    this->apply(1, {limited_route("/old", 0)});
    REQUIRE(this->submit_once_serving(job_of("first", "/old", 1)) == 202);
    CHECK(this->submit(job_of("second", "/new", 2)) == 421);
    this->apply(2, {limited_route("/old", 0), limited_route("/new", 100)});
    CHECK(this->submit(job_of("second", "/new", 2)) == 202);
    CHECK(this->submit(job_of("third", "/new", 2)) == 429);
    CHECK(this->submit(job_of("second", "/new", 2)) == 202);
}

// The entry still had the route, and the job would have been given up at once.
TEST_CASE_METHOD(job_host,
                 "job of a route that has ended by the owner's configuration, "
                 "is refused as not taken")
{
    this->apply(3, {limited_route("/old", 0)});
    REQUIRE(this->submit_once_serving(job_of("first", "/old", 3)) == 202);
    CHECK(this->submit(job_of("second", "/new", 2)) == 503);
}

// Jobs on disks and calls of the release before name no configuration.
TEST_CASE("job of the release before, unpacked, names no configuration")
{
    auto bytes = batches::pack(job_of("job", "/path", 0));
    // The release before wrote an array of one field less.
    constexpr char array_of_five = '\x95';
    bytes.front() = array_of_five;
    bytes.pop_back();
    auto read = batches::unpack_job(bytes);
    REQUIRE(read);
    CHECK(read->id == "job");
    CHECK(read->items.size() == 1);
    CHECK(read->configuration_version == 0);
    auto newer = batches::unpack_job(batches::pack(job_of("job", "/path", 7)));
    REQUIRE(newer);
    CHECK(newer->configuration_version == 7);
}
