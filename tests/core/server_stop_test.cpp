#include <catch2/catch.hpp>

#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "core/limits/stopping_host.hpp"
#include "host/graceful_stop.hpp"
#include "http/async_server.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

namespace
{

const std::string whole_request =
    "GET /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

/// @brief A server whose loop runs only when the test says so, as under load.
struct stopping_server
{
    stopping_server()
    {
        tcp::acceptor probe(
            this->loop,
            tcp::endpoint(boost::asio::ip::make_address_v4("127.0.0.1"), 0));
        this->endpoint = probe.local_endpoint();
        probe.close();
        this->server = std::make_unique<http::async_server>(
            this->loop, "127.0.0.1:" + std::to_string(this->endpoint.port()),
            [] { return http::server_limits(); },
            [this](const std::shared_ptr<http::server_exchange>& exchange)
            {
                this->handled++;
                exchange->respond(200, {}, "done");
            });
    }

    tcp::socket connect()
    {
        tcp::socket socket(this->client_loop);
        socket.connect(this->endpoint);
        return socket;
    }

    static void write(tcp::socket& socket, const std::string& text)
    {
        boost::asio::write(socket, boost::asio::buffer(text));
    }

    void run(std::chrono::milliseconds time)
    {
        this->loop.restart();
        this->loop.run_for(time);
    }

    void stop()
    {
        this->server->close_after_responses();
        this->server->stop_listening();
    }

    /// @brief All that the peer has sent, after the loop has run for a while.
    std::string answer(tcp::socket& socket)
    {
        this->run(100ms);
        std::string text(4096, '\0');
        boost::system::error_code error;
        socket.non_blocking(true);
        auto count = socket.read_some(boost::asio::buffer(text), error);
        return text.substr(0, error ? 0 : count);
    }

    boost::asio::io_context loop;
    boost::asio::io_context client_loop;
    tcp::endpoint endpoint;
    std::unique_ptr<http::async_server> server;
    int handled = 0;
};

bool answered(const std::string& text)
{
    return text.starts_with("HTTP/1.1 200") &&
           text.find("Connection: close") != text.npos &&
           text.ends_with("done");
}

} // namespace

TEST_CASE_METHOD(stopping_server,
                 "server, stopped with a request in its queue of connections, "
                 "answers it")
{
    auto first = this->connect();
    auto second = this->connect();
    this->write(first, whole_request);
    this->write(second, whole_request);
    this->stop();
    CHECK(answered(this->answer(first)));
    CHECK(answered(this->answer(second)));
    CHECK(this->handled == 2);
}

TEST_CASE_METHOD(stopping_server,
                 "server, stopped with an unread request on a kept connection, "
                 "answers it")
{
    auto kept = this->connect();
    this->write(kept, whole_request);
    CHECK(this->answer(kept).starts_with("HTTP/1.1 200"));
    this->write(kept, whole_request);
    this->stop();
    CHECK(this->server->busy());
    CHECK(answered(this->answer(kept)));
    CHECK(this->handled == 2);
    CHECK_FALSE(this->server->busy());
}

TEST_CASE_METHOD(stopping_server,
                 "server, stopped while a request arrives, waits for the rest")
{
    auto slow = this->connect();
    this->write(slow, whole_request.substr(0, 20));
    this->run(50ms);
    this->stop();
    CHECK(this->server->busy());
    this->run(50ms);
    this->write(slow, whole_request.substr(20));
    CHECK(answered(this->answer(slow)));
    CHECK_FALSE(this->server->busy());
}

TEST_CASE_METHOD(stopping_server, "server, stopped, closes idle connections")
{
    auto kept = this->connect();
    this->write(kept, whole_request);
    CHECK(this->answer(kept).starts_with("HTTP/1.1 200"));
    this->stop();
    this->run(50ms);
    CHECK_FALSE(this->server->busy());
    char byte = 0;
    boost::system::error_code error;
    kept.read_some(boost::asio::buffer(&byte, 1), error);
    CHECK(error == boost::asio::error::eof);
}

