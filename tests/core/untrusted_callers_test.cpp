#include <catch2/catch.hpp>

#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "http/async_server.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

namespace
{

/// @brief A server with small limits and callers on the same loop.
struct bounded_server
{
    bounded_server()
    {
        tcp::acceptor probe(
            this->loop,
            tcp::endpoint(boost::asio::ip::make_address_v4("127.0.0.1"), 0));
        this->endpoint = probe.local_endpoint();
        probe.close();
        http::server_bounds bounds;
        bounds.requests = this->budget;
        bounds.connections = 4;
        bounds.refused = [this](std::string_view reason, std::string_view)
        { this->reasons.emplace_back(reason); };
        this->server = std::make_unique<http::async_server>(
            this->loop, "127.0.0.1:" + std::to_string(this->endpoint.port()),
            [] {
                return http::server_limits{1024, 8u << 20, 300ms, 300ms};
            },
            [](const std::shared_ptr<http::server_exchange>& exchange)
            { exchange->respond(200, {}, "done"); },
            nullptr, bounds);
    }

    void run_for(std::chrono::milliseconds time)
    {
        this->loop.restart();
        this->loop.run_for(time);
    }

    tcp::socket connect()
    {
        tcp::socket socket(this->client_loop);
        socket.connect(this->endpoint);
        socket.non_blocking(true);
        return socket;
    }

    /// @brief Writes while the server reads; the bytes that were accepted.
    std::size_t write(tcp::socket& socket, std::string_view text)
    {
        std::size_t sent = 0;
        for (int idle = 0; sent < text.size() && idle < 50;)
        {
            boost::system::error_code error;
            auto count = socket.write_some(
                boost::asio::buffer(text.substr(sent)), error);
            sent += count;
            idle = count > 0 ? 0 : idle + 1;
            if (error && error != boost::asio::error::would_block)
                break;
            this->run_for(1ms);
        }
        return sent;
    }

    /// @brief Reads to the end of the connection, or for the time.
    std::string read(tcp::socket& socket, std::chrono::milliseconds time)
    {
        std::string received;
        auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end)
        {
            this->run_for(2ms);
            char block[4096];
            boost::system::error_code error;
            auto count = socket.read_some(boost::asio::buffer(block), error);
            if (!error)
                received.append(block, count);
            else if (error != boost::asio::error::would_block)
                break;
        }
        return received;
    }

    bool serves_a_request()
    {
        auto socket = this->connect();
        this->write(socket, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close"
                            "\r\nContent-Length: 2\r\n\r\nab");
        return this->read(socket, 1s).starts_with("HTTP/1.1 200");
    }

    boost::asio::io_context loop;
    boost::asio::io_context client_loop;
    tcp::endpoint endpoint;
    std::shared_ptr<http::request_budget> budget =
        std::make_shared<http::request_budget>(1u << 20);
    std::vector<std::string> reasons;
    std::unique_ptr<http::async_server> server;
};

const std::string post = "POST /x HTTP/1.1\r\nHost: h\r\n";
const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";

/// @brief Requests with faults of framing and size, made from a seed.
std::string hostile_text(std::mt19937& random)
{
    static const std::vector<std::string> parts = {
        post,
        chunked,
        "GET / HTTP/1.1\r\n",
        "GET / HTTP/1.0\r\n\r\n",
        "Content-Length: 5\r\n",
        "Content-Length: -1\r\n",
        "Content-Length: 99999999999999999999\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Expect: 100-continue\r\n",
        "Connection: keep-alive\r\n",
        "\r\n",
        "\n",
        "\r",
        ":",
        "0\r\n",
        "0\r\n\r\n",
        "5\r\nhello\r\n",
        "5;x=y\r\nhello\r\n",
        "fffffffffffffffff",
        "800001\r\n",
        "-1\r\n",
        "X: y\r\n",
        std::string(600, 'x'),
        std::string(3, '\0'),
        "\xff\xfe",
        " ",
        "\t"};
    std::string out = random() % 4 > 0 ? parts[random() % 2] : "";
    for (auto left = random() % 12; left > 0; left--)
        out += parts[random() % parts.size()];
    if (!out.empty() && random() % 3 == 0)
        out[random() % out.size()] = static_cast<char>(random());
    return out;
}

} // namespace

// A close with unread bytes resets the connection, and the caller never reads
// why it was refused.
TEST_CASE_METHOD(bounded_server,
                 "server, body over the limit is sent on, the caller reads 413")
{
    auto socket = this->connect();
    this->write(socket, post + "Content-Length: 9000000\r\n\r\n");
    this->write(socket, std::string(9'000'000, 'x'));
    CHECK(this->read(socket, 1s).starts_with("HTTP/1.1 413"));
    CHECK(this->reasons == std::vector<std::string>{"body"});
    CHECK(this->budget->held_bytes() == 0);
}

TEST_CASE_METHOD(bounded_server,
                 "server, trailers without end, are refused at the limit")
{
    auto socket = this->connect();
    this->write(socket, chunked + "5\r\nhello\r\n0\r\n");
    this->write(socket, std::string(100'000, 'x'));
    CHECK(this->read(socket, 1s).starts_with("HTTP/1.1 431"));
    CHECK(this->budget->held_bytes() == 0);
}

TEST_CASE_METHOD(bounded_server,
                 "server, body stops short of its end, gets 408")
{
    auto socket = this->connect();
    this->write(socket, post + "Content-Length: 5\r\n\r\nhell");
    CHECK(this->read(socket, 1500ms).starts_with("HTTP/1.1 408"));
    CHECK(this->reasons == std::vector<std::string>{"body_time"});
}

// A caller that opens connections without end shuts out all others.
TEST_CASE_METHOD(bounded_server,
                 "server, more connections than allowed, closes idle ones")
{
    std::vector<tcp::socket> open;
    for (int at = 0; at < 20; at++)
    {
        open.push_back(this->connect());
        this->run_for(5ms);
    }
    CHECK(this->server->connections() <= 4);
    CHECK(this->serves_a_request());
}

TEST_CASE_METHOD(bounded_server,
                 "server, hostile bytes of many seeds, answers a request "
                 "after them and holds no memory")
{
    for (unsigned seed = 0; seed < 300; seed++)
    {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        auto text = hostile_text(random);
        {
            auto socket = this->connect();
            auto cut = text.empty() ? 0 : random() % text.size();
            this->write(socket, std::string_view(text).substr(0, cut));
            this->write(socket, std::string_view(text).substr(cut));
        }
        if (seed % 20 == 0)
            REQUIRE(this->serves_a_request());
    }
    this->run_for(700ms);
    CHECK(this->budget->held_bytes() == 0);
    CHECK(this->serves_a_request());
}

// The parser sees each beginning of a head, a chunk and the trailers.
TEST_CASE_METHOD(bounded_server,
                 "server, chunked request split at any byte, is answered")
{
    auto text = post + "Connection: close\r\nTransfer-Encoding: chunked\r\n"
                       "\r\n5;x=y\r\nhello\r\n1\r\n!\r\n0\r\nT: v\r\n\r\n";
    for (std::size_t cut = 1; cut < text.size(); cut++)
    {
        INFO("split at " << cut);
        auto socket = this->connect();
        this->write(socket, std::string_view(text).substr(0, cut));
        this->run_for(1ms);
        this->write(socket, std::string_view(text).substr(cut));
        CHECK(this->read(socket, 1s).starts_with("HTTP/1.1 200"));
    }
    CHECK(this->reasons.empty());
}
