#include "http/server_session.hpp"

#include <sys/socket.h>

#include <boost/asio/write.hpp>

#include "errors/contain.hpp"
#include "http/socket_options.hpp"

namespace amaranthhatch::http
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using steady = std::chrono::steady_clock;

namespace
{

// A caller that leaves more than this unread is disconnected; it is twice the
// largest read.
constexpr std::size_t unsent_limit_bytes = 8u << 20;
// Memory of its buffers that a connection keeps for its next response.
constexpr std::size_t kept_buffer_bytes = 64u << 10;
// A caller that has connected sends its request within this time.
constexpr std::chrono::milliseconds first_request_wait{300};
// Ordinary callers send a head as a whole; one that takes longer may be ended
// to make room for another connection.
constexpr std::chrono::seconds slow_head_time{1};

} // namespace

void async_server::session::handle_request()
{
    this->watch_peer();
    bool handled =
        errors::contain("handle a request", [this]
                        { this->owner->handle(this->shared_from_this()); });
    if (!handled)
        this->fail(500, "unexpected error; may have run\n");
}

// The handler may have begun a response, and may have passed the request on.
void async_server::session::fail(int status, std::string_view reason)
{
    if (this->response_begun)
        return this->abort();
    header_list headers;
    headers.add("Content-Type", "text/plain");
    this->respond(status, headers, reason);
}

void async_server::session::end_request()
{
    if (this->closed || !this->counted || this->response_ended)
        return;
    auto stop_handler = std::move(this->stop_handler);
    this->stop_handler = nullptr;
    if (stop_handler)
        errors::contain("end a request", stop_handler);
    if (!this->response_ended)
        this->fail(504, "may have run: stopping\n");
}

bool async_server::session::keep_alive() const
{
    return !this->caller_closes && !this->owner->closing;
}

std::string async_server::session::head(int status, const header_list& headers,
                                        std::size_t length) const
{
    response_form form{this->framing, length, {}};
    if (!this->keep_alive())
        form.connection = "close";
    else if (this->old_version)
        form.connection = "keep-alive";
    return head_text(status, headers, form);
}

void async_server::session::respond(int status, const header_list& headers,
                                    std::string_view body)
{
    if (this->response_ended || this->closed)
        return;
    // A second head would become part of the body that has begun.
    if (this->response_begun)
        return this->abort();
    // The length of a response to HEAD is that of the body which GET would
    // have; the handler of a response without one may not know it.
    bool has_length =
        !is_bodiless(status) && !(this->head_request && body.empty());
    this->framing = has_length ? body_framing::length : body_framing::none;
    this->unsent += this->head(status, headers, body.size());
    if (has_length && !this->head_request)
        this->unsent += body;
    this->end_response();
}

void async_server::session::begin(int status, const header_list& headers)
{
    if (this->response_ended || this->closed)
        return;
    this->response_begun = true;
    this->framing =
        this->old_version ? body_framing::connection_end : body_framing::chunks;
    if (this->head_request || is_bodiless(status))
        this->framing = body_framing::none;
    if (this->framing == body_framing::connection_end)
    {
        this->caller_closes = true;
        set_reset_on_close(this->socket, true);
    }
    this->unsent += this->head(status, headers, 0);
    this->flush();
}

void async_server::session::write(std::string_view piece)
{
    if (this->response_ended || this->closed || piece.empty())
        return;
    if (this->framing == body_framing::none)
        return;
    if (this->framing == body_framing::chunks)
        append_chunk(this->unsent, piece);
    else
        this->unsent += piece;
    if (this->unsent.size() > unsent_limit_bytes)
        return this->handle_disconnect();
    this->flush();
}

void async_server::session::finish()
{
    if (this->response_ended || this->closed)
        return;
    if (this->framing == body_framing::chunks)
        this->unsent += last_chunk;
    this->end_response();
}

void async_server::session::end_response()
{
    this->response_ended = true;
    this->response_whole = true;
    this->clear_callbacks();
    this->close_after_write = !this->keep_alive();
    this->flush();
}

void async_server::session::abort()
{
    if (this->response_ended)
        return;
    this->response_ended = true;
    this->clear_callbacks();
    if (this->cut_unmarked())
        return this->close();
    // Bytes that were written before are sent first; the missing end mark shows
    // the caller that the response is incomplete.
    this->close_after_write = true;
    this->flush();
    if (this->sending.empty())
        this->close();
}

void async_server::session::on_disconnect(std::function<void()> callback)
{
    this->disconnect_handler = std::move(callback);
}

void async_server::session::on_stop(std::function<void()> callback)
{
    this->stop_handler = std::move(callback);
}

