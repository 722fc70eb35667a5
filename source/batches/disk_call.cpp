#include "batches/disk_call.hpp"

#include "host/boot_clock.hpp"
#include "http/buffered_call.hpp"

namespace amaranthhatch::batches
{

void call_disk_host(host::host_runtime& runtime, const std::string& disk,
                    std::string path, std::string body, disk_call_limits limits,
                    std::function<void(std::optional<std::string>)> done)
{
    const auto* peer = runtime.peers().live_disk_host(disk, host::boot_now());
    if (peer == nullptr)
        return done(std::nullopt);
    http::client_request request;
    request.method = "POST";
    request.target = path;
    request.headers.add("Host", peer->address);
    request.body = std::make_shared<const std::string>(std::move(body));
    request.body_limit = limits.answer_bytes;
    // The connection key contains the incarnation of the process, so that a
    // connection to an earlier process is never reused.
    auto key = peer->name + "/" + std::to_string(peer->incarnation);
    http::start_buffered_call(
        runtime.http_client(), runtime.event_loop(), key, peer->address,
        request, limits.time,
        [&runtime, path = std::move(path), name = peer->name,
         done = std::move(done)](http::buffered_response response)
        {
            if (response.result == http::call_end::broken)
                runtime.record_broken_answer(path, name, response.detail);
            bool succeeded = response.result == http::call_end::complete &&
                             response.status == 200;
            if (succeeded)
                return done(std::move(response.body));
            done(std::nullopt);
        });
}

} // namespace amaranthhatch::batches
