#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/key_value_store.hpp"
#include "core/jobs/job_manifest.hpp"

namespace amaranthhatch::batch
{

/// @brief A manifest with the version that the platform's service gave it.
struct known_manifest
{
    core::jobs::job_manifest manifest;
    std::uint64_t version = 0;
};

/// @brief The manifests as this host knows them; older versions don't replace
/// newer ones.
class manifest_cache
{
public:
    /// @brief Takes an entry; the manifest where it was news.
    std::optional<core::jobs::job_manifest>
    take(const adapters::store_entry& entry);

    /// @brief A job's manifest; version zero where none is known.
    known_manifest find(std::string_view job) const;

    std::vector<known_manifest> all() const;

private:
    mutable std::mutex guard;
    std::map<std::string, known_manifest, std::less<>> manifests;
};

} // namespace amaranthhatch::batch
