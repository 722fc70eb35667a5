#include "http/async_server.hpp"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "errors/failure.hpp"
#include "http/server_session.hpp"
#include "http/socket_options.hpp"

namespace amaranthhatch::http
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using steady = std::chrono::steady_clock;

namespace
{

// Interval at which the time limits of connections are checked. The limits are
// whole seconds, so that a quarter second is accurate enough.
constexpr std::chrono::milliseconds sweep_interval{250};
// The same once the server stops, as the process waits for the last ones.
constexpr std::chrono::milliseconds stopping_sweep_interval{20};
constexpr int listen_backlog = 1024;
// Time after which a failed accept is tried again.
constexpr std::chrono::milliseconds accept_pause{50};
// Share of the connections that are closed at once to make room.
constexpr std::size_t closed_share = 16;
constexpr std::string_view connections_refusal =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    "Content-Length: 0\r\nConnection: close\r\n\r\n";

} // namespace

void async_server::state::accept(const std::shared_ptr<state>& self)
{
    this->acceptor.async_accept(
        [self](error_code error, tcp::socket accepted)
        {
            if (!error)
                self->serve(self, std::move(accepted));
            if (self->stopped)
                return;
            if (!error)
                return self->accept(self);
            // The process may have no descriptor left; the connection stays in
            // the queue, and the next accept would fail at once.
            self->accept_timer.expires_after(accept_pause);
            self->accept_timer.async_wait(
                [self](error_code cancelled)
                {
                    if (!cancelled && !self->stopped)
                        self->accept(self);
                });
        });
}

void async_server::state::serve(const std::shared_ptr<state>& self,
                                tcp::socket accepted)
{
    error_code error;
    accepted.non_blocking(true, error);
    set_traffic_options(accepted);
    if (!this->make_room())
    {
        this->refused("connections", accepted);
        accepted.write_some(asio::buffer(connections_refusal), error);
        return;
    }
    std::make_shared<session>(std::move(accepted), self)->read_next();
}

// Several are closed at once, as looking for them takes time for each
// connection.
bool async_server::state::make_room()
{
    auto most = this->bounds.connections;
    if (most == 0 || this->sessions.size() < most)
        return true;
    using expendable = session::expendable;
    struct candidate
    {
        expendable kind;
        steady::time_point since;
        std::shared_ptr<session> connection;
    };
    auto now = steady::now();
    std::vector<candidate> candidates;
    for (session* each : this->sessions)
        if (auto kind = each->expendability(now); kind != expendable::no)
            candidates.push_back(
                {kind, each->waits_since(), each->shared_from_this()});
    auto count = std::min(candidates.size(), most / closed_share + 1);
    auto last = candidates.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(candidates.begin(), last, candidates.end(),
                      [](const candidate& left, const candidate& right)
                      {
                          return std::tie(left.kind, left.since) <
                                 std::tie(right.kind, right.since);
                      });
    candidates.erase(last, candidates.end());
    for (const auto& each : candidates)
    {
        if (each.kind != expendable::draining)
            this->refused(each.kind == expendable::idle ? "idle" : "slow_head",
                          each.connection->peer());
        each.connection->close();
    }
    return count > 0;
}

void async_server::state::refused(std::string_view reason,
                                  const tcp::socket& caller) const
{
    if (!this->bounds.refused)
        return;
    error_code error;
    auto peer = caller.remote_endpoint(error);
    this->bounds.refused(reason,
                         error ? "unknown" : peer.address().to_string());
}

// Callers whose connections wait in the queue have been told that they are
// connected; closing the socket would reset them.
void async_server::state::accept_queued(const std::shared_ptr<state>& self)
{
    error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error)
    {
        tcp::socket accepted(this->loop);
        this->acceptor.accept(accepted, error);
        if (!error)
            this->serve(self, std::move(accepted));
    }
}

void async_server::state::sweep(const std::shared_ptr<state>& self)
{
    this->timer.expires_after(self->stopped ? stopping_sweep_interval
                                            : sweep_interval);
    this->timer.async_wait(
        [self](error_code error)
        {
            if (error)
                return;
            auto now = steady::now();
            std::vector<std::shared_ptr<session>> open;
            for (session* open_session : self->sessions)
                open.push_back(open_session->shared_from_this());
            for (const auto& open_session : open)
            {
                open_session->check_time(now);
                if (self->stopped)
                    open_session->close_if_idle();
            }
            self->sweep(self);
        });
}

async_server::async_server(asio::io_context& loop, const std::string& address,
                           limit_source limits, handler handle,
                           std::shared_ptr<response_budget> budget,
                           server_bounds bounds)
    : held(std::make_shared<state>(loop, std::move(limits), std::move(handle),
                                   std::move(budget), std::move(bounds)))
{
    auto endpoint = parse_endpoint(address);
    error_code error;
    auto& acceptor = this->held->acceptor;
    acceptor.open(endpoint.protocol(), error);
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(listen_backlog, error);
    if (error)
        throw errors::failure("listen", address,
                              "the address can't be used; choose a free one");
    this->held->accept(this->held);
    this->held->sweep(this->held);
}

async_server::~async_server()
{
    this->stop_listening();
    this->held->timer.cancel();
    this->held->accept_timer.cancel();
}

void async_server::close_after_responses()
{
    this->held->closing = true;
}

void async_server::stop_listening()
{
    if (!this->held->stopped)
        this->held->accept_queued(this->held);
    this->held->stopped = true;
    error_code ignored;
    this->held->acceptor.close(ignored);
    std::vector<std::shared_ptr<session>> open;
    for (session* open_session : this->held->sessions)
        open.push_back(open_session->shared_from_this());
    for (const auto& open_session : open)
        open_session->close_if_idle();
    this->held->sweep(this->held);
}

void async_server::end_requests()
{
    this->held->closing = true;
    this->held->ending = true;
    std::vector<std::shared_ptr<session>> open;
    for (session* open_session : this->held->sessions)
        open.push_back(open_session->shared_from_this());
    for (const auto& open_session : open)
        open_session->end_request();
}

bool async_server::busy() const
{
    // Once stopped, a connection that is open could still bring a request that
    // nobody would wait for.
    bool stopped = this->held->stopped;
    return std::any_of(this->held->sessions.begin(), this->held->sessions.end(),
                       [stopped](const session* each)
                       { return stopped ? !each->is_closed() : each->busy(); });
}

std::size_t async_server::in_flight() const
{
    return this->held->in_flight;
}

std::size_t async_server::connections() const
{
    return this->held->sessions.size();
}

} // namespace amaranthhatch::http
