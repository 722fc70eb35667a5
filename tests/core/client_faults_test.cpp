#include <catch2/catch.hpp>

#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

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
        : acceptor(peer_loop,
                   tcp::endpoint(
                       boost::asio::ip::make_address_v4("127.0.0.1"), 0))
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
    bool told_not_sent =
        this->listener->ended &&
        this->listener->result == http::call_end::not_sent;
    auto written = this->bytes_at_peer();
    INFO("written " << written << ", detail " << this->listener->detail);
    CHECK((!told_not_sent || written == 0));
}
