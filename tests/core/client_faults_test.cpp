#include <catch2/catch.hpp>

#include <atomic>
#include <string>
#include <thread>

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

struct ending_listener : http::call_listener
{
    bool on_head(int, const http::header_list&) override { return true; }
    void on_body(std::string_view piece) override
    {
        this->body_bytes += piece.size();
    }
    void on_end(http::call_end end, std::string_view text) override
    {
        this->result = end;
        this->detail = text;
        this->ended = true;
    }

    http::call_end result = http::call_end::complete;
    std::string detail;
    std::size_t body_bytes = 0;
    bool ended = false;
};

/// @brief A client whose loop the test runs, and a socket that listens.
struct paused_client
{
    paused_client()
        : acceptor(
              peer_loop,
              tcp::endpoint(boost::asio::ip::make_address_v4("127.0.0.1"), 0))
    {
    }

    void start(std::chrono::milliseconds connect_limit)
    {
        http::client_request outgoing;
        outgoing.target = "/book";
        outgoing.connect_limit = connect_limit;
        this->call = this->client.start(
            "key",
            "127.0.0.1:" +
                std::to_string(this->acceptor.local_endpoint().port()),
            outgoing, this->listener);
    }

    void run_loop(std::chrono::milliseconds time)
    {
        this->loop.restart();
        this->loop.run_for(time);
    }

    std::size_t bytes_at_peer()
    {
        tcp::socket peer(this->peer_loop);
        boost::system::error_code error;
        this->acceptor.accept(peer, error);
        return error ? 0 : peer.available(error);
    }

    boost::asio::io_context loop;
    boost::asio::io_context peer_loop;
    tcp::acceptor acceptor;
    http::async_client client{loop};
    std::shared_ptr<ending_listener> listener =
        std::make_shared<ending_listener>();
    std::shared_ptr<http::client_call> call;
};

/// @brief A peer that reads a request, sends a beginning and then one piece
/// again and again, until its caller closes the connection.
class endless_peer
{
public:
    endless_peer(std::string beginning, std::string piece)
        : acceptor(loop, tcp::endpoint(
                             boost::asio::ip::make_address_v4("127.0.0.1"), 0)),
          thread([this, beginning, piece] { this->run(beginning, piece); })
    {
    }
    ~endless_peer()
    {
        this->stopped = true;
        this->thread.join();
    }

    std::string address() const
    {
        return "127.0.0.1:" +
               std::to_string(this->acceptor.local_endpoint().port());
    }

    std::atomic<std::size_t> sent_bytes{0};

private:
    void run(const std::string& beginning, const std::string& piece)
    {
        tcp::socket socket(this->loop);
        this->acceptor.accept(socket);
        boost::system::error_code error;
        boost::asio::streambuf head;
        boost::asio::read_until(socket, head, "\r\n\r\n", error);
        boost::asio::write(socket, boost::asio::buffer(beginning), error);
        std::string block;
        while (block.size() < (16u << 10))
            block += piece;
        while (!error && !this->stopped)
            this->sent_bytes +=
                boost::asio::write(socket, boost::asio::buffer(block), error);
    }

    boost::asio::io_context loop;
    tcp::acceptor acceptor;
    std::atomic<bool> stopped{false};
    std::thread thread;
};

struct endless_row
{
    const char* name;
    const char* beginning;
    const char* piece;
};

// What comes without end, and what came before it.
const endless_row endless_rows[] = {
    {"bytes that are no status line", "", "x"},
    {"a reason phrase", "HTTP/1.1 200 ", "y"},
    {"one header's value", "HTTP/1.1 200 OK\r\nX-A: ", "z"},
    {"headers", "HTTP/1.1 200 OK\r\n", "X-A: 1\r\n"},
    {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"a chunk's extension",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=", "b"},
    {"a chunk's size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "0"},
    {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
     "X-A: 1\r\n"},
    {"a body that ends with the connection", "HTTP/1.1 200 OK\r\n\r\n", "c"},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "4\r\nabcd\r\n"},
};

} // namespace

