#include "http/server.hpp"

#include <algorithm>
#include <atomic>
#include <future>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "errors/contain.hpp"
#include "http/async_server.hpp"
#include "http/descriptor_limit.hpp"

namespace amaranthhatch::http
{

namespace
{

// The server reads no more of a streamed body while more than this is unsent.
constexpr std::size_t unsent_limit_bytes = 1u << 20;
constexpr std::chrono::milliseconds unsent_poll{5};
constexpr std::chrono::milliseconds idle_limit{60000};
// Memory for requests that are being received and handled. It is raised to hold
// two of the longest.
constexpr std::size_t request_memory_bytes = 64u << 20;
// Share of the descriptors for callers; the rest is for outgoing calls.
constexpr std::size_t connection_share = 2;

} // namespace

/// @brief Runs the event loop on one thread and the handler of each request,
/// which may block, on another.
struct server::state : std::enable_shared_from_this<server::state>
{
    server_options options;
    handler handle;
    boost::asio::io_context loop{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        guard{loop.get_executor()};
    std::unique_ptr<async_server> listener;
    std::atomic<int> in_flight{0};
    std::atomic<int> handlers{0};
    std::thread thread;

    void start_handler(const std::shared_ptr<server_exchange>& exchange);
    void run_handler(const std::shared_ptr<server_exchange>& exchange,
                     const request& received);
    void send_stream(const std::shared_ptr<server_exchange>& exchange,
                     response& result, const std::atomic<bool>& disconnected);
    void post(std::function<void()> work)
    {
        boost::asio::post(this->loop, std::move(work));
    }
};

void server::state::start_handler(
    const std::shared_ptr<server_exchange>& exchange)
{
    this->in_flight++;
    this->handlers++;
    auto start = [&]
    {
        std::thread(
            [self = this->shared_from_this(), exchange,
             received = exchange->received_request()]
            {
                self->run_handler(exchange, received);
                self->handlers--;
            })
            .detach();
    };
    if (errors::contain("start a thread for a request", start))
        return;
    this->handlers--;
    this->in_flight--;
    header_list headers;
    headers.add("Retry-After", "1");
    exchange->respond(503, headers, "not run: no thread is free\n");
}

void server::state::run_handler(
    const std::shared_ptr<server_exchange>& exchange, const request& received)
{
    auto disconnected = std::make_shared<std::atomic<bool>>(false);
    this->post(
        [exchange, disconnected] {
            exchange->on_disconnect([disconnected]
                                    { disconnected->store(true); });
        });
    response result;
    bool handled = errors::contain("handle a request",
                                   [&] { result = this->handle(received); });
    if (!handled)
    {
        result = {};
        result.status = 500;
        result.body = "unexpected error; may have run\n";
    }
    if (result.stream)
        this->send_stream(exchange, result, *disconnected);
    else
    {
        auto complete = std::make_shared<response>(std::move(result));
        this->post(
            [exchange, complete] {
                exchange->respond(complete->status, complete->headers,
                                  complete->body);
            });
    }
    this->post([self = this->shared_from_this()] { self->in_flight--; });
}

void server::state::send_stream(
    const std::shared_ptr<server_exchange>& exchange, response& result,
    const std::atomic<bool>& disconnected)
{
    this->post([exchange, status = result.status, headers = result.headers]
               { exchange->begin(status, headers); });
    auto state = body_source::state::data;
    while (state == body_source::state::data && !disconnected)
    {
        std::string chunk;
        state = result.stream->read(chunk);
        if (chunk.empty())
            continue;
        auto unsent_promise = std::make_shared<std::promise<std::size_t>>();
        auto unsent = unsent_promise->get_future();
        this->post(
            [exchange, unsent_promise, chunk = std::move(chunk)]
            {
                exchange->write(chunk);
                unsent_promise->set_value(exchange->unsent_bytes());
            });
        while (unsent.get() > unsent_limit_bytes && !disconnected)
        {
            std::this_thread::sleep_for(unsent_poll);
            auto poll_promise = std::make_shared<std::promise<std::size_t>>();
            unsent = poll_promise->get_future();
            this->post([exchange, poll_promise]
                       { poll_promise->set_value(exchange->unsent_bytes()); });
        }
    }
    bool complete = state == body_source::state::end;
    this->post([exchange, complete]
               { complete ? exchange->finish() : exchange->abort(); });
}

server::server(server_options options, handler handle)
    : held(std::make_shared<state>())
{
    auto& self = *this->held;
    self.options = std::move(options);
    self.handle = std::move(handle);
    auto limits = [body = self.options.body_limit_bytes]
    {
        server_limits out;
        out.body_bytes = body;
        out.idle_time = idle_limit;
        out.header_time = idle_limit;
        return out;
    };
    server_bounds bounds;
    bounds.requests = std::make_shared<request_budget>(
        std::max(request_memory_bytes, 2 * self.options.body_limit_bytes));
    bounds.connections = descriptor_limit(0) / connection_share;
    self.listener = std::make_unique<async_server>(
        self.loop, self.options.address, limits,
        [state = this->held.get()](std::shared_ptr<server_exchange> exchange)
        { state->start_handler(exchange); },
        nullptr, std::move(bounds));
    self.thread =
        std::thread([state = this->held.get()] { state->loop.run(); });
}

server::~server()
{
    // Running handlers end by their own time limits; their responses may then
    // not be sent any more.
    constexpr std::chrono::milliseconds poll{5};
    this->stop_listening();
    while (this->held->handlers > 0)
        std::this_thread::sleep_for(poll);
    this->held->post([state = this->held.get()] { state->listener.reset(); });
    this->held->guard.reset();
    this->held->post([state = this->held.get()] { state->loop.stop(); });
    this->held->thread.join();
}

void server::stop_listening()
{
    this->held->post([state = this->held.get()]
                     { state->listener->stop_listening(); });
}

void server::close_after_responses()
{
    this->held->post([state = this->held.get()]
                     { state->listener->close_after_responses(); });
}

int server::in_flight() const
{
    return this->held->in_flight.load();
}

bool server::wait_until_idle(std::chrono::milliseconds limit) const
{
    constexpr std::chrono::milliseconds poll{10};
    auto end = std::chrono::steady_clock::now() + limit;
    while (this->in_flight() > 0)
    {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(poll);
    }
    return true;
}

} // namespace amaranthhatch::http
