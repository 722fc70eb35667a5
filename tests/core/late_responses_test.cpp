#include <catch2/catch.hpp>

#include <atomic>
#include <list>
#include <string>
#include <thread>
#include <vector>

#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include "http/async_client.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

namespace
{

/// @brief What a peer writes for one request, piece by piece.
using pieces = std::vector<std::string>;

/// @brief A peer that writes, for each request on its connections, the next
/// scripted pieces.
class late_peer
{
public:
    explicit late_peer(std::vector<std::vector<pieces>> connections)
        : acceptor(loop, tcp::endpoint(
                             boost::asio::ip::make_address_v4("127.0.0.1"), 0)),
          thread([this, connections] { this->run(connections); })
    {
    }
    ~late_peer()
    {
        this->stopped = true;
        boost::asio::io_context own;
        boost::system::error_code ignored;
        tcp::socket last(own);
        last.connect(this->acceptor.local_endpoint(), ignored);
        this->thread.join();
    }

    std::string address() const
    {
        return "127.0.0.1:" +
               std::to_string(this->acceptor.local_endpoint().port());
    }

private:
    void run(const std::vector<std::vector<pieces>>& connections)
    {
        std::list<tcp::socket> open;
        std::vector<std::thread> servers;
        for (const auto& exchanges : connections)
        {
            auto& socket = open.emplace_back(this->loop);
            boost::system::error_code error;
            this->acceptor.accept(socket, error);
            if (this->stopped)
                break;
            servers.emplace_back([&socket, &exchanges]
                                 { serve(socket, exchanges); });
        }
        while (!this->stopped)
            std::this_thread::sleep_for(1ms);
        // Closing a socket doesn't end a blocking read on it.
        for (auto& socket : open)
            shutdown(socket.native_handle(), SHUT_RDWR);
        for (auto& server : servers)
            server.join();
    }

    static void serve(tcp::socket& socket, const std::vector<pieces>& exchanges)
    {
        boost::system::error_code error;
        boost::asio::streambuf received;
        for (const auto& written : exchanges)
        {
            auto head_bytes =
                boost::asio::read_until(socket, received, "\r\n\r\n", error);
            if (error)
                return;
            received.consume(head_bytes);
            for (std::size_t at = 0; at < written.size(); at++)
            {
                if (at > 0)
                    std::this_thread::sleep_for(10ms);
                boost::asio::write(socket, boost::asio::buffer(written[at]),
                                   error);
            }
        }
    }

    boost::asio::io_context loop;
    tcp::acceptor acceptor;
    std::atomic<bool> stopped{false};
    std::thread thread;
};

struct response_listener : http::call_listener
{
    bool on_head(int received, const http::header_list&) override
    {
        this->status = received;
        return true;
    }
    void on_body(std::string_view piece) override { this->body += piece; }
    void on_end(http::call_end end, std::string_view text) override
    {
        this->result = end;
        this->detail = text;
        this->ended = true;
    }

    int status = 0;
    std::string body;
    std::string detail;
    http::call_end result = http::call_end::broken;
    bool ended = false;
};

struct identified_calls
{
    std::shared_ptr<response_listener> call(const std::string& address,
                                            const std::string& id)
    {
        auto listener = std::make_shared<response_listener>();
        http::client_request outgoing;
        outgoing.target = "/x";
        outgoing.echoed_header = "X-Id";
        if (!id.empty())
            outgoing.headers.add("X-Id", id);
        auto running = this->client.start("key", address, outgoing, listener);
        auto end = std::chrono::steady_clock::now() + 2s;
        while (!listener->ended && std::chrono::steady_clock::now() < end)
        {
            this->loop.restart();
            this->loop.run_for(5ms);
        }
        running->cancel();
        return listener;
    }

