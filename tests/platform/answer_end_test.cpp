#include <catch2/catch.hpp>

#include <chrono>

#include "platform_fleet.hpp"
#include "raw_server.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;

namespace
{

/// @brief One entry before a worker that gives the same bytes to each request.
struct raw_answers
{
    raw_answers() : fleet(1, 0, 1)
    {
        this->fleet.start();
        this->fleet.drop_worker(0);
    }

    http::reply call(const std::string& answer)
    {
        tests::raw_server worker(answer);
        nlohmann::json entry = {
            {"service", "pool"}, {"address", worker.address()},
            {"zone", "zone-a"},  {"slots", 4},
            {"state", "ready"},  {"sequence", 1}};
        fleet::admin(this->fleet.store,
                     {{"set", {{"servers/i-raw", entry.dump()}}}});
        http::reply reply;
        REQUIRE(fleet::eventually(
            [&]
            {
                reply = this->fleet.call(0, "POST", "/once/x", "r1", "");
                return worker.served() > 0;
            },
            5s));
        return reply;
    }

    tests::platform_fleet fleet;
};

} // namespace

TEST_CASE_METHOD(raw_answers,
                 "stream in another transfer coding than chunks, closed before "
                 "its first event, is not given as complete")
{
    auto reply = this->call("HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
                            "Content-Type: text/event-stream\r\n"
                            "Transfer-Encoding: identity\r\n"
                            "Connection: close\r\n\r\n");
    CHECK(reply.status == 502);
}

TEST_CASE_METHOD(raw_answers,
                 "answer without a body, closed behind its head, passes "
                 "unchanged")
{
    auto reply = this->call("HTTP/1.1 204 No Content\r\n"
                            "Response-Signature: s\r\n"
                            "Connection: close\r\n\r\n");
    CHECK(reply.status == 204);
}

TEST_CASE_METHOD(raw_answers,
                 "stream that says it wasn't run, given on in part, has no "
                 "second answer in it")
{
    const std::string event = "id: 1\ndata: x\n\n";
    auto reply = this->call("HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
                            "Content-Type: text/event-stream\r\n"
                            "Not-Executed: 1\r\nContent-Length: " +
                            std::to_string(event.size()) + "\r\n\r\n" + event);
    CHECK(reply.reached == http::progress::answered);
    CHECK(reply.status == 200);
    CHECK(reply.body == event);
}