// A process that is stopped while it connects finds, once it goes on, both the
// connection and the expired limit of the connect at hand.
TEST_CASE_METHOD(paused_client,
                 "client, paused while it connects, is not sent only if no "
                 "byte was written")
{
    this->start(20ms);
    std::this_thread::sleep_for(60ms);
    this->run_loop(60ms);
    bool told_not_sent = this->listener->ended &&
                         this->listener->result == http::call_end::not_sent;
    auto written = this->bytes_at_peer();
    INFO("written " << written << ", detail " << this->listener->detail);
    CHECK((!told_not_sent || written == 0));
}

// A faulty worker or store may send bytes without end until its caller closes.
// Neither the caller's memory nor its time may depend on the peer's mercy.
TEST_CASE("client, bytes without end, ends the call at its bounds")
{
    for (const auto& row : endless_rows)
    {
        DYNAMIC_SECTION(row.name)
        {
            boost::asio::io_context loop;
            http::async_client client(loop);
            endless_peer peer(row.beginning, row.piece);
            auto listener = std::make_shared<ending_listener>();
            http::client_request outgoing;
            outgoing.target = "/x";
            outgoing.body_limit = 1u << 20;
            auto call = client.start("key", peer.address(), outgoing, listener);
            auto end = std::chrono::steady_clock::now() + 3s;
            while (!listener->ended && std::chrono::steady_clock::now() < end)
            {
                loop.restart();
                loop.run_for(5ms);
            }
            CHECK(listener->ended);
            CHECK(listener->result == http::call_end::broken);
            CHECK(listener->body_bytes <= outgoing.body_limit);
            // What the peer could write fits into the bound and the sockets.
            CHECK(peer.sent_bytes < (16u << 20));
            call->cancel();
        }
    }
}

