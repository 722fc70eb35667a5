#include <sys/socket.h>

#include <boost/asio/post.hpp>

#include "http/server_session.hpp"

namespace amaranthhatch::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using steady = std::chrono::steady_clock;

namespace
{

// Versions as the parser gives them.
constexpr unsigned http_1_1 = 11;
// Another host can take the request at once.
constexpr std::string_view retry_after_stop = "0.1";
// Time after which a caller may find memory for its request.
constexpr std::string_view retry_after_memory = "1";
constexpr std::size_t read_block_bytes = 16u << 10;
// Blocks that are read from one connection before others get their turn.
constexpr int blocks_in_a_row = 4;
// A read buffer takes this beyond a head of the longest size. Trailers and
// chunk extensions have to fit as well, since they are parsed as a whole.
constexpr std::size_t buffer_margin_bytes = 4u << 10;
// Chunk framing may take eight bytes for each byte of the body, and this once.
// A chunk of one byte takes five.
constexpr std::size_t framing_allowance_bytes = 64u << 10;
constexpr std::size_t framing_bytes_per_byte = 8;
// Parsed headers take about as much memory as their text once more.
constexpr std::size_t parsed_head_copies = 2;
// A request that was read is copied once to be passed on.
constexpr std::size_t body_copies = 2;
// Lowest rate of a body, measured over rate_window: a caller may pause for some
// seconds, as 5 s ended slow uploads of a few bytes. Links between regions give
// a caller a hundred times as much.
constexpr std::size_t least_bytes_per_second = 1024;
constexpr std::chrono::seconds rate_window{10};
// What a refused caller still sends is dropped for this time and up to this
// many bytes, since a close with unread bytes resets the connection, which may
// hide the response.
constexpr std::chrono::seconds drain_time{2};
constexpr std::size_t drain_limit_bytes = 16u << 20;

bool is_syntax_error(error_code error)
{
    return error.category() ==
           make_error_code(beast::http::error::bad_method).category();
}

} // namespace

void async_server::session::read_next()
{
    auto limits = this->owner->limits();
    this->reading = std::make_unique<parser>();
    this->reading->header_limit(
        static_cast<std::uint32_t>(limits.header_bytes));
    this->reading->body_limit(limits.body_bytes);
    this->reading->eager(true);
    this->buffer.max_size(limits.header_bytes + buffer_margin_bytes);
    // A connection that waits for its next request holds no memory for it.
    if (this->buffer.size() == 0)
        this->buffer.shrink_to_fit();
    this->head_seen = false;
    this->old_version = false;
    this->head_request = false;
    this->framing = body_framing::length;
    this->parsed_bytes = 0;
    this->head_bytes = 0;
    this->announced.reset();
    this->waiting_since = steady::now();
    this->deadline = this->waiting_since + limits.idle_time;
    auto self = this->shared_from_this();
    if (this->buffer.size() > 0)
        return asio::post(this->socket.get_executor(),
                          [self] { self->start_request(); });
    this->socket.async_wait(tcp::socket::wait_read,
                            [self](error_code error)
                            {
                                if (error)
                                    return self->close();
                                self->start_request();
                            });
}

// The time limit for the header starts with its first byte.
void async_server::session::start_request()
{
    if (this->closed)
        return;
    this->head_seen = true;
    auto now = steady::now();
    this->waiting_since = now;
    this->deadline = now + this->owner->limits().header_time;
    if (this->received_bytes)
        this->received_bytes->begin(now);
    if (this->buffer.size() == 0 || this->parse())
        this->read_bytes();
}

void async_server::session::wait_for_bytes()
{
    this->socket.async_wait(tcp::socket::wait_read,
                            [self = this->shared_from_this()](error_code error)
                            {
                                if (error)
                                    return self->close();
                                self->read_bytes();
                            });
}

// The buffer is used only while there are bytes to read, so that it may be
// released at any other time.
void async_server::session::read_bytes()
{
    if (this->closed || this->refused_unread)
        return;
    for (int block = 0; block < blocks_in_a_row; block++)
        if (!this->read_block())
            return;
    this->wait_for_bytes();
}

// True if the next block may be read at once.
bool async_server::session::read_block()
{
    auto room = this->buffer.max_size() - this->buffer.size();
    if (room == 0)
    {
        this->refuse_unread(431, "headers or trailers over the limit\n",
                            "trailers");
        return false;
    }
    error_code error;
    auto space = this->buffer.prepare(std::min(room, read_block_bytes));
    auto count = this->socket.read_some(space, error);
    if (error == asio::error::would_block || error == asio::error::interrupted)
    {
        this->wait_for_bytes();
        return false;
    }
    if (error)
    {
        this->close();
        return false;
    }
    this->buffer.commit(count);
    return this->parse();
}

// True if the request isn't complete and more bytes are needed.
bool async_server::session::parse()
{
    while (this->buffer.size() > 0)
    {
        bool in_head = !this->reading->is_header_done();
        error_code error;
        auto used = this->reading->put(this->buffer.data(), error);
        this->buffer.consume(used);
        this->parsed_bytes += used;
        if (error && error != beast::http::error::need_more)
        {
            this->on_parse_error(error);
            return false;
        }
        if (in_head && this->reading->is_header_done())
            this->on_head();
        if (this->closed)
            return false;
        if (this->reading->is_done())
        {
            this->on_request();
            return false;
        }
        if (used == 0 || error == beast::http::error::need_more)
            break;
    }
    this->count_received();
    return !this->closed && !this->refused_unread;
}

