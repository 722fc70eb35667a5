#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "http/async_server.hpp"
#include "http/message_text.hpp"
#include "http/request_body.hpp"

namespace amaranthhatch::http
{

/// @brief What the connections of a server share.
struct async_server::state
{
    state(boost::asio::io_context& loop, limit_source limits, handler handle,
          std::shared_ptr<response_budget> budget, server_bounds bounds)
        : loop(loop), acceptor(loop), timer(loop), accept_timer(loop),
          limits(std::move(limits)), handle(std::move(handle)),
          budget(std::move(budget)), bounds(std::move(bounds))
    {
    }

    void accept(const std::shared_ptr<state>& self);
    void accept_queued(const std::shared_ptr<state>& self);
    void serve(const std::shared_ptr<state>& self,
               boost::asio::ip::tcp::socket accepted);
    bool make_room();
    void refused(std::string_view reason,
                 const boost::asio::ip::tcp::socket& caller) const;
    void sweep(const std::shared_ptr<state>& self);

    boost::asio::io_context& loop;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer timer;
    /// Delays the next accept after one that failed.
    boost::asio::steady_timer accept_timer;
    limit_source limits;
    handler handle;
    std::shared_ptr<response_budget> budget;
    server_bounds bounds;
    /// Takes bytes that are read only to be dropped.
    std::array<char, 16u << 10> dropped{};
    std::unordered_set<session*> sessions;
    std::size_t in_flight = 0;
    bool closing = false;
    bool stopped = false;
    /// True once open requests were ended; no other is handled.
    bool ending = false;
};

/// @brief One connection of a server.
class async_server::session : public server_exchange,
                              public std::enable_shared_from_this<session>
{
public:
    session(boost::asio::ip::tcp::socket accepted, std::shared_ptr<state> owner)
        : socket(std::move(accepted)), owner(std::move(owner))
    {
        this->owner->sessions.insert(this);
        if (this->owner->budget)
            this->held_bytes = std::make_unique<response_budget::share>(
                this->owner->budget, nullptr,
                [this] { this->shared_from_this()->handle_disconnect(); });
        if (this->owner->bounds.requests)
            this->received_bytes = std::make_unique<request_budget::share>(
                this->owner->bounds.requests,
                [this]
                {
                    this->shared_from_this()->refuse_unread(
                        503, "not run: no memory for the request\n", "memory");
                });
    }

    ~session() override
    {
        this->end_exchange();
        this->owner->sessions.erase(this);
    }

    void read_next();
    void close();
    void close_if_idle();
    void end_request();
    bool busy() const;
    /// @brief How a connection is closed to make room for a new one: in the
    /// order of the enumerators.
    enum class expendable : std::uint8_t
    {
        draining,
        /// No byte of a request has come and no response is due.
        idle,
        /// The head of a request has been incomplete for a second.
        slow_head,
        no
    };
    expendable expendability(std::chrono::steady_clock::time_point now) const;
    /// @brief When the connection became idle, or its request began.
    std::chrono::steady_clock::time_point waits_since() const
    {
        return this->waiting_since;
    }
    const boost::asio::ip::tcp::socket& peer() const { return this->socket; }
    bool is_closed() const { return this->closed; }
    void check_time(std::chrono::steady_clock::time_point now);

    const request& received_request() const override { return this->current; }
    void respond(int status, const header_list& headers,
                 std::string_view body) override;
    void begin(int status, const header_list& headers) override;
    void write(std::string_view piece) override;
    void finish() override;
    std::size_t unsent_bytes() const override
    {
        return this->unsent.size() + this->sending.size();
    }
    void abort() override;
    void on_disconnect(std::function<void()> callback) override;
    void on_stop(std::function<void()> callback) override;
    void on_written(std::function<void()> callback) override;

private:
    void start_request();
    void wait_for_bytes();
    void read_bytes();
    bool read_block();
    bool parse();
    void on_parse_error(boost::system::error_code error);
    void on_head();
    void on_request();
    void handle_request();
    void count_received();
    void refuse_unread(int status, std::string_view reason,
                       std::string_view counted_as);
    void drain();
    void read_dropped();
    void refuse(int status, std::string_view reason, header_list headers = {});
    void fail(int status, std::string_view reason);
    void clear_callbacks();
    void watch_peer();
    void on_readable(boost::system::error_code error);
    void on_sent(boost::system::error_code error);
    void count_unsent();
    void flush();
    void end_response();
    void end_exchange();
    void handle_disconnect();
    bool keep_alive() const;
    std::string head(int status, const header_list& headers,
                     std::size_t length) const;
    bool cut_unmarked() const;

    using parser = boost::beast::http::request_parser<request_body>;

    boost::asio::ip::tcp::socket socket;
    std::shared_ptr<state> owner;
    boost::beast::flat_buffer buffer;
    std::unique_ptr<parser> reading;
    request current;
    std::function<void()> disconnect_handler;
    std::function<void()> stop_handler;
    std::function<void()> written_handler;
    std::unique_ptr<response_budget::share> held_bytes;
    std::unique_ptr<request_budget::share> received_bytes;
    /// Bytes of the current request: all, up to the end of its head, and the
    /// length that its head announces.
    std::size_t parsed_bytes = 0;
    std::size_t head_bytes = 0;
    std::optional<std::size_t> announced;
    /// Bytes that were dropped after a refusal.
    std::size_t dropped_bytes = 0;
    std::chrono::steady_clock::time_point rate_checked_at;
    std::size_t rate_checked_bytes = 0;
    std::chrono::steady_clock::time_point waiting_since =
        std::chrono::steady_clock::now();
    std::string unsent;
    std::string sending;
    std::chrono::steady_clock::time_point deadline =
        std::chrono::steady_clock::time_point::max();
    std::chrono::steady_clock::time_point accepted_at =
        std::chrono::steady_clock::now();
    bool counted = false;
    bool head_seen = false;
    bool fresh = true;
    /// True if the request's version is HTTP/1.0, which has no chunks.
    bool old_version = false;
    bool head_request = false;
    body_framing framing = body_framing::length;
    bool response_begun = false;
    bool response_ended = false;
    /// True if the response was ended as complete.
    bool response_whole = false;
    bool caller_closes = false;
    bool close_after_write = false;
    bool closed = false;
    bool watching = false;
    /// True once the current request was refused before its end was read.
    bool refused_unread = false;
    /// True while what the caller still sends is dropped.
    bool draining = false;
};

} // namespace amaranthhatch::http