namespace
{

struct late_copy_row
{
    const char* name;
    const char* copy;
};

// What arrives on a connection after a complete answer, before the next request
// is written.
const late_copy_row late_copies[] = {
    {"the whole answer again",
     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"},
    {"the answer's head", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"},
    {"half a status line", "HTTP/1.1 2"},
    {"bytes that are no answer", "\r\n\r\n"},
};

} // namespace

// A worker sends a second copy of an answer late. The process may not have seen
// it when the connection is taken for the next request.
TEST_CASE("client, copy of an answer on a kept connection, is not the next "
          "caller's")
{
    for (const auto& row : late_copies)
    {
        DYNAMIC_SECTION(row.name)
        {
            boost::asio::io_context loop;
            boost::asio::io_context peer_loop;
            tcp::acceptor acceptor(
                peer_loop,
                tcp::endpoint(boost::asio::ip::make_address_v4("127.0.0.1"),
                              0));
            auto address =
                "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
            std::atomic<bool> copied{false};
            std::thread peer(
                [&]
                {
                    boost::system::error_code error;
                    std::string first =
                        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
                    std::string second =
                        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
                    tcp::socket kept(peer_loop);
                    acceptor.accept(kept);
                    boost::asio::streambuf head;
                    boost::asio::read_until(kept, head, "\r\n\r\n", error);
                    boost::asio::write(kept, boost::asio::buffer(first), error);
                    std::this_thread::sleep_for(100ms);
                    boost::asio::write(
                        kept, boost::asio::buffer(std::string(row.copy)),
                        error);
                    copied = true;
                    // The next request comes on a new connection.
                    tcp::socket fresh(peer_loop);
                    acceptor.accept(fresh);
                    boost::asio::streambuf next;
                    boost::asio::read_until(fresh, next, "\r\n\r\n", error);
                    boost::asio::write(fresh, boost::asio::buffer(second),
                                       error);
                });
            http::async_client client(loop);
            struct text_listener : ending_listener
            {
                void on_body(std::string_view piece) override
                {
                    this->text += piece;
                }
                std::string text;
            };
            auto perform = [&]
            {
                auto listener = std::make_shared<text_listener>();
                http::client_request outgoing;
                outgoing.target = "/x";
                auto call = client.start("key", address, outgoing, listener);
                auto end = std::chrono::steady_clock::now() + 2s;
                while (!listener->ended &&
                       std::chrono::steady_clock::now() < end)
                {
                    loop.restart();
                    loop.run_for(5ms);
                }
                call->cancel();
                return listener->text;
            };
            CHECK(perform() == "first");
            // The loop doesn't run while the copy arrives.
            while (!copied)
                std::this_thread::sleep_for(5ms);
            std::this_thread::sleep_for(20ms);
            CHECK(perform() == "second");
            // Ends the peer also where no second connection was made.
            boost::system::error_code ignored;
            tcp::socket last(peer_loop);
            last.connect(acceptor.local_endpoint(), ignored);
            boost::asio::write(last, boost::asio::buffer("\r\n\r\n", 4),
                               ignored);
            peer.join();
        }
    }
}

namespace
{

/// @brief A peer that sends a response in two parts with a pause between.
class halting_peer
{
public:
    halting_peer(std::string first, std::string second)
        : acceptor(loop, tcp::endpoint(
                             boost::asio::ip::make_address_v4("127.0.0.1"), 0)),
          thread([this, first, second] { this->run(first, second); })
    {
    }
    ~halting_peer() { this->thread.join(); }

    std::string address() const
    {
        return "127.0.0.1:" +
               std::to_string(this->acceptor.local_endpoint().port());
    }

private:
    void run(const std::string& first, const std::string& second)
    {
        tcp::socket socket(this->loop);
        this->acceptor.accept(socket);
        boost::system::error_code error;
        boost::asio::streambuf head;
        boost::asio::read_until(socket, head, "\r\n\r\n", error);
        boost::asio::write(socket, boost::asio::buffer(first), error);
        std::this_thread::sleep_for(60ms);
        boost::asio::write(socket, boost::asio::buffer(second), error);
    }

    boost::asio::io_context loop;
    tcp::acceptor acceptor;
    std::thread thread;
};

std::shared_ptr<ending_listener> perform_at(const std::string& address)
{
    boost::asio::io_context loop;
    http::async_client client(loop);
    auto listener = std::make_shared<ending_listener>();
    http::client_request outgoing;
    outgoing.target = "/x";
    auto call = client.start("key", address, outgoing, listener);
    auto end = std::chrono::steady_clock::now() + 2s;
    while (!listener->ended && std::chrono::steady_clock::now() < end)
    {
        loop.restart();
        loop.run_for(5ms);
    }
    call->cancel();
    return listener;
}

} // namespace

// Many servers write the head and the body one after the other.
TEST_CASE("client, response split anywhere, is complete")
{
    const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    const auto head_end = response.size() - 5;
    for (auto at : {std::size_t{1}, std::size_t{15}, head_end - 2, head_end - 1,
                    head_end, head_end + 1, response.size() - 1})
    {
        halting_peer peer(response.substr(0, at), response.substr(at));
        auto listener = perform_at(peer.address());
        INFO("split at " << at << ": " << listener->detail);
        CHECK(listener->result == http::call_end::complete);
        CHECK(listener->body_bytes == 5);
    }
}

// Memory for a body is reserved by its announced length.
TEST_CASE("client, announced body over the limit, ends the call at its head")
{
    halting_peer peer(
        "HTTP/1.1 200 OK\r\nContent-Length: 90000000000000\r\n\r\n", "x");
    auto listener = perform_at(peer.address());
    CHECK(listener->ended);
    CHECK(listener->result == http::call_end::broken);
    CHECK(listener->body_bytes == 0);
}
