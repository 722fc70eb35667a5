#include "http/buffered_call.hpp"

#include <boost/asio/steady_timer.hpp>

namespace amaranthhatch::http
{

namespace
{

class collector : public call_listener,
                  public std::enable_shared_from_this<collector>
{
public:
    collector(boost::asio::io_context& loop,
              std::function<void(buffered_response)> done)
        : timer(loop), done(std::move(done))
    {
    }

    void limit(std::chrono::milliseconds time)
    {
        auto self = this->shared_from_this();
        this->timer.expires_after(time);
        this->timer.async_wait(
            [self](boost::system::error_code error)
            {
                if (!error)
                    self->on_timeout();
            });
    }

    bool on_head(int status, const header_list& headers) override
    {
        this->response.status = status;
        this->response.headers = headers;
        return true;
    }

    void on_body(std::string_view piece) override
    {
        this->response.body += piece;
    }

    void on_end(call_end result, std::string_view detail) override
    {
        this->timer.cancel();
        this->call = nullptr;
        auto callback = std::move(this->done);
        this->done = nullptr;
        if (!callback)
            return;
        this->response.result = result;
        this->response.detail = detail;
        callback(std::move(this->response));
    }

    std::shared_ptr<client_call> call;

private:
    void on_timeout()
    {
        if (this->call)
            this->call->cancel();
        this->on_end(call_end::broken, "timeout");
    }

    boost::asio::steady_timer timer;
    std::function<void(buffered_response)> done;
    buffered_response response;
};

class cancellable_call : public client_call
{
public:
    explicit cancellable_call(std::shared_ptr<collector> running)
        : running(std::move(running))
    {
    }
    void cancel() override
    {
        if (this->running->call)
            this->running->call->cancel();
        this->running->on_end(call_end::broken, "cancelled");
    }

private:
    std::shared_ptr<collector> running;
};

} // namespace

std::shared_ptr<client_call>
start_buffered_call(async_client& client, boost::asio::io_context& loop,
                    std::string_view key, const std::string& address,
                    const client_request& outgoing,
                    std::chrono::milliseconds limit,
                    std::function<void(buffered_response)> done)
{
    auto running = std::make_shared<collector>(loop, std::move(done));
    running->limit(limit);
    running->call = client.start(key, address, outgoing, running);
    return std::make_shared<cancellable_call>(running);
}

} // namespace amaranthhatch::http
