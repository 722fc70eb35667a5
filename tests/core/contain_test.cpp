#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <stdexcept>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "control/control_loop.hpp"
#include "control/worker_pool.hpp"
#include "errors/contain.hpp"
#include "http/async_server.hpp"
#include "http/client.hpp"
#include "http/server.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

namespace
{

std::string free_address()
{
    boost::asio::io_context loop;
    tcp::acceptor probe(
        loop, tcp::endpoint(boost::asio::ip::make_address_v4("127.0.0.1"), 0));
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

http::reply get(const std::string& address, const std::string& path)
{
    http::call asked;
    asked.url = "http://" + address + path;
    asked.total_limit = 3s;
    return http::perform(asked);
}

bool eventually(const std::atomic<int>& count, int wanted)
{
    for (int step = 0; step < 200 && count < wanted; step++)
        std::this_thread::sleep_for(10ms);
    return count >= wanted;
}

} // namespace

TEST_CASE("control loop, work that throws, goes on with the next")
{
    control::control_loop loop;
    std::atomic<int> done{0};
    loop.run_every(20ms,
                   [&]
                   {
                       done++;
                       throw std::runtime_error("timer");
                   });
    loop.start();
    auto before = errors::unexpected_count();
    loop.post([] { throw std::runtime_error("work"); });
    loop.post([&] { done++; });
    CHECK(eventually(done, 4));
    CHECK(errors::unexpected_count() > before);
}

TEST_CASE("worker pool, work that throws, goes on with the next")
{
    control::worker_pool pool(1, 8);
    std::atomic<int> done{0};
    pool.post([] { throw 7; });
    pool.post([&] { done++; });
    CHECK(eventually(done, 1));
}

TEST_CASE("server on one loop, handler that throws, answers 500 and serves on")
{
    auto address = free_address();
    boost::asio::io_context loop;
    http::async_server server(
        loop, address, [] { return http::server_limits(); },
        [](const std::shared_ptr<http::server_exchange>& exchange)
        {
            const auto& path = exchange->received_request().path;
            if (path == "/midway")
                exchange->begin(200, {});
            if (path != "/good")
                throw std::runtime_error("handler");
            exchange->respond(200, {}, "good");
        });
    std::thread running([&] { loop.run(); });
    CHECK(get(address, "/bad").status == 500);
    // A response that has begun is cut, so that it doesn't look complete.
    CHECK(get(address, "/midway").reached == http::progress::unknown);
    CHECK(get(address, "/good").body == "good");
    loop.stop();
    running.join();
}

TEST_CASE("server with threads, handler that throws, answers 500 and serves on")
{
    auto address = free_address();
    http::server server({address},
                        [](const http::request& received)
                        {
                            if (received.path != "/good")
                                throw std::runtime_error("handler");
                            http::response out;
                            out.body = "good";
                            return out;
                        });
    CHECK(get(address, "/bad").status == 500);
    CHECK(get(address, "/good").body == "good");
}
