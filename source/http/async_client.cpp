#include "http/async_client.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <functional>
#include <utility>

#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "errors/failure.hpp"
#include "http/message_text.hpp"
#include "http/socket_options.hpp"

namespace amaranthhatch::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using steady = std::chrono::steady_clock;

namespace
{

constexpr std::size_t read_block_bytes = 16u << 10;
// An idle connection isn't reused in the last second before its peer may close
// it: one second covers the longest round trip and a delayed wake-up.
constexpr std::chrono::milliseconds close_margin{1000};
// Time for which peers that send no Keep-Alive timeout are assumed to hold idle
// connections open: the usual default of HTTP servers.
constexpr std::chrono::milliseconds default_keep_alive{5000};
constexpr std::size_t idle_connection_limit = 32;
// Bounds of a response's head, and of what else can come without being part of
// a body: chunk headers, trailers and responses that are skipped.
constexpr std::size_t head_limit_bytes = 64u << 10;
constexpr std::size_t skipped_response_limit = 16;
constexpr int first_final_status = 200;
// Bounds the values that a connection remembers.
constexpr std::size_t identified_call_limit = 256;

enum class response_owner : std::uint8_t
{
    this_call,
    another_call,
    unknown
};

} // namespace

struct async_client::state
{
    explicit state(asio::io_context& loop) : loop(loop) {}

    std::shared_ptr<connection> find_idle(std::string_view key,
                                          const client_request& outgoing) const;

    asio::io_context& loop;
    std::map<std::string, std::vector<std::shared_ptr<connection>>, std::less<>>
        idle_connections;
    client_counts counts;
};

class async_client::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(std::shared_ptr<state> owner, std::string key)
        : owner(std::move(owner)), key(std::move(key)),
          socket(this->owner->loop), timer(this->owner->loop)
    {
    }

    void connect(const std::string& address, const client_request& outgoing,
                 std::shared_ptr<call_listener> listener);
    void send(const client_request& outgoing,
              std::shared_ptr<call_listener> listener);
    void close();
    void pause();
    void resume();
    bool usable();
    bool can_identify(const client_request& outgoing) const;
    void leave_idle();
    std::uint64_t current_call_number() const { return this->call_number; }
    bool runs_call(std::uint64_t number) const
    {
        return this->call_number == number && this->listener;
    }

private:
    using parser = beast::http::response_parser<beast::http::string_body>;

    void prepare(const client_request& outgoing,
                 std::shared_ptr<call_listener> listener);
    void write_request();
    void read_some();
    void consume();
    bool parse_once();
    bool over_limits();
    void deliver_body();
    void on_read_error(error_code error);
    void end(call_end result, std::string_view detail);
    void store_idle();
    void watch_idle();
    void new_parser();
    void on_parsed_head();
    response_owner owner_of(const header_list& headers) const;
    bool echoes() const;
    header_list parsed_headers() const;

    std::shared_ptr<state> owner;
    std::string key;
    tcp::socket socket;
    asio::steady_timer timer;
    beast::flat_buffer buffer;
    std::unique_ptr<parser> reading;
    std::shared_ptr<call_listener> listener;
    std::shared_ptr<const std::string> body;
    std::string head;
    std::string method;
    std::string echoed_header;
    std::string echoed_value;
    /// Hashes of the echoed values of all calls on the connection.
    std::vector<std::size_t> carried_values;
    steady::time_point usable_until = steady::time_point::max();
    std::uint64_t call_number = 0;
    std::size_t body_limit = 0;
    std::size_t body_bytes = 0;
    std::size_t skipped = 0;
    /// True until a final response has arrived on the connection.
    bool first_response = true;
    bool connecting = false;
    bool head_delivered = false;
    bool skipping = false;
    bool written = false;
    bool closed = false;
    bool paused = false;
    /// Keeps the connection, for which nothing is pending, while it is paused.
    std::shared_ptr<connection> paused_self;
};

namespace
{

using call_action = std::function<void()>;

class running_call : public client_call
{
public:
    running_call(call_action stop, call_action halt, call_action proceed)
        : stop(std::move(stop)), halt(std::move(halt)),
          proceed(std::move(proceed))
    {
    }
    void cancel() override
    {
        auto once = std::move(this->stop);
        this->stop = nullptr;
        if (once)
            once();
    }
    void pause() override { this->halt(); }
    void resume() override { this->proceed(); }

private:
    call_action stop;
    call_action halt;
    call_action proceed;
};

bool is_over_limit(error_code error)
{
    return error == beast::http::error::body_limit ||
           error == beast::http::error::header_limit ||
           error == beast::http::error::buffer_overflow;
}

std::size_t hash_value(std::string_view value)
{
    return std::hash<std::string_view>()(value);
}

std::chrono::milliseconds keep_alive_time(const header_list& headers)
{
    constexpr std::string_view name = "timeout=";
    auto value = headers.get("Keep-Alive");
    auto position = value.find(name);
    if (position == value.npos)
        return default_keep_alive;
    int seconds = 0;
    std::from_chars(value.data() + position + name.size(),
                    value.data() + value.size(), seconds);
    return std::chrono::seconds(seconds);
}

} // namespace

