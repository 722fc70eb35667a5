#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "http/async_server.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;
using exchange_ptr = std::shared_ptr<http::server_exchange>;

namespace
{

/// @brief All that a caller has received, and how its connection stands.
struct received
{
    bool closed() const { return this->end == boost::asio::error::eof; }
    bool reset() const
    {
        return this->end == boost::asio::error::connection_reset;
    }
    bool has(const std::string& part) const
    {
        return this->text.find(part) != this->text.npos;
    }
    std::string body() const
    {
        return this->text.substr(this->text.find("\r\n\r\n") + 4);
    }

    std::string text;
    boost::system::error_code end;
};

/// @brief A server, with callers that send bytes as they like.
struct raw_callers
{
    raw_callers() : caller(this->client_loop)
    {
        tcp::acceptor probe(
            this->loop,
            tcp::endpoint(boost::asio::ip::make_address_v4("127.0.0.1"), 0));
        auto endpoint = probe.local_endpoint();
        probe.close();
        this->server = std::make_unique<http::async_server>(
            this->loop, "127.0.0.1:" + std::to_string(endpoint.port()),
            [] { return http::server_limits(); },
            [this](const exchange_ptr& exchange)
            {
                this->handled++;
                this->handle(exchange);
            });
        this->caller.connect(endpoint);
        this->caller.non_blocking(true);
    }

    void run(std::chrono::milliseconds time)
    {
        this->loop.restart();
        this->loop.run_for(time);
    }

    void send(const std::string& text)
    {
        boost::system::error_code ignored;
        boost::asio::write(this->caller, boost::asio::buffer(text), ignored);
        this->run(50ms);
    }

    received receive()
    {
        this->run(50ms);
        received out;
        std::string block(1u << 16, '\0');
        for (;;)
        {
            auto count =
                this->caller.read_some(boost::asio::buffer(block), out.end);
            if (out.end)
                return out;
            out.text.append(block, 0, count);
        }
    }

    received ask(const std::string& text)
    {
        this->send(text);
        return this->receive();
    }

    boost::asio::io_context loop;
    boost::asio::io_context client_loop;
    tcp::socket caller;
    std::unique_ptr<http::async_server> server;
    std::function<void(const exchange_ptr&)> handle =
        [](const exchange_ptr& exchange)
    { exchange->respond(200, {}, "done"); };
    int handled = 0;
};

void stream(const exchange_ptr& exchange)
{
    exchange->begin(200, {});
    exchange->write("one");
    exchange->write("two");
    exchange->finish();
}

} // namespace

TEST_CASE_METHOD(raw_callers,
                 "HTTP/1.0 caller, streamed response, gets its bytes without "
                 "chunks and the end of the connection")
{
    this->handle = stream;
    auto asked = GENERATE("GET /x HTTP/1.0\r\n\r\n",
                          "GET /x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
                          "GET /x HTTP/1.0\r\nTE: chunked\r\nHost: h\r\n\r\n");
    INFO(asked);
    auto got = this->ask(asked);
    CHECK(got.text.starts_with("HTTP/1.1 200"));
    CHECK_FALSE(got.has("Transfer-Encoding"));
    CHECK_FALSE(got.has("keep-alive"));
    CHECK(got.has("Connection: close\r\n"));
    CHECK(got.body() == "onetwo");
    CHECK(got.closed());
}

