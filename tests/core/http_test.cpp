#include <catch2/catch.hpp>

#include <unistd.h>

#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include "http/async_client.hpp"
#include "http/async_server.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

namespace
{

/// @brief A peer on a thread that reads a request's head and answers bytes.
class scripted_peer
{
public:
    explicit scripted_peer(std::vector<std::string> answers,
                           bool closes = false)
        : acceptor(loop, tcp::endpoint(
                             boost::asio::ip::make_address_v4("127.0.0.1"), 0)),
          answers(std::move(answers)), closes(closes),
          thread([this] { this->run(); })
    {
    }
    ~scripted_peer() { this->thread.join(); }

    std::string address() const
    {
        return "127.0.0.1:" +
               std::to_string(this->acceptor.local_endpoint().port());
    }

private:
    void run()
    {
        tcp::socket socket(this->loop);
        this->acceptor.accept(socket);
        boost::system::error_code error;
        for (const auto& answer : this->answers)
        {
            boost::asio::streambuf head;
            boost::asio::read_until(socket, head, "\r\n\r\n", error);
            boost::asio::write(socket, boost::asio::buffer(answer), error);
        }
        if (!this->closes)
        {
            char byte = 0;
            socket.read_some(boost::asio::buffer(&byte, 1), error);
        }
    }

    boost::asio::io_context loop;
    tcp::acceptor acceptor;
    std::vector<std::string> answers;
    bool closes;
    std::thread thread;
};

struct heard_call : http::call_listener
{
    bool on_head(int answered, const http::header_list& headers) override
    {
        auto id = headers.get("X-Id");
        if (!id.empty() && id != this->own_id)
            return false;
        this->status = answered;
        return true;
    }
    void on_body(std::string_view piece) override { this->body += piece; }
    void on_end(http::call_end end, std::string_view) override
    {
        this->how = end;
        this->ended = true;
    }

    std::string own_id = "mine";
    int status = 0;
    std::string body;
    http::call_end how = http::call_end::broken;
    bool ended = false;
};

struct client_and_loop
{
    std::shared_ptr<heard_call> call(const std::string& address)
    {
        auto heard = std::make_shared<heard_call>();
        http::client_request asked;
        asked.target = "/x";
        this->last = this->client.start("key", address, asked, heard);
        auto end = std::chrono::steady_clock::now() + 3s;
        while (!heard->ended && std::chrono::steady_clock::now() < end)
        {
            this->loop.restart();
            this->loop.run_for(5ms);
        }
        CHECK(heard->ended);
        return heard;
    }

    void settle()
    {
        this->loop.restart();
        this->loop.run_for(50ms);
    }

    boost::asio::io_context loop;
    http::async_client client{loop};
    std::shared_ptr<http::client_call> last;
};

const std::string whole =
    "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_CASE_METHOD(client_and_loop, "client, kept connection, serves two calls")
{
    scripted_peer peer({whole, whole}, true);
    CHECK(this->call(peer.address())->body == "ok");
    CHECK(this->call(peer.address())->body == "ok");
    CHECK(this->client.counts().connected == 1);
    CHECK(this->client.counts().reused == 1);
}

TEST_CASE_METHOD(client_and_loop, "client, another's answer first, is skipped")
{
    std::string other =
        "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nbad";
    scripted_peer peer({other + whole}, true);
    auto heard = this->call(peer.address());
    CHECK(heard->how == http::call_end::complete);
    CHECK(heard->body == "ok");
    CHECK(this->client.counts().foreign_answers == 1);
}

TEST_CASE_METHOD(client_and_loop, "client, surplus bytes, end the connection")
{
    scripted_peer peer({whole + "surplus"}, true);
    CHECK(this->call(peer.address())->body == "ok");
    CHECK(this->client.counts().surplus_bytes > 0);
    this->settle();
    auto second = std::make_shared<heard_call>();
    auto running = this->client.start("key", peer.address(), {}, second);
    CHECK(this->client.counts().reused == 0);
    CHECK(this->client.counts().connected == 2);
    running->cancel();
}

TEST_CASE_METHOD(client_and_loop, "client, answers that break off, are told")
{
    struct row
    {
        std::string answer;
        http::call_end expected;
    };
    auto row_of = GENERATE(
        row{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
            http::call_end::broken},
        row{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
            http::call_end::broken},
        row{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok",
            http::call_end::complete},
        row{"HTTP/1.1 200 OK\r\nConte", http::call_end::broken},
        row{"garbage\r\n\r\n", http::call_end::broken},
        row{"", http::call_end::broken},
        row{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
            "0\r\n\r\n",
            http::call_end::complete});
    scripted_peer peer({row_of.answer}, true);
    INFO(row_of.answer);
    CHECK(this->call(peer.address())->how == row_of.expected);
}

TEST_CASE_METHOD(client_and_loop, "client, nobody listens, says not sent")
{
    CHECK(this->call("127.0.0.1:1")->how == http::call_end::not_sent);
    CHECK(this->call("rubbish")->how == http::call_end::not_sent);
}

namespace
{

struct echo_server
{
    echo_server()
        : server(
              loop, "127.0.0.1:" + std::to_string(this->port),
              [this] { return this->limits; },
              [this](std::shared_ptr<http::server_exchange> exchange)
              { this->handle(std::move(exchange)); })
    {
    }