// Bytes that arrived on an idle connection, such as a second copy of its last
// response, belong to no request, and a close shows as readable, too. Both may
// not have reached this loop yet, so the socket itself is asked.
bool async_client::connection::usable()
{
    if (this->closed || steady::now() >= this->usable_until)
        return false;
    char byte = 0;
    auto count =
        recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0)
        this->owner->counts.surplus_bytes++;
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// A second copy of an earlier response with the same value, or a response
// without one, couldn't be told from the response to this request.
bool async_client::connection::can_identify(
    const client_request& outgoing) const
{
    if (outgoing.echoed_header.empty())
        return true;
    auto value = outgoing.headers.get(outgoing.echoed_header);
    return !value.empty() &&
           std::ranges::find(this->carried_values, hash_value(value)) ==
               this->carried_values.end();
}

void async_client::connection::prepare(
    const client_request& outgoing, std::shared_ptr<call_listener> new_listener)
{
    this->listener = std::move(new_listener);
    this->body = outgoing.body;
    this->method = outgoing.method;
    this->echoed_header = outgoing.echoed_header;
    this->echoed_value = outgoing.headers.get(outgoing.echoed_header);
    if (!this->echoed_value.empty())
        this->carried_values.push_back(hash_value(this->echoed_value));
    this->head =
        request_text(outgoing.method, outgoing.target, outgoing.headers,
                     outgoing.body ? outgoing.body->size() : 0);
    this->call_number++;
    this->body_limit = outgoing.body_limit;
    this->body_bytes = 0;
    this->skipped = 0;
    this->written = false;
    this->paused = false;
    this->new_parser();
}

void async_client::connection::new_parser()
{
    this->reading = std::make_unique<parser>();
    this->reading->eager(true);
    this->reading->header_limit(head_limit_bytes);
    this->reading->body_limit(this->body_limit);
    if (this->method == "HEAD")
        this->reading->skip(true);
    this->head_delivered = false;
    this->skipping = false;
}

void async_client::connection::connect(
    const std::string& address, const client_request& outgoing,
    std::shared_ptr<call_listener> new_listener)
{
    this->prepare(outgoing, std::move(new_listener));
    this->owner->counts.connected++;
    auto self = this->shared_from_this();
    tcp::endpoint peer;
    try
    {
        peer = parse_endpoint(address);
    }
    catch (const errors::failure& error)
    {
        std::string detail = error.what();
        asio::post(this->owner->loop,
                   [self, detail] { self->end(call_end::not_sent, detail); });
        return;
    }
    this->connecting = true;
    this->timer.expires_after(outgoing.connect_limit);
    // After a pause of the process both handlers can be due at once. Cancelling
    // the timer doesn't stop a handler that is due, so it checks for itself
    // whether the request may have been written.
    this->timer.async_wait(
        [self](error_code error)
        {
            if (!error && !self->closed && self->connecting)
                self->end(call_end::not_sent, "connect timeout");
        });
    this->socket.async_connect(peer,
                               [self](error_code error)
                               {
                                   if (self->closed)
                                       return;
                                   self->connecting = false;
                                   self->timer.cancel();
                                   if (error)
                                       return self->end(call_end::not_sent,
                                                        error.message());
                                   set_traffic_options(self->socket);
                                   self->write_request();
                                   self->read_some();
                               });
}

void async_client::connection::send(const client_request& outgoing,
                                    std::shared_ptr<call_listener> new_listener)
{
    this->owner->counts.reused++;
    this->prepare(outgoing, std::move(new_listener));
    this->write_request();
    this->read_some();
}

void async_client::connection::write_request()
{
    auto self = this->shared_from_this();
    std::array<asio::const_buffer, 2> parts{asio::buffer(this->head),
                                            asio::const_buffer()};
    if (this->body)
        parts[1] = asio::buffer(*this->body);
    asio::async_write(
        this->socket, parts,
        [self, written_call = this->call_number](error_code error, std::size_t)
        {
            // A failed write needs no handling here: the read then fails,
            // too, after any response that the peer sent before.
            if (!error && written_call == self->call_number)
                self->written = true;
        });
}

