#include <catch2/catch.hpp>

#include <array>

#include "platform_fleet.hpp"

using namespace amaranthhatch;
using nlohmann::json;

namespace
{

/// @brief One entry and three workers that break off their first streams.
struct broken_streams
{
    broken_streams() : fleet(1, 0, 3) { this->fleet.start(); }

    /// @brief Sends a resumable request whose first run breaks off. Each worker
    /// gives a number of whole answers to requests that resume it.
    http::reply call(const std::string& id, int status, int errors)
    {
        for (const auto& worker : this->fleet.workers)
            fleet::admin(worker, {{"cut", 1},
                                  {"resume_errors", errors},
                                  {"resume_status", status}});
        return this->fleet.call(0, "POST", "/again/x", id, "b");
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

// The attempts of the route.
constexpr int most_runs = 3;
// Statuses that a worker may give to a request that resumes a stream.
constexpr std::array statuses{500, 504, 422, 404, 302, 204};

} // namespace

TEST_CASE_METHOD(broken_streams,
                 "stream broken off, resumed by runs that answer errors, is "
                 "not given as complete")
{
    for (int status : statuses)
    {
        INFO(status);
        auto id = "s" + std::to_string(status);
        auto reply = this->call(id, status, most_runs);
        CHECK(reply.reached == http::progress::unknown);
        CHECK(reply.status == 200);
        CHECK(this->runs(id) <= most_runs);
    }
}

TEST_CASE_METHOD(broken_streams,
                 "stream broken off, resumed by a run that answers an error, "
                 "goes on at another worker")
{
    for (int status : statuses)
    {
        auto id = "t" + std::to_string(status);
        for (const auto& worker : this->fleet.workers)
            fleet::admin(worker, {{"cut", 1}, {"resume_errors", 0}});
        fleet::admin(this->fleet.workers[status % this->fleet.workers.size()],
                     {{"resume_errors", 1}, {"resume_status", status}});
        auto reply = this->fleet.call(0, "POST", "/again/x", id, "b");
        INFO(status);
        CHECK(reply.status == 200);
        CHECK(reply.body == tests::platform_fleet::stream_text(id));
    }
}