namespace
{

/// @brief A host that is told to stop, whose endpoint takes longer than its
/// loop goes on once nothing is awaited.
struct stopping_host : stopping_server
{
    stopping_host() : endpoint_answers(this->loop), arrives(this->loop)
    {
        this->server.reset();
        this->server = std::make_unique<http::async_server>(
            this->loop, "127.0.0.1:" + std::to_string(this->endpoint.port()),
            [] { return http::server_limits(); },
            [this](const std::shared_ptr<http::server_exchange>& exchange)
            {
                this->handled++;
                this->endpoint_answers.expires_after(200ms);
                this->endpoint_answers.async_wait(
                    [exchange](boost::system::error_code)
                    { exchange->respond(200, {}, "done"); });
            });
        this->settings.grace = 2000ms;
    }

    /// @brief Stops the host; the text arrives some time after the signal.
    std::string stop_while(tcp::socket& socket, const std::string& text,
                           std::chrono::milliseconds after)
    {
        host::graceful_stop stop(this->loop, this->settings, 0ms,
                                 {[this]
                                  { this->server->close_after_responses(); },
                                  [this] { this->server->stop_listening(); },
                                  [this] { return !this->server->busy(); },
                                  {},
                                  {}});
        this->arrives.expires_after(after);
        this->arrives.async_wait(
            [&](boost::system::error_code error)
            {
                boost::system::error_code ignored;
                if (!error)
                    boost::asio::write(socket, boost::asio::buffer(text),
                                       ignored);
            });
        std::raise(SIGTERM);
        this->run(3000ms);
        this->arrives.cancel();
        std::string answer(4096, '\0');
        boost::system::error_code error;
        socket.non_blocking(true);
        auto count = socket.read_some(boost::asio::buffer(answer), error);
        return answer.substr(0, error ? 0 : count);
    }

    host::host_settings settings;
    boost::asio::steady_timer endpoint_answers;
    boost::asio::steady_timer arrives;
};

} // namespace

TEST_CASE_METHOD(stopping_host,
                 "host, told to stop while a request arrives, ends after its "
                 "answer")
{
    auto slow = this->connect();
    this->write(slow, whole_request.substr(0, 20));
    this->run(50ms);
    auto answer = this->stop_while(slow, whole_request.substr(20), 20ms);
    CHECK(this->handled == 1);
    CHECK(answered(answer));
}

// A request that comes on a connection that was silent so far, once the host
// has found nothing to wait for, may be turned away but not taken and cut.
TEST_CASE_METHOD(stopping_host,
                 "host, told to stop, a request comes as it ends, answers what "
                 "it takes")
{
    auto silent = this->connect();
    this->run(120ms);
    auto answer = this->stop_while(silent, whole_request, 225ms);
    CHECK((this->handled == 0 || answered(answer)));
}

namespace
{

/// @brief A host that is told to stop while its endpoint takes longer than the
/// grace period.
struct overdue_host : stopping_server
{
    overdue_host()
    {
        this->server.reset();
        this->server = std::make_unique<http::async_server>(
            this->loop, "127.0.0.1:" + std::to_string(this->endpoint.port()),
            [] { return http::server_limits(); },
            [this](const std::shared_ptr<http::server_exchange>& exchange)
            {
                this->handled++;
                this->open.push_back(exchange);
                if (this->on_request)
                    this->on_request(exchange);
            });
        this->settings.grace = 500ms;
    }

    /// @brief Stops the host and returns what the caller got until its process
    /// ended.
    std::string stop_and_read(tcp::socket& socket)
    {
        host::graceful_stop stop(this->loop, this->settings, 0ms,
                                 {[this]
                                  { this->server->close_after_responses(); },
                                  [this] { this->server->stop_listening(); },
                                  [this] { return !this->server->busy(); },
                                  [this] { this->server->end_requests(); },
                                  {}});
        std::raise(SIGTERM);
        this->run(3000ms);
        return this->received(socket);
    }

