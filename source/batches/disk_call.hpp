#pragma once

#include <functional>
#include <optional>
#include <string>

#include "host/host_runtime.hpp"

namespace amaranthhatch::batches
{

/// @brief Calls the live host that has a disk.
///
/// Hears the answer's body, or nothing where no host has the disk, the call
/// failed or the answer wasn't 200.
void call_disk_host(host::host_runtime& runtime, const std::string& disk,
                    std::string path, std::string body,
                    core::milliseconds timeout,
                    std::function<void(std::optional<std::string>)> done);

} // namespace amaranthhatch::batches
