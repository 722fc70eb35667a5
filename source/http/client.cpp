#include "http/client.hpp"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/async_client.hpp"

namespace amaranthhatch::http
{

struct stream::state : call_listener
{
    state() : client(loop), timer(loop) {}

    bool on_head(int status, const header_list& headers) override
    {
        this->outcome.status = status;
        this->outcome.headers = headers;
        return true;
    }

    void on_body(std::string_view piece) override
    {
        this->received_body += piece;
        this->loop.stop();
    }

    void on_end(call_end result, std::string_view detail) override
    {
        constexpr progress reached[] = {progress::answered, progress::not_sent,
                                        progress::unknown, progress::unknown};
        this->ended = true;
        this->outcome.reached = reached[static_cast<std::size_t>(result)];
        this->outcome.detail = detail;
        this->timer.cancel();
        this->loop.stop();
    }

    void on_timeout()
    {
        this->call->cancel();
        this->on_end(call_end::broken, "call timeout");
    }

    boost::asio::io_context loop{1};
    async_client client;
    boost::asio::steady_timer timer;
    std::shared_ptr<client_call> call;
    std::string received_body;
    reply outcome;
    bool ended = false;
};

namespace
{

struct target
{
    std::string address;
    std::string path;
};

target parse_url(std::string_view url)
{
    constexpr std::string_view scheme = "http://";
    if (url.starts_with(scheme))
        url.remove_prefix(scheme.size());
    auto slash = url.find('/');
    if (slash == url.npos)
        return {std::string(url), "/"};
    return {std::string(url.substr(0, slash)), std::string(url.substr(slash))};
}

} // namespace

stream::stream(const call& requested_call) : held(std::make_shared<state>())
{
    auto& self = *this->held;
    auto destination = parse_url(requested_call.url);
    client_request outgoing;
    outgoing.method = requested_call.method;
    outgoing.target = destination.path;
    outgoing.headers = requested_call.headers;
    if (requested_call.headers.get("Host").empty())
        outgoing.headers.add("Host", destination.address);
    outgoing.headers.add("Connection", "close");
    outgoing.connect_limit = requested_call.connect_limit;
    if (!requested_call.body.empty())
        outgoing.body =
            std::make_shared<const std::string>(requested_call.body);
    self.timer.expires_after(requested_call.total_limit);
    self.timer.async_wait(
        [weak = std::weak_ptr(this->held)](boost::system::error_code error)
        {
            auto running = weak.lock();
            if (!error && running && !running->ended)
                running->on_timeout();
        });
    // The state is its own listener. The pointer needn't own it, since the
    // state outlives the loop that calls the listener.
    std::shared_ptr<call_listener> listener(std::shared_ptr<void>(), &self);
    self.call = self.client.start("", destination.address, outgoing, listener);
}

stream::~stream()
{
    if (!this->held->ended)
        this->held->call->cancel();
    this->held->timer.cancel();
    this->held->loop.restart();
    this->held->loop.poll();
}

void stream::pump(std::chrono::milliseconds wait)
{
    auto& self = *this->held;
    if (self.ended || !self.received_body.empty())
        return;
    self.loop.restart();
    if (wait.count() > 0)
        self.loop.run_for(wait);
    else
        self.loop.poll();
}

std::string stream::take()
{
    return std::exchange(this->held->received_body, {});
}

bool stream::ended() const
{
    return this->held->ended;
}

const reply& stream::result() const
{
    return this->held->outcome;
}

reply perform(const call& requested_call)
{
    constexpr std::chrono::milliseconds step{1000};
    stream transfer(requested_call);
    std::string body;
    while (!transfer.ended())
    {
        transfer.pump(step);
        body += transfer.take();
    }
    reply outcome = transfer.result();
    outcome.body = std::move(body);
    return outcome;
}

} // namespace amaranthhatch::http