    boost::asio::io_context loop;
    http::async_client client{loop};
};

std::string response(const std::string& status, const std::string& id,
                     const std::string& body)
{
    return "HTTP/1.1 " + status + " X\r\n" +
           (id.empty() ? "" : "X-Id: " + id + "\r\n") +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct late_row
{
    const char* name;
    /// What arrives between a call's request and its own response.
    pieces late;
};

} // namespace

// A worker wrote an earlier refusal once more, and its copy didn't say whose it
// was. The next request was reported as not run while it ran.
TEST_CASE_METHOD(identified_calls,
                 "late response, without an id on a kept connection, is "
                 "nobody's")
{
    auto refusal = response("503", "", "");
    const late_row rows[] = {
        {"a refusal", {refusal}},
        {"an error", {response("500", "", "no")}},
        {"a success", {response("200", "", "ok")}},
        {"two refusals", {refusal + refusal}},
        {"a refusal in pieces",
         {"HTTP/1.1 50", "3 X\r\nContent-Le", "ngth: 0", "\r\n\r\n"}},
        {"a refusal behind an interim one",
         {"HTTP/1.1 100 Continue\r\n\r\n" + refusal}},
        {"a refusal behind another's",
         {response("503", "first", "") + refusal}},
    };
    for (const auto& row : rows)
    {
        DYNAMIC_SECTION(row.name)
        {
            auto second = row.late;
            second.push_back(response("200", "second", "own"));
            late_peer peer({{{response("200", "first", "one")}, second}});
            CHECK(this->call(peer.address(), "first")->body == "one");
            auto listener = this->call(peer.address(), "second");
            CHECK(this->client.counts().reused == 1);
            CHECK(listener->status == 0);
            CHECK(listener->body.empty());
            CHECK(listener->result == http::call_end::broken);
            CHECK(listener->detail == "response without X-Id");
            CHECK(this->client.counts().unidentified_responses == 1);
        }
    }
}

TEST_CASE_METHOD(identified_calls,
                 "late response, of another id, is skipped however it comes")
{
    auto copy = response("503", "first", "not run");
    const late_row rows[] = {
        {"once", {copy}},
        {"twice", {copy + copy}},
        {"in pieces", {copy.substr(0, 5), copy.substr(5, 25), copy.substr(30)}},
        {"behind an interim one", {"HTTP/1.1 100 Continue\r\n\r\n" + copy}},
    };
    for (const auto& row : rows)
    {
        DYNAMIC_SECTION(row.name)
        {
            auto second = row.late;
            second.push_back(response("200", "second", "own"));
            late_peer peer({{{copy}, second}});
            CHECK(this->call(peer.address(), "first")->status == 503);
            auto listener = this->call(peer.address(), "second");
            CHECK(this->client.counts().reused == 1);
            CHECK(listener->status == 200);
            CHECK(listener->body == "own");
            CHECK(listener->result == http::call_end::complete);
        }
    }
}

// The first response on a connection can only be its call's, but the second one
// may be a copy of it.
TEST_CASE_METHOD(identified_calls,
                 "response without an id, first on its connection, is its "
                 "call's and the connection isn't kept")
{
    auto refusal = response("503", "", "full");
    late_peer peer({{{"HTTP/1.1 100 Continue\r\n\r\n" + refusal}},
                    {{response("200", "second", "own")}}});
    auto first = this->call(peer.address(), "first");
    CHECK(first->status == 503);
    CHECK(first->result == http::call_end::complete);
    auto second = this->call(peer.address(), "second");
    CHECK(second->status == 200);
    CHECK(this->client.counts().reused == 0);
    CHECK(this->client.counts().connected == 2);
}

TEST_CASE_METHOD(identified_calls,
                 "response without an id, behind a skipped one, is nobody's")
{
    late_peer peer(
        {{{response("503", "other", "") + response("503", "", "")}}});
    auto listener = this->call(peer.address(), "first");
    CHECK(listener->status == 0);
    CHECK(listener->result == http::call_end::broken);
}

// Its response echoes no id, as a copy of an earlier one may.
TEST_CASE_METHOD(identified_calls,
                 "request without an id, beside a kept connection, opens one")
{
    late_peer peer({{{response("200", "first", "one")}},
                    {{response("400", "", "no id")}}});
    CHECK(this->call(peer.address(), "first")->body == "one");
    auto listener = this->call(peer.address(), "");
    CHECK(listener->status == 400);
    CHECK(listener->result == http::call_end::complete);
    CHECK(this->client.counts().connected == 2);
}

// A request is sent again to the same peer after a refusal, an item after an
// error; a late copy of the earlier response then has the right id.
TEST_CASE_METHOD(identified_calls,
                 "late response, of the same id, isn't taken for the request "
                 "sent again")
{
    for (const std::string status : {"503", "500", "422"})
    {
        DYNAMIC_SECTION(status)
        {
            auto copy = response(status, "first", "no");
            auto own = response("200", "first", "own");
            late_peer peer({{{copy}, {copy, own}}, {{own}}});
            CHECK(this->call(peer.address(), "first")->body == "no");
            auto listener = this->call(peer.address(), "first");
            CHECK(listener->status == 200);
            CHECK(listener->body == "own");
            CHECK(this->client.counts().connected == 2);
        }
    }
}

TEST_CASE_METHOD(identified_calls,
                 "request sent again, beside a connection that carried "
                 "others, reuses that one")
{
    late_peer peer(
        {{{response("200", "first", "1")}},
         {{response("200", "first", "2")}, {response("200", "second", "3")}}});
    CHECK(this->call(peer.address(), "first")->body == "1");
    CHECK(this->call(peer.address(), "first")->body == "2");
    CHECK(this->call(peer.address(), "second")->body == "3");
    CHECK(this->client.counts().connected == 2);
    CHECK(this->client.counts().reused == 1);
}

TEST_CASE_METHOD(identified_calls,
                 "request sent again, two connections are idle, reuses the "
                 "one that hasn't carried it")
{
    late_peer peer(
        {{{response("200", "first", "1")}, {response("200", "second", "4")}},
         {{response("200", "first", "2")}, {response("200", "second", "3")}}});
    CHECK(this->call(peer.address(), "first")->body == "1");
    CHECK(this->call(peer.address(), "first")->body == "2");
    CHECK(this->call(peer.address(), "second")->body == "3");
    // Neither the newest connection nor a new one.
    CHECK(this->call(peer.address(), "second")->body == "4");
    CHECK(this->client.counts().connected == 2);
    CHECK(this->client.counts().reused == 2);
}

// The values that a connection remembers are bounded.
TEST_CASE_METHOD(identified_calls,
                 "kept connection, many calls, is replaced in time")
{
    constexpr int bound = 256;
    std::vector<pieces> first;
    for (int at = 0; at < bound; at++)
        first.push_back({response("200", std::to_string(at), "ok")});
    late_peer peer({first, {{response("200", "last", "ok")}}});
    for (int at = 0; at < bound; at++)
        CHECK(this->call(peer.address(), std::to_string(at))->body == "ok");
    CHECK(this->client.counts().connected == 1);
    CHECK(this->call(peer.address(), "last")->body == "ok");
    CHECK(this->client.counts().connected == 2);
}
