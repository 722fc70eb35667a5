#include "http/server.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include <atomic>
#include <cstring>
#include <thread>

#include <microhttpd.h>

#include "errors/failure.hpp"

namespace amaranthhatch::http
{

namespace
{

constexpr std::size_t stream_block_bytes = 16u << 10;

struct exchange
{
    request asked;
    bool too_large = false;
    std::atomic<int>* in_flight = nullptr;
};

struct stream_state
{
    std::unique_ptr<body_source> source;
    std::string chunk;
    std::size_t taken = 0;
};

sockaddr_in parse_address(const std::string& address)
{
    auto colon = address.rfind(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    parsed.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
    return parsed;
}

MHD_Result add_header(void* target, MHD_ValueKind, const char* name,
                      const char* value)
{
    auto* headers = static_cast<header_list*>(target);
    headers->add(name, value == nullptr ? "" : value);
    return MHD_YES;
}

MHD_Result add_query(void* target, MHD_ValueKind, const char* name,
                     const char* value)
{
    auto* query = static_cast<std::string*>(target);
    if (!query->empty())
        *query += '&';
    *query += name;
    *query += '=';
    *query += value == nullptr ? "" : value;
    return MHD_YES;
}

ssize_t read_stream(void* target, std::uint64_t, char* buffer, std::size_t size)
{
    auto* stream = static_cast<stream_state*>(target);
    while (stream->taken == stream->chunk.size())
    {
        stream->chunk.clear();
        stream->taken = 0;
        auto got = stream->source->read(stream->chunk);
        if (got == body_source::state::end)
            return MHD_CONTENT_READER_END_OF_STREAM;
        if (got == body_source::state::failed)
            return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    std::size_t count = std::min(size, stream->chunk.size() - stream->taken);
    std::memcpy(buffer, stream->chunk.data() + stream->taken, count);
    stream->taken += count;
    return static_cast<ssize_t>(count);
}

void free_stream(void* target)
{
    delete static_cast<stream_state*>(target);
}

MHD_Response* library_response(response& answer)
{
    if (answer.stream)
    {
        auto* stream = new stream_state;
        stream->source = std::move(answer.stream);
        return MHD_create_response_from_callback(
            MHD_SIZE_UNKNOWN, stream_block_bytes, read_stream, stream,
            free_stream);
    }
    return MHD_create_response_from_buffer(
        answer.body.size(), answer.body.data(), MHD_RESPMEM_MUST_COPY);
}

MHD_Result send(MHD_Connection* connection, response answer, bool closing)
{
    MHD_Response* out = library_response(answer);
    if (out == nullptr)
        return MHD_NO;
    for (const auto& line : answer.headers.all())
        MHD_add_response_header(out, line.name.c_str(), line.value.c_str());
    if (closing)
        MHD_add_response_header(out, "Connection", "close");
    auto sent = MHD_queue_response(connection,
                                   static_cast<unsigned>(answer.status), out);
    MHD_destroy_response(out);
    return sent;
}

void completed(void*, MHD_Connection*, void** context,
               MHD_RequestTerminationCode)
{
    auto* running = static_cast<exchange*>(*context);
    if (running == nullptr)
        return;
    running->in_flight->fetch_sub(1);
    delete running;
    *context = nullptr;
}

response too_large_response()
{
    response answer;
    answer.status = 413;
    answer.headers.add("Content-Type", "application/json");
    answer.body = R"({"error":{"message":"The body is over this server's )"
                  R"(limit; send less at once.","type":"invalid_request_)"
                  R"(error","code":"body_too_large","outcome":"not_run"}})";
    return answer;
}

} // namespace

struct server::state
{
    server_options options;
    handler handle;
    MHD_Daemon* daemon = nullptr;
    std::atomic<int> in_flight{0};
    std::atomic<bool> closing{false};

    MHD_Result begin(MHD_Connection* connection, const char* url,
                     const char* method, void** context);
    MHD_Result take(exchange& running, const char* upload,
                    std::size_t& upload_size) const;
    MHD_Result answer(MHD_Connection* connection, exchange& running);
};

MHD_Result server::state::begin(MHD_Connection* connection, const char* url,
                                const char* method, void** context)
{
    auto* started = new exchange;
    started->asked.method = method;
    started->asked.path = url;
    started->in_flight = &this->in_flight;
    this->in_flight.fetch_add(1);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, add_header,
                              &started->asked.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, add_query,
                              &started->asked.query);
    *context = started;
    return MHD_YES;
}

MHD_Result server::state::take(exchange& running, const char* upload,
                               std::size_t& upload_size) const
{
    std::size_t total = running.asked.body.size() + upload_size;
    running.too_large =
        running.too_large || total > this->options.body_limit_bytes;
    if (!running.too_large)
        running.asked.body.append(upload, upload_size);
    upload_size = 0;
    return MHD_YES;
}

MHD_Result server::state::answer(MHD_Connection* connection, exchange& running)
{
    if (running.too_large)
        return send(connection, too_large_response(), true);
    return send(connection, this->handle(running.asked), this->closing.load());
}

server::server(server_options options, handler handle)
    : held(std::make_unique<state>())
{
    this->held->options = std::move(options);
    this->held->handle = std::move(handle);
    sockaddr_in address = parse_address(this->held->options.address);
    // The library calls back once for a request's head, once for each block of
    // its body, and once more when the body has been read.
    auto callback = [](void* target, MHD_Connection* connection,
                       const char* url, const char* method, const char*,
                       const char* upload, std::size_t* upload_size,
                       void** context) -> MHD_Result
    {
        auto* self = static_cast<state*>(target);
        if (*context == nullptr)
            return self->begin(connection, url, method, context);
        auto& running = *static_cast<exchange*>(*context);
        if (*upload_size > 0)
            return self->take(running, upload, *upload_size);
        return self->answer(connection, running);
    };
    unsigned flags = MHD_USE_INTERNAL_POLLING_THREAD |
                     MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL | MHD_USE_ITC;
    this->held->daemon = MHD_start_daemon(
        flags, 0, nullptr, nullptr, callback, this->held.get(),
        MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT,
        this->held->options.connection_limit,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_LISTEN_BACKLOG_SIZE,
        1024u, MHD_OPTION_THREAD_STACK_SIZE, std::size_t{256u << 10},
        MHD_OPTION_NOTIFY_COMPLETED, completed, nullptr, MHD_OPTION_END);
    if (this->held->daemon == nullptr)
        throw errors::failure("listen", this->held->options.address,
                              "the address can't be used; choose a free one");
}

server::~server()
{
    this->stop_listening();
    MHD_stop_daemon(this->held->daemon);
}

void server::stop_listening()
{
    // Connections still in the backlog are accepted by the kernel already;
    // the library serves those it took before this call.
    int socket = MHD_quiesce_daemon(this->held->daemon);
    if (socket >= 0)
        close(socket);
}

void server::close_after_answers()
{
    this->held->closing = true;
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
