#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

#include "platform_fleet.hpp"

using namespace amaranthhatch;
using nlohmann::json;

namespace
{

/// @brief One entry and three workers that break off their first streams.
struct broken_streams
{
    broken_streams() : fleet(1, 0, 3)
    {
        this->fleet.start();
        for (const auto& worker : this->fleet.workers)
            fleet::admin(worker, {{"cut", 1}});
    }

    int runs(const std::string& id) const
    {
        int total = 0;
        for (const auto& worker : this->fleet.workers)
            total += fleet::counters(worker).at("runs").value(id, 0);
        return total;
    }

    tests::platform_fleet fleet;
};

} // namespace

TEST_CASE_METHOD(broken_streams,
                 "stream broken off, resumed by runs that answer errors, is "
                 "not given as complete")
{
    constexpr int most_runs = 3;
    int status = GENERATE(500, 504, 422, 404, 302, 204);
    INFO(status);
    for (const auto& worker : this->fleet.workers)
        fleet::admin(worker,
                     {{"resume_errors", most_runs}, {"resume_status", status}});
    auto reply = this->fleet.call(0, "POST", "/again/x", "r1", "b");
    CHECK(reply.reached == http::progress::unknown);
    CHECK(reply.status == 200);
    CHECK_FALSE(reply.body.empty());
    CHECK(tests::platform_fleet::stream_text("r1").starts_with(reply.body));
    CHECK(this->runs("r1") == most_runs);
}

TEST_CASE_METHOD(broken_streams,
                 "stream broken off, resumed by a run that answers an error, "
                 "goes on at another worker")
{
    constexpr int most_requests = 30;
    int status = GENERATE(500, 504, 422, 404, 302, 204);
    INFO(status);
    // Its entry may still be listed for a moment.
    this->fleet.drop_worker(2);
    fleet::admin(this->fleet.workers[2], {{"cut", 0}});
    // Not a first run, so that its error comes behind a stream that broke off.
    const auto& erring = this->fleet.workers[0];
    fleet::admin(erring, {{"cut", 0},
                          {"resumes_only", true},
                          {"resume_errors", 1},
                          {"resume_status", status}});
    auto errors_left = [&]
    { return fleet::counters(erring).at("resume_errors").get<int>(); };
    for (int at = 0; at < most_requests && errors_left() > 0; at++)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        fleet::admin(this->fleet.workers[1], {{"cut", 1}});
        auto id = "r" + std::to_string(at);
        auto reply = this->fleet.call(0, "POST", "/again/x", id, "b");
        // Both workers are avoided for a short time after they failed.
        if (reply.status == 503)
            continue;
        CHECK(reply.status == 200);
        CHECK(reply.body == tests::platform_fleet::stream_text(id));
    }
    CHECK(errors_left() == 0);
}