    void handle(std::shared_ptr<http::server_exchange> exchange)
    {
        this->targets.push_back(exchange->asked().target);
        this->bodies.push_back(exchange->asked().body);
        if (exchange->asked().path == "/hold")
        {
            exchange->on_gone([this] { this->gone++; });
            this->held = exchange;
            return;
        }
        if (exchange->asked().path == "/stream")
        {
            exchange->begin(200, {});
            exchange->write("one");
            return exchange->asked().query == "cut" ? exchange->abort()
                                                    : exchange->finish();
        }
        exchange->respond(200, {}, exchange->asked().body);
    }

    std::string exchange(const std::string& sent, bool half_close = true)
    {
        tcp::socket socket(this->loop);
        socket.connect(
            {boost::asio::ip::make_address_v4("127.0.0.1"), this->port});
        socket.non_blocking(true);
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(sent), error);
        std::string read;
        auto end = std::chrono::steady_clock::now() + 1s;
        while (std::chrono::steady_clock::now() < end)
        {
            this->loop.restart();
            this->loop.run_for(5ms);
            char block[4096];
            auto count = socket.read_some(boost::asio::buffer(block), error);
            if (!error)
                read.append(block, count);
            else if (error != boost::asio::error::would_block)
                break;
            if (!half_close && !read.empty())
                break;
        }
        return read;
    }

    boost::asio::io_context loop;
    // Tests run side by side, each in a process of its own.
    static inline std::uint16_t next_port =
        static_cast<std::uint16_t>(20000 + getpid() * 13 % 12000);
    std::uint16_t port = next_port++;
    http::server_limits limits{1024, 64, 200ms, 400ms};
    http::async_server server;
    std::vector<std::string> targets;
    std::vector<std::string> bodies;
    std::shared_ptr<http::server_exchange> held;
    int gone = 0;
};

} // namespace

TEST_CASE_METHOD(echo_server, "server, target and chunked body, are exact")
{
    auto read = this->exchange("POST /a%20b?q=%41 HTTP/1.1\r\nHost: h\r\n"
                               "Transfer-Encoding: chunked\r\n"
                               "Connection: close\r\n\r\n2\r\nab\r\n0\r\n\r\n");
    CHECK(read.starts_with("HTTP/1.1 200"));
    REQUIRE(this->targets.size() == 1);
    CHECK(this->targets[0] == "/a%20b?q=%41");
    CHECK(this->bodies[0] == "ab");
}

TEST_CASE_METHOD(echo_server, "server, body over the limit, says 413")
{
    auto read = this->exchange("POST / HTTP/1.1\r\nHost: h\r\n"
                               "Content-Length: 65\r\n\r\n");
    CHECK(read.starts_with("HTTP/1.1 413"));
    CHECK(this->targets.empty());
}

TEST_CASE_METHOD(echo_server, "server, headers over the limit, says 431")
{
    auto read = this->exchange(
        "GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n");
    CHECK(read.starts_with("HTTP/1.1 431"));
}

TEST_CASE_METHOD(echo_server, "server, no request, says 400")
{
    CHECK(this->exchange("rubbish\r\n\r\n").starts_with("HTTP/1.1 400"));
}

TEST_CASE_METHOD(echo_server, "server, slow or idle caller, is closed")
{
    CHECK(this->exchange("GET / HT").empty());
    CHECK(this->exchange("").empty());
}

TEST_CASE_METHOD(echo_server, "server, stream aborted, has no end mark")
{
    auto cut = this->exchange("GET /stream?cut HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(cut.find("one") != cut.npos);
    CHECK(cut.find("0\r\n\r\n") == cut.npos);
    auto whole_stream = this->exchange("GET /stream HTTP/1.1\r\nHost: h\r\n"
                                       "Connection: close\r\n\r\n");
    CHECK(whole_stream.ends_with("0\r\n\r\n"));
}

TEST_CASE_METHOD(echo_server, "server, caller leaves while waiting, is noticed")
{
    {
        tcp::socket socket(this->loop);
        socket.connect(
            {boost::asio::ip::make_address_v4("127.0.0.1"), this->port});
        boost::asio::write(
            socket, boost::asio::buffer(
                        std::string("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")));
        this->loop.restart();
        this->loop.run_for(50ms);
        REQUIRE(this->held);
        CHECK(this->server.in_flight() == 1);
    }
    this->loop.restart();
    this->loop.run_for(50ms);
    CHECK(this->gone == 1);
    CHECK(this->server.in_flight() == 0);
}
