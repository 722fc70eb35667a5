#pragma once

#include <functional>
#include <optional>
#include <string>

#include "host/host_runtime.hpp"

namespace amaranthhatch::batches
{

/// @brief How long a call may take, and the length of its answer.
struct disk_call_limits
{
    core::milliseconds time{};
    std::size_t answer_bytes = 0;
};

/// @brief Sends a POST request to the live host that has the given disk.
///
/// Calls done with the body of the response, or with nothing if no live host
/// has the disk, the request failed or the status wasn't 200.
void call_disk_host(host::host_runtime& runtime, const std::string& disk,
                    std::string path, std::string body, disk_call_limits limits,
                    std::function<void(std::optional<std::string>)> done);

} // namespace amaranthhatch::batches
