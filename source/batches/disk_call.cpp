#include "batches/disk_call.hpp"

#include "host/boot_clock.hpp"
#include "http/buffered_call.hpp"

namespace amaranthhatch::batches
{

void call_disk(host::host_runtime& runtime, const std::string& disk,
               std::string path, std::string body, core::milliseconds limit,
               std::function<void(std::optional<std::string>)> done)
{
    const auto* peer = runtime.peers().live_disk_host(disk, host::boot_now());
    if (peer == nullptr)
        return done(std::nullopt);
    http::client_request asked;
    asked.method = "POST";
    asked.target = std::move(path);
    asked.headers.add("Host", peer->address);
    asked.body = std::make_shared<const std::string>(std::move(body));
    // The key names the process's start, so that a connection to an earlier
    // one is never used.
    auto key = peer->name + "/" + std::to_string(peer->incarnation);
    http::start_buffered_call(
        runtime.http_client(), runtime.event_loop(), key, peer->address, asked,
        limit,
        [done = std::move(done)](http::buffered_response answer)
        {
            bool whole = answer.result == http::call_end::complete &&
                         answer.status == 200;
            if (whole)
                return done(std::move(answer.body));
            done(std::nullopt);
        });
}

} // namespace amaranthhatch::batches