TEST_CASE_METHOD(raw_callers, "HTTP/1.1 caller, streamed response, gets chunks "
                              "and keeps its connection")
{
    this->handle = stream;
    for (int at = 0; at < 2; at++)
    {
        auto got = this->ask("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK(got.has("Transfer-Encoding: chunked\r\n"));
        CHECK_FALSE(got.has("Connection:"));
        CHECK(got.body() == "3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n");
        CHECK(got.end == boost::asio::error::would_block);
    }
}

TEST_CASE_METHOD(raw_callers, "HTTP/1.0 caller, streamed response breaks off, "
                              "gets a reset and no end")
{
    exchange_ptr open;
    this->handle = [&](const exchange_ptr& exchange)
    {
        exchange->begin(200, {});
        exchange->write("one");
        open = exchange;
    };
    auto got = this->ask("GET /x HTTP/1.0\r\n\r\n");
    CHECK(got.body() == "one");
    CHECK(got.end == boost::asio::error::would_block);
    auto breaks_off = GENERATE(
        as<std::function<void(raw_callers&)>>(), [](raw_callers&) {},
        [](raw_callers& each) { each.server->end_requests(); });
    breaks_off(*this);
    open->abort();
    CHECK(this->receive().reset());
}

TEST_CASE_METHOD(raw_callers,
                 "HTTP/1.0 caller that reads too slowly, streamed response "
                 "given up, gets a reset and no end")
{
    this->handle = [](const exchange_ptr& exchange)
    {
        exchange->begin(200, {});
        for (int at = 0; at < 40; at++)
            exchange->write(std::string(1u << 20, 'x'));
    };
    auto got = this->ask("GET /x HTTP/1.0\r\n\r\n");
    CHECK(got.reset());
}

TEST_CASE_METHOD(raw_callers,
                 "HTTP/1.0 caller, response with a length, is told whether the "
                 "connection stays")
{
    std::string head = "GET /x HTTP/1.0\r\nHost: h\r\n";
    auto kept = this->ask(head + "Connection: Keep-Alive\r\n\r\n");
    CHECK(kept.has("Content-Length: 4\r\n"));
    CHECK(kept.has("Connection: keep-alive\r\n"));
    CHECK(kept.body() == "done");
    CHECK(kept.end == boost::asio::error::would_block);
    auto last = this->ask(head + "\r\n");
    CHECK(last.has("Connection: close\r\n"));
    CHECK(last.body() == "done");
    CHECK(last.closed());
    CHECK(this->handled == 2);
}

TEST_CASE_METHOD(raw_callers,
                 "HTTP/1.0 caller that expects 100, gets its response only")
{
    auto got = this->ask("POST /x HTTP/1.0\r\nExpect: 100-continue\r\n"
                         "Content-Length: 2\r\n\r\n");
    CHECK(got.text.empty());
    got = this->ask("ok");
    CHECK(got.text.starts_with("HTTP/1.1 200"));
    CHECK(this->handled == 1);
}

TEST_CASE_METHOD(raw_callers, "HTTP/1.1 caller that expects 100, gets it")
{
    auto got = this->ask("POST /x HTTP/1.1\r\nHost: h\r\n"
                         "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    CHECK(got.text == "HTTP/1.1 100 Continue\r\n\r\n");
    CHECK(this->ask("ok").text.starts_with("HTTP/1.1 200"));
}

// The body was run as a request of its own, and the caller got its answer.
TEST_CASE_METHOD(raw_callers,
                 "HTTP/1.1 caller that expects 100 on a kept connection, its "
                 "body isn't taken for a request")
{
    std::vector<std::string> seen;
    this->handle = [&](const exchange_ptr& exchange)
    {
        const auto& request = exchange->received_request();
        seen.push_back(request.path + " " + request.body);
        exchange->respond(200, {}, "done");
    };
    const std::string quoted = "GET /quoted HTTP/1.1\r\nHost: h\r\n\r\n";
    REQUIRE(this->ask("GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
                .text.starts_with("HTTP/1.1 200"));
    auto got = this->ask("POST /second HTTP/1.1\r\nHost: h\r\n"
                         "Expect: 100-continue\r\nContent-Length: " +
                         std::to_string(quoted.size()) + "\r\n\r\n");
    CHECK(got.text == "HTTP/1.1 100 Continue\r\n\r\n");
    CHECK(this->ask(quoted).text.starts_with("HTTP/1.1 200"));
    CHECK(seen == std::vector<std::string>{"/first ", "/second " + quoted});
}

TEST_CASE_METHOD(raw_callers,
                 "HEAD request, has no body, and the next response "
                 "of its connection is in its place")
{
    auto streams = GENERATE(false, true);
    INFO("streams: " << streams);
    if (streams)
        this->handle = stream;
    auto got = this->ask("HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(got.text.starts_with("HTTP/1.1 200"));
    CHECK(got.body().empty());
    CHECK(got.end == boost::asio::error::would_block);
    auto next = this->ask("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(next.text.starts_with("HTTP/1.1 200"));
    CHECK_FALSE(next.body().empty());
}

TEST_CASE_METHOD(
    raw_callers,
    "HEAD request, response without a body of its own, doesn't say "
    "that the resource is empty")
{
    this->handle = [](const exchange_ptr& exchange)
    { exchange->respond(200, {}, ""); };
    auto got = this->ask("HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK_FALSE(got.has("Content-Length"));
    CHECK(got.body().empty());
}

TEST_CASE_METHOD(raw_callers,
                 "status without a body, has neither body nor framing")
{
    auto status = GENERATE(204, 304);
    auto streams = GENERATE(false, true);
    INFO(status << " streams: " << streams);
    this->handle = [&](const exchange_ptr& exchange)
    {
        if (!streams)
            return exchange->respond(status, {}, "surplus");
        exchange->begin(status, {});
        exchange->write("surplus");
        exchange->finish();
    };
    for (int at = 0; at < 2; at++)
    {
        auto got = this->ask("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK(got.text.starts_with("HTTP/1.1 " + std::to_string(status)));
        CHECK_FALSE(got.has("Content-Length"));
        CHECK_FALSE(got.has("Transfer-Encoding"));
        CHECK(got.body().empty());
        CHECK(got.end == boost::asio::error::would_block);
    }
}

TEST_CASE_METHOD(raw_callers,
                 "streamed response, answered once more, breaks off and has no "
                 "second head in it")
{
    this->handle = [](const exchange_ptr& exchange)
    {
        exchange->begin(200, {});
        exchange->write("one");
        exchange->respond(503, {}, "not run");
    };
    auto got = this->ask("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(got.body() == "3\r\none\r\n");
    CHECK(got.closed());
}
