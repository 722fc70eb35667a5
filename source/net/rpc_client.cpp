#include "net/rpc_client.hpp"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <iterator>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include <nng/nng.h>
#include <nng/protocol/reqrep0/req.h>

namespace amaranthhatch::net
{

namespace
{

constexpr std::size_t frame_limit_bytes = 64u << 20;
constexpr nng_duration reconnect_least_ms = 20;
constexpr nng_duration reconnect_most_ms = 500;
constexpr nng_duration never_resend_ms = 3'600'000;
constexpr std::chrono::milliseconds reap_interval{200};

// One connection to a peer. The socket is closed when the last open request on
// it has ended, never from inside a callback of its own.
struct connection
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    bool usable = false;

    explicit connection(const std::string& address)
    {
        if (nng_req0_open(&this->socket) != 0)
            return;
        nng_socket_set_size(this->socket, NNG_OPT_RECVMAXSZ, frame_limit_bytes);
        nng_socket_set_ms(this->socket, NNG_OPT_RECONNMINT, reconnect_least_ms);
        nng_socket_set_ms(this->socket, NNG_OPT_RECONNMAXT, reconnect_most_ms);
        nng_socket_set_ms(this->socket, NNG_OPT_REQ_RESENDTIME,
                          never_resend_ms);
        std::string url = "tcp://" + address;
        this->usable = nng_dial(this->socket, url.c_str(), nullptr,
                                NNG_FLAG_NONBLOCK) == 0;
    }

    ~connection() { nng_close(this->socket); }
};

} // namespace

struct rpc_client::state
{
    std::mutex guard;
    std::condition_variable idle;
    std::map<std::string, std::shared_ptr<connection>, std::less<>> peers;
    std::vector<std::shared_ptr<connection>> retired;
    int open_requests = 0;
    std::atomic<std::uint64_t> bytes{0};

    bool stopping = false;
    std::condition_variable stop;
    std::thread reaper;

    std::shared_ptr<connection> connect(const std::string& address)
    {
        std::lock_guard lock(this->guard);
        auto& found = this->peers[address];
        if (!found)
            found = std::make_shared<connection>(address);
        return found;
    }

    // Closing a socket waits for its callbacks, which need the lock, so
    // retired connections are closed on a thread of their own without it.
    void reap()
    {
        std::unique_lock lock(this->guard);
        while (!this->stopping)
        {
            this->stop.wait_for(lock, reap_interval);
            std::vector<std::shared_ptr<connection>> closing;
            auto unused = std::partition(
                this->retired.begin(), this->retired.end(),
                [](const auto& held) { return held.use_count() > 1; });
            closing.assign(std::make_move_iterator(unused),
                           std::make_move_iterator(this->retired.end()));
            this->retired.erase(unused, this->retired.end());
            lock.unlock();
            closing.clear();
            lock.lock();
        }
    }

    void replace(const std::string& address,
                 const std::shared_ptr<connection>& silent)
    {
        std::lock_guard lock(this->guard);
        auto found = this->peers.find(address);
        if (found == this->peers.end() || found->second != silent)
            return;
        this->retired.push_back(std::move(found->second));
        this->peers.erase(found);
    }

    void ended()
    {
        std::lock_guard lock(this->guard);
        --this->open_requests;
        this->idle.notify_all();
    }
};

namespace
{

template <typename State>
struct open_request
{
    std::shared_ptr<State> owner;
    std::shared_ptr<connection> over;
    std::string address;
    nng_ctx context = NNG_CTX_INITIALIZER;
    nng_aio* aio = nullptr;
    bool receiving = false;
    rpc_client::callback done;
    std::chrono::steady_clock::time_point end;

    void completed()
    {
        int code = nng_aio_result(this->aio);
        if (code != 0)
        {
            if (!this->receiving)
                nng_msg_free(nng_aio_get_msg(this->aio));
            if (code == NNG_ETIMEDOUT)
                this->owner->replace(this->address, this->over);
            this->finish(std::nullopt);
            return;
        }
        if (!this->receiving)
        {
            this->receiving = true;
            auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                this->end - std::chrono::steady_clock::now());
            auto limit = std::max<std::int64_t>(left.count(), 1);
            nng_aio_set_timeout(this->aio, static_cast<nng_duration>(limit));
            nng_ctx_recv(this->context, this->aio);
            return;
        }
        nng_msg* message = nng_aio_get_msg(this->aio);
        std::string frame(static_cast<const char*>(nng_msg_body(message)),
                          nng_msg_len(message));
        nng_msg_free(message);
        this->owner->bytes += frame.size();
        this->finish(std::move(frame));
    }

    void finish(std::optional<std::string> frame)
    {
        auto call = std::move(this->done);
        auto state = this->owner;
        nng_ctx_close(this->context);
        nng_aio_reap(this->aio);
        this->over.reset();
        delete this;
        call(std::move(frame));
        state->ended();
    }
};

} // namespace

rpc_client::rpc_client() : held(std::make_shared<state>())
{
    this->held->reaper =
        std::thread([state = this->held.get()] { state->reap(); });
}

rpc_client::~rpc_client()
{
    {
        std::unique_lock lock(this->held->guard);
        this->held->idle.wait(lock, [this]
                              { return this->held->open_requests == 0; });
        this->held->stopping = true;
    }
    this->held->stop.notify_all();
    this->held->reaper.join();
}

void rpc_client::post(const std::string& address, std::string_view frame,
                      std::chrono::milliseconds limit, callback done)
{
    using request = open_request<state>;
    auto over = this->held->connect(address);
    auto* started = new request;
    started->owner = this->held;
    started->over = over;
    started->address = address;
    started->done = std::move(done);
    started->end = std::chrono::steady_clock::now() + limit;
    {
        std::lock_guard lock(this->held->guard);
        ++this->held->open_requests;
    }
    auto callback = [](void* target)
    { static_cast<request*>(target)->completed(); };
    nng_aio_alloc(&started->aio, callback, started);
    nng_msg* message = nullptr;
    nng_msg_alloc(&message, 0);
    nng_msg_append(message, frame.data(), frame.size());
    this->held->bytes += frame.size();
    if (!over->usable || nng_ctx_open(&started->context, over->socket) != 0)
    {
        nng_msg_free(message);
        started->finish(std::nullopt);
        return;
    }
    nng_aio_set_timeout(started->aio, static_cast<nng_duration>(limit.count()));
    nng_aio_set_msg(started->aio, message);
    nng_ctx_send(started->context, started->aio);
}

std::uint64_t rpc_client::bytes() const
{
    return this->held->bytes;
}

std::optional<std::string> rpc_client::ask(const std::string& address,
                                           std::string_view frame,
                                           std::chrono::milliseconds limit)
{
    struct waiter
    {
        std::mutex guard;
        std::condition_variable ready;
        bool ended = false;
        std::optional<std::string> frame;
    };
    auto shared = std::make_shared<waiter>();
    this->post(address, frame, limit,
               [shared](std::optional<std::string> got)
               {
                   std::lock_guard lock(shared->guard);
                   shared->frame = std::move(got);
                   shared->ended = true;
                   shared->ready.notify_all();
               });
    std::unique_lock lock(shared->guard);
    shared->ready.wait(lock, [&] { return shared->ended; });
    return std::move(shared->frame);
}

} // namespace amaranthhatch::net