void async_server::session::on_written(std::function<void()> callback)
{
    this->written_handler = std::move(callback);
}

void async_server::session::clear_callbacks()
{
    this->disconnect_handler = nullptr;
    this->stop_handler = nullptr;
    this->written_handler = nullptr;
}

void async_server::session::count_unsent()
{
    if (this->held_bytes)
        this->held_bytes->set(this->unsent_bytes());
}

void async_server::session::flush()
{
    this->count_unsent();
    if (!this->sending.empty() || this->unsent.empty() || this->closed)
        return;
    this->sending.swap(this->unsent);
    auto self = this->shared_from_this();
    asio::async_write(this->socket, asio::buffer(this->sending),
                      [self](error_code error, std::size_t)
                      { self->on_sent(error); });
}

void async_server::session::on_sent(error_code error)
{
    // A connection that stays open doesn't keep the memory of a long response.
    if (this->sending.capacity() > kept_buffer_bytes)
        this->sending = {};
    this->sending.clear();
    this->count_unsent();
    if (error)
        return this->handle_disconnect();
    this->flush();
    // The function may end the response.
    auto written = this->written_handler;
    if (written)
        return written();
    if (!this->sending.empty() || !this->response_ended)
        return;
    this->end_exchange();
    if (this->close_after_write)
        return this->refused_unread ? this->drain() : this->close();
    if (!this->closed && this->reading)
    {
        this->reading.reset();
        this->read_next();
    }
}

void async_server::session::watch_peer()
{
    if (this->watching)
        return;
    this->watching = true;
    auto self = this->shared_from_this();
    this->socket.async_wait(tcp::socket::wait_read, [self](error_code error)
                            { self->on_readable(error); });
}

void async_server::session::on_readable(error_code error)
{
    this->watching = false;
    if (this->closed || !this->counted)
        return;
    char byte = 0;
    auto count = error ? -1
                       : recv(this->socket.native_handle(), &byte, 1,
                              MSG_PEEK | MSG_DONTWAIT);
    bool again = count < 0 && !error &&
                 (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    if (again)
        return this->watch_peer();
    // Received bytes of a next request hide a later close by the caller; the
    // write of the response then detects it.
    if (count <= 0)
        this->handle_disconnect();
}

void async_server::session::handle_disconnect()
{
    auto disconnect_handler = std::move(this->disconnect_handler);
    this->clear_callbacks();
    this->response_ended = true;
    this->close();
    if (disconnect_handler)
        disconnect_handler();
}

void async_server::session::end_exchange()
{
    if (!this->counted)
        return;
    this->counted = false;
    this->owner->in_flight--;
    this->current.body = {};
    if (this->received_bytes)
        this->received_bytes->release();
}

void async_server::session::close()
{
    if (this->closed)
        return;
    this->closed = true;
    this->end_exchange();
    if (this->received_bytes)
        this->received_bytes->release();
    error_code ignored;
    if (!this->cut_unmarked())
    {
        if (this->framing == body_framing::connection_end)
            set_reset_on_close(this->socket, false);
        this->socket.shutdown(tcp::socket::shutdown_both, ignored);
    }
    this->socket.close(ignored);
}

// True if an end of the connection in order would make an incomplete response
// look complete.
bool async_server::session::cut_unmarked() const
{
    return this->framing == body_framing::connection_end &&
           (!this->response_whole || this->unsent_bytes() > 0);
}

// A request may have arrived although the loop hasn't read it yet, and the
// first one follows its connection at once.
bool async_server::session::busy() const
{
    if (this->closed || this->draining)
        return false;
    error_code error;
    bool unread = this->buffer.size() > 0 || this->socket.available(error) > 0;
    bool awaited =
        this->fresh && steady::now() - this->accepted_at < first_request_wait;
    return this->counted || this->head_seen || unread || awaited ||
           !this->sending.empty();
}

async_server::session::expendable
async_server::session::expendability(steady::time_point now) const
{
    if (this->draining)
        return expendable::draining;
    if (this->closed || this->counted || !this->sending.empty())
        return expendable::no;
    error_code error;
    bool unread = this->socket.available(error) > 0;
    if (!this->head_seen)
        return this->buffer.size() > 0 || unread ? expendable::no
                                                 : expendable::idle;
    bool in_head = this->reading && !this->reading->is_header_done();
    return in_head && !unread && now - this->waiting_since > slow_head_time
               ? expendable::slow_head
               : expendable::no;
}

void async_server::session::close_if_idle()
{
    if (!this->busy())
        this->close();
}

} // namespace amaranthhatch::http
