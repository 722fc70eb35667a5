#include "net/rpc_server.hpp"

#include <atomic>
#include <cstring>
#include <utility>
#include <vector>

#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>

#include "errors/failure.hpp"

namespace amaranthhatch::net
{

struct reply_handle::slot
{
    enum class phase
    {
        receiving,
        handling,
        sending
    };

    nng_ctx context = NNG_CTX_INITIALIZER;
    nng_aio* aio = nullptr;
    phase now = phase::receiving;
    const rpc_server::handler* handle = nullptr;
    std::atomic<std::uint64_t>* bytes = nullptr;

    void receive()
    {
        this->now = phase::receiving;
        nng_ctx_recv(this->context, this->aio);
    }

    void answer(std::string_view frame)
    {
        nng_msg* message = nullptr;
        if (nng_msg_alloc(&message, 0) != 0)
            return;
        nng_msg_append(message, frame.data(), frame.size());
        *this->bytes += frame.size();
        this->now = phase::sending;
        nng_aio_set_msg(this->aio, message);
        nng_ctx_send(this->context, this->aio);
    }

    void received()
    {
        nng_msg* message = nng_aio_get_msg(this->aio);
        std::string frame(static_cast<const char*>(nng_msg_body(message)),
                          nng_msg_len(message));
        nng_msg_free(message);
        *this->bytes += frame.size();
        this->now = phase::handling;
        (*this->handle)(frame, reply_handle(this));
    }

    void completed()
    {
        int code = nng_aio_result(this->aio);
        if (code == NNG_ECLOSED || code == NNG_ECANCELED)
            return;
        if (this->now == phase::sending)
        {
            if (code != 0)
                nng_msg_free(nng_aio_get_msg(this->aio));
            this->receive();
            return;
        }
        if (code != 0)
        {
            this->receive();
            return;
        }
        this->received();
    }
};

struct rpc_server::state
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    handler handle;
    std::atomic<std::uint64_t> bytes{0};
    std::vector<std::unique_ptr<reply_handle::slot>> slots;
};

namespace
{

// Frames are bounded where they enter, so that a malformed peer can't make a
// process allocate without limit.
constexpr std::size_t frame_limit_bytes = 64u << 20;

void check(int code, const char* step, const std::string& peer)
{
    if (code != 0)
        throw errors::failure(step, peer, nng_strerror(code));
}

} // namespace

reply_handle::reply_handle(reply_handle&& other) noexcept : owner(other.owner)
{
    other.owner = nullptr;
}

reply_handle::~reply_handle()
{
    if (this->owner != nullptr)
        this->send({});
}

void reply_handle::send(std::string_view frame)
{
    slot* target = std::exchange(this->owner, nullptr);
    if (target != nullptr)
        target->answer(frame);
}

rpc_server::rpc_server(const std::string& address, unsigned open_requests,
                       handler handle)
    : held(std::make_unique<state>())
{
    this->held->handle = std::move(handle);
    check(nng_rep0_open(&this->held->socket), "open", address);
    nng_socket_set_size(this->held->socket, NNG_OPT_RECVMAXSZ,
                        frame_limit_bytes);
    for (unsigned index = 0; index < open_requests; ++index)
    {
        auto made = std::make_unique<reply_handle::slot>();
        made->handle = &this->held->handle;
        made->bytes = &this->held->bytes;
        check(nng_ctx_open(&made->context, this->held->socket), "open",
              address);
        auto callback = [](void* target)
        { static_cast<reply_handle::slot*>(target)->completed(); };
        check(nng_aio_alloc(&made->aio, callback, made.get()), "open", address);
        this->held->slots.push_back(std::move(made));
    }
    std::string url = "tcp://" + address;
    check(nng_listen(this->held->socket, url.c_str(), nullptr, 0), "listen",
          address);
    for (auto& open : this->held->slots)
        open->receive();
}

std::uint64_t rpc_server::bytes() const
{
    return this->held->bytes;
}

rpc_server::~rpc_server()
{
    nng_close(this->held->socket);
    for (auto& open : this->held->slots)
    {
        nng_aio_stop(open->aio);
        nng_aio_free(open->aio);
    }
}

} // namespace amaranthhatch::net