    static std::string received(tcp::socket& socket)
    {
        std::string text(4096, '\0');
        boost::system::error_code error;
        socket.non_blocking(true);
        auto count = socket.read_some(boost::asio::buffer(text), error);
        return text.substr(0, error ? 0 : count);
    }

    host::host_settings settings;
    std::function<void(const std::shared_ptr<http::server_exchange>&)>
        on_request;
    std::vector<std::shared_ptr<http::server_exchange>> open;
};

} // namespace

TEST_CASE_METHOD(overdue_host,
                 "host, request open when the grace time is used up, answers "
                 "that it may have run")
{
    auto caller = this->connect();
    this->write(caller, whole_request);
    this->run(50ms);
    REQUIRE(this->handled == 1);
    auto answer = this->stop_and_read(caller);
    CHECK(answer.starts_with("HTTP/1.1 504"));
    CHECK(answer.find("Connection: close") != answer.npos);
    CHECK(answer.ends_with("may have run: stopping\n"));
    // The endpoint's answer comes too late and is dropped.
    this->open.front()->respond(200, {}, "late");
    this->run(20ms);
    CHECK(this->received(caller).empty());
}

TEST_CASE_METHOD(overdue_host,
                 "host, request that wasn't run when the grace time is used "
                 "up, is ended by its handler")
{
    this->on_request = [](const std::shared_ptr<http::server_exchange>& each)
    { each->on_stop([each] { each->respond(503, {}, "not run"); }); };
    auto caller = this->connect();
    this->write(caller, whole_request);
    this->run(50ms);
    auto answer = this->stop_and_read(caller);
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.ends_with("not run"));
}

TEST_CASE_METHOD(overdue_host,
                 "host, response begun when the grace time is used up, isn't "
                 "ended as complete")
{
    this->on_request = [](const std::shared_ptr<http::server_exchange>& each)
    {
        each->begin(200, {});
        each->write("piece");
    };
    auto caller = this->connect();
    this->write(caller, whole_request);
    this->run(50ms);
    auto answer = this->stop_and_read(caller);
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.ends_with("piece\r\n"));
    char byte = 0;
    boost::system::error_code error;
    caller.read_some(boost::asio::buffer(&byte, 1), error);
    CHECK(error == boost::asio::error::eof);
}

TEST_CASE_METHOD(overdue_host,
                 "host, request whole after the others were ended, is refused "
                 "and not handled")
{
    auto caller = this->connect();
    this->write(caller, whole_request.substr(0, 20));
    this->run(50ms);
    this->server->end_requests();
    this->write(caller, whole_request.substr(20));
    auto answer = this->answer(caller);
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Retry-After: ") != answer.npos);
    CHECK(this->handled == 0);
}

// Requests taken late in a planned stop were passed on and cut at its end.
TEST_CASE("request of a stopping host, could be cut before its end, isn't "
          "taken")
{
    using core::limits::ends_before_stop;
    struct row
    {
        std::chrono::milliseconds until_stop, until_deadline, mean;
        bool repeatable, taken;
    };
    const row rows[] = {
        {7000ms, 5000ms, 700ms, false, true},
        {3000ms, 5000ms, 700ms, false, true},
        {2500ms, 5000ms, 700ms, false, false},
        {2500ms, 5000ms, 700ms, true, true},
        {1000ms, 5000ms, 700ms, true, false},
        // Its deadline comes first.
        {1000ms, 900ms, 700ms, false, true},
        {0ms, 900ms, 700ms, true, false},
        {-100ms, 900ms, 0ms, true, false},
    };
    for (const auto& each : rows)
    {
        CAPTURE(each.until_stop.count(), each.mean.count(), each.repeatable);
        CHECK(
            ends_before_stop({each.until_stop, each.until_deadline, each.mean},
                             each.repeatable) == each.taken);
    }
}
