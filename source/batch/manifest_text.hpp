#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/jobs/job_manifest.hpp"

namespace amaranthhatch::batch
{

/// @brief Manifests lie below this prefix in the platform's service.
constexpr std::string_view manifest_prefix = "jobs/";

std::string manifest_key(std::string_view job);
std::string write_manifest(const core::jobs::job_manifest& manifest);
std::optional<core::jobs::job_manifest> read_manifest(std::string_view text);

} // namespace amaranthhatch::batch