void async_client::connection::read_some()
{
    auto self = this->shared_from_this();
    if (this->paused)
    {
        this->paused_self = self;
        return;
    }
    this->socket.async_read_some(this->buffer.prepare(read_block_bytes),
                                 [self](error_code error, std::size_t count)
                                 {
                                     if (self->closed || !self->listener)
                                         return self->close();
                                     if (error)
                                         return self->on_read_error(error);
                                     self->buffer.commit(count);
                                     self->consume();
                                 });
}

void async_client::connection::pause()
{
    this->paused = true;
}

void async_client::connection::resume()
{
    this->paused = false;
    if (std::exchange(this->paused_self, nullptr) && !this->closed)
        this->read_some();
}

void async_client::connection::consume()
{
    auto self = this->shared_from_this();
    while (this->buffer.size() > 0 && !this->reading->is_done())
        if (!this->parse_once())
            break;
    if (this->closed || !this->listener)
        return;
    this->deliver_body();
    if (this->closed || !this->listener)
        return;
    if (this->over_limits())
        return this->end(call_end::broken, over_limit_detail);
    if (!this->reading->is_done())
        return this->read_some();
    if (!this->skipping)
        return this->end(call_end::complete, {});
    this->new_parser();
    if (this->buffer.size() > 0)
        return this->consume();
    this->read_some();
}

// Bytes that the parser can't use yet belong to a line, a chunk header or
// trailers without an end.
bool async_client::connection::over_limits()
{
    return this->buffer.size() > head_limit_bytes ||
           this->body_bytes > this->body_limit ||
           this->skipped > skipped_response_limit;
}

bool async_client::connection::parse_once()
{
    error_code error;
    auto consumed = this->reading->put(this->buffer.data(), error);
    this->buffer.consume(consumed);
    if (this->reading->is_header_done() && !this->head_delivered)
    {
        this->on_parsed_head();
        if (this->closed || !this->listener)
            return false;
    }
    if (error == beast::http::error::need_more)
        return false;
    if (error)
    {
        this->deliver_body();
        if (!this->closed && this->listener)
            this->end(call_end::broken, is_over_limit(error)
                                            ? std::string(over_limit_detail)
                                            : error.message());
        return false;
    }
    return consumed > 0 || this->reading->is_done();
}

void async_client::connection::on_parsed_head()
{
    this->head_delivered = true;
    int status = static_cast<int>(this->reading->get().result_int());
    bool interim = status < first_final_status;
    auto headers = this->parsed_headers();
    auto response_of =
        interim ? response_owner::another_call : this->owner_of(headers);
    // The listener may cancel the call, which drops this reference to it.
    auto receiver = this->listener;
    bool own = response_of == response_owner::this_call;
    if (!own && !interim)
        receiver->on_other_head(headers);
    if (this->closed || !this->listener)
        return;
    if (response_of == response_owner::unknown)
    {
        this->owner->counts.unidentified_responses++;
        return this->end(call_end::broken,
                         "response without " + this->echoed_header);
    }
    this->skipping = !own || !receiver->on_head(status, headers);
    this->first_response = this->first_response && interim;
    if (!this->skipping)
        return;
    this->skipped++;
    this->owner->counts.skipped_responses++;
}

response_owner
async_client::connection::owner_of(const header_list& headers) const
{
    if (this->echoed_header.empty())
        return response_owner::this_call;
    auto echoed = headers.get(this->echoed_header);
    if (echoed.empty())
        return this->first_response ? response_owner::this_call
                                    : response_owner::unknown;
    return echoed == this->echoed_value ? response_owner::this_call
                                        : response_owner::another_call;
}

// A response without the echoed header could come once more as the next
// call's.
bool async_client::connection::echoes() const
{
    return this->echoed_header.empty() ||
           !this->parsed_headers().get(this->echoed_header).empty();
}

void async_client::connection::deliver_body()
{
    if (!this->head_delivered)
        return;
    auto& text = this->reading->get().body();
    if (text.empty())
        return;
    std::string piece;
    piece.swap(text);
    this->body_bytes += piece.size();
    if (this->skipping || this->body_bytes > this->body_limit)
        return;
    auto receiver = this->listener;
    receiver->on_body(piece);
}

header_list async_client::connection::parsed_headers() const
{
    header_list headers;
    for (const auto& field : this->reading->get())
        headers.add({field.name_string().data(), field.name_string().size()},
                    {field.value().data(), field.value().size()});
    return headers;
}