void async_server::session::on_parse_error(error_code error)
{
    if (error == beast::http::error::header_limit)
        return this->refuse_unread(431, "headers over the limit", "head");
    if (error == beast::http::error::body_limit)
        return this->refuse_unread(413, "body over the limit", "body");
    if (!is_syntax_error(error))
        return this->close();
    this->refuse_unread(400, "not an HTTP/1.1 request", "syntax");
}

void async_server::session::on_head()
{
    auto now = steady::now();
    this->deadline = now + this->owner->limits().idle_time;
    this->rate_checked_at = now;
    this->rate_checked_bytes = this->parsed_bytes;
    this->head_bytes = this->parsed_bytes - this->reading->get().body().size();
    if (auto length = this->reading->content_length())
        this->announced = *length;
    this->old_version = this->reading->get().version() < http_1_1;
    this->head_request =
        this->reading->get().method() == beast::http::verb::head;
    if (!this->old_version && !this->reading->is_done() &&
        beast::iequals(this->reading->get()[beast::http::field::expect],
                       "100-continue"))
    {
        // The end of the connection's previous response would else be taken for
        // the end of this one.
        this->response_ended = false;
        this->unsent += "HTTP/1.1 100 Continue\r\n\r\n";
        this->flush();
    }
}

// The budget may end this request.
void async_server::session::count_received()
{
    const auto& body = this->reading->get().body();
    auto head = this->reading->is_header_done() ? this->head_bytes : 0;
    auto overhead = this->parsed_bytes - head -
                    std::min(body.size(), this->parsed_bytes - head);
    if (this->reading->is_header_done() &&
        overhead >
            framing_allowance_bytes + framing_bytes_per_byte * body.size())
        return this->refuse_unread(400, "chunk framing over the limit\n",
                                   "framing");
    if (!this->received_bytes)
        return;
    std::optional<std::size_t> remaining;
    if (this->announced)
        remaining = *this->announced - std::min(*this->announced, body.size());
    this->received_bytes->update(this->buffer.capacity() + body.capacity() +
                                     head * parsed_head_copies,
                                 this->parsed_bytes, remaining, steady::now());
}

void async_server::session::on_request()
{
    if (this->owner->ending)
    {
        header_list headers;
        headers.add("Retry-After", retry_after_stop);
        return this->refuse(503, "not run: stopping\n", std::move(headers));
    }
    auto& message = this->reading->get();
    auto held = this->buffer.capacity() +
                message.body().capacity() * body_copies +
                this->head_bytes * parsed_head_copies;
    if (this->received_bytes &&
        !this->received_bytes->complete(held, steady::now()))
        return this->refuse_unread(503, "not run: no memory for the request\n",
                                   "memory");
    this->deadline = steady::time_point::max();
    this->current = {};
    this->current.method = std::string(message.method_string());
    this->current.target = std::string(message.target());
    split_target(this->current);
    for (const auto& field : message)
        this->current.headers.add(
            {field.name_string().data(), field.name_string().size()},
            {field.value().data(), field.value().size()});
    this->current.body = std::move(message.body());
    this->caller_closes = !message.keep_alive();
    this->response_begun = false;
    this->response_ended = false;
    this->response_whole = false;
    this->counted = true;
    this->fresh = false;
    this->owner->in_flight++;
    this->handle_request();
}

void async_server::session::refuse(int status, std::string_view reason,
                                   header_list headers)
{
    this->response_begun = false;
    this->response_ended = false;
    this->caller_closes = true;
    headers.add("Content-Type", "text/plain");
    this->respond(status, headers, reason);
}

void async_server::session::refuse_unread(int status, std::string_view reason,
                                          std::string_view counted_as)
{
    if (this->closed || this->refused_unread || this->counted)
        return;
    this->refused_unread = true;
    this->reading.reset();
    this->buffer.clear();
    this->buffer.shrink_to_fit();
    if (this->received_bytes)
        this->received_bytes->release();
    this->deadline = steady::now() + drain_time;
    this->owner->refused(counted_as, this->socket);
    header_list headers;
    if (status == 503)
        headers.add("Retry-After", retry_after_memory);
    this->refuse(status, reason, std::move(headers));
}

void async_server::session::drain()
{
    if (this->closed)
        return;
    this->draining = true;
    error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    this->read_dropped();
}

void async_server::session::read_dropped()
{
    if (this->closed)
        return;
    auto& block = this->owner->dropped;
    for (int at = 0; at < blocks_in_a_row; at++)
    {
        error_code error;
        auto count = this->socket.read_some(asio::buffer(block), error);
        if (error == asio::error::would_block)
            break;
        this->dropped_bytes += count;
        if (error || this->dropped_bytes > drain_limit_bytes)
            return this->close();
    }
    this->socket.async_wait(tcp::socket::wait_read,
                            [self = this->shared_from_this()](error_code error)
                            {
                                if (error)
                                    return self->close();
                                self->read_dropped();
                            });
}

void async_server::session::check_time(steady::time_point now)
{
    bool in_body = this->reading && this->head_seen && !this->counted &&
                   !this->refused_unread && this->reading->is_header_done();
    error_code error;
    if (now > this->deadline)
        return in_body ? this->refuse_unread(408, "not run: body too slow\n",
                                             "body_time")
                       : this->close();
    if (!in_body || now - this->rate_checked_at < rate_window)
        return;
    auto received = this->parsed_bytes - this->rate_checked_bytes;
    constexpr auto least = least_bytes_per_second * rate_window.count();
    // Bytes may wait because this process was paused.
    if (received < least && this->socket.available(error) == 0)
        return this->refuse_unread(408, "not run: body too slow\n",
                                   "body_rate");
    this->rate_checked_at = now;
    this->rate_checked_bytes = this->parsed_bytes;
}

} // namespace amaranthhatch::http
