#include "standin_host.hpp"

#include <csignal>
#include <cstdio>
#include <exception>

namespace amaranthhatch::standins
{

http::response json_response(int status, const nlohmann::json& body)
{
    http::response answer;
    answer.status = status;
    answer.headers.add("Content-Type", "application/json");
    answer.body = body.dump();
    return answer;
}

std::string_view path_below(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
        return {};
    return path.substr(prefix.size());
}

int serve(int argument_count, char** arguments,
          const http::server::handler& handle)
{
    std::string_view address;
    for (int index = 1; index + 1 < argument_count; ++index)
    {
        if (std::string_view(arguments[index]) == "--listen")
            address = arguments[index + 1];
    }
    if (address.empty())
    {
        std::fputs("--listen IP:PORT is missing\n", stderr);
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    try
    {
        http::server_options options;
        options.address = address;
        options.body_limit_bytes = 128u << 20;
        http::server server(options, handle);
        int received = 0;
        sigwait(&signals, &received);
        std::_Exit(0);
    }
    catch (const std::exception& error)
    {
        std::fprintf(stderr, "%s\n", error.what());
        return 1;
    }
}

} // namespace amaranthhatch::standins