void async_client::connection::on_read_error(error_code error)
{
    if (error == asio::error::eof && this->head_delivered && !this->skipping)
    {
        error_code at_end;
        this->reading->put_eof(at_end);
        if (!at_end && this->reading->is_done())
        {
            this->usable_until = steady::time_point::min();
            return this->end(call_end::complete, {});
        }
    }
    this->end(call_end::closed, error.message());
}

void async_client::connection::end(call_end result, std::string_view detail)
{
    auto self = this->shared_from_this();
    auto ended_listener = std::move(this->listener);
    this->listener = nullptr;
    bool surplus = this->buffer.size() > 0;
    if (surplus)
        this->owner->counts.surplus_bytes += this->buffer.size();
    bool reusable = result == call_end::complete && this->written && !surplus &&
                    this->reading->keep_alive() && this->echoes() &&
                    this->carried_values.size() < identified_call_limit &&
                    this->usable_until != steady::time_point::min();
    if (reusable)
        this->store_idle();
    else
        this->close();
    if (ended_listener)
        ended_listener->on_end(result, detail);
}

void async_client::connection::store_idle()
{
    auto limit = keep_alive_time(this->parsed_headers());
    this->usable_until = steady::now() + limit - close_margin;
    auto& idle_connections = this->owner->idle_connections[this->key];
    if (limit <= close_margin ||
        idle_connections.size() >= idle_connection_limit)
        return this->close();
    idle_connections.push_back(this->shared_from_this());
    this->watch_idle();
}

void async_client::connection::watch_idle()
{
    auto self = this->shared_from_this();
    this->socket.async_wait(tcp::socket::wait_read,
                            [self, idle_call = this->call_number](error_code)
                            {
                                // On an idle connection, received bytes or a
                                // close by the peer belong to no request.
                                if (idle_call == self->call_number &&
                                    !self->listener)
                                    self->close();
                            });
}

void async_client::connection::close()
{
    if (this->closed)
        return;
    this->closed = true;
    this->listener = nullptr;
    this->timer.cancel();
    auto ended_pause = std::move(this->paused_self);
    error_code ignored;
    this->socket.close(ignored);
    this->leave_idle();
}

void async_client::connection::leave_idle()
{
    auto found = this->owner->idle_connections.find(this->key);
    if (found == this->owner->idle_connections.end())
        return;
    std::erase(found->second, this->shared_from_this());
    if (found->second.empty())
        this->owner->idle_connections.erase(found);
}

std::shared_ptr<async_client::connection>
async_client::state::find_idle(std::string_view key,
                               const client_request& outgoing) const
{
    auto found = this->idle_connections.find(key);
    if (found == this->idle_connections.end())
        return nullptr;
    auto can_identify = [&outgoing](const auto& candidate)
    { return candidate->can_identify(outgoing); };
    const auto& idle = found->second;
    auto newest = std::find_if(idle.rbegin(), idle.rend(), can_identify);
    return newest == idle.rend() ? nullptr : *newest;
}

async_client::async_client(asio::io_context& loop)
    : held(std::make_shared<state>(loop))
{
}

async_client::~async_client()
{
    while (!this->held->idle_connections.empty())
        this->close_idle(
            std::string(this->held->idle_connections.begin()->first));
}

std::shared_ptr<client_call>
async_client::start(std::string_view key, const std::string& address,
                    const client_request& outgoing,
                    std::shared_ptr<call_listener> listener)
{
    std::shared_ptr<connection> selected;
    while (auto idle = this->held->find_idle(key, outgoing))
    {
        idle->leave_idle();
        if (idle->usable())
        {
            selected = idle;
            break;
        }
        idle->close();
    }
    if (selected)
        selected->send(outgoing, std::move(listener));
    else
    {
        selected = std::make_shared<connection>(this->held, std::string(key));
        selected->connect(address, outgoing, std::move(listener));
    }
    // The connection of an ended call may be in use by a later call, which
    // cancelling the ended one must not close.
    std::weak_ptr<connection> weak = selected;
    auto call_number = selected->current_call_number();
    auto action = [weak, call_number](void (connection::*perform)())
    {
        return [weak, call_number, perform]
        {
            auto running = weak.lock();
            if (running && running->runs_call(call_number))
                (*running.*perform)();
        };
    };
    return std::make_shared<running_call>(action(&connection::close),
                                          action(&connection::pause),
                                          action(&connection::resume));
}

void async_client::close_idle(std::string_view key)
{
    auto found = this->held->idle_connections.find(key);
    if (found == this->held->idle_connections.end())
        return;
    auto closing = found->second;
    for (const auto& idle_connection : closing)
        idle_connection->close();
}

const client_counts& async_client::counts() const
{
    return this->held->counts;
}

} // namespace amaranthhatch::http
