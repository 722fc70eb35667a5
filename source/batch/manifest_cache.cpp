#include "batch/manifest_cache.hpp"

#include "batch/manifest_text.hpp"

namespace amaranthhatch::batch
{

std::optional<core::jobs::job_manifest>
manifest_cache::take(const adapters::store_entry& entry)
{
    auto manifest = read_manifest(entry.value);
    if (!manifest)
        return std::nullopt;
    std::lock_guard lock(this->guard);
    auto& known = this->manifests[manifest->job];
    if (entry.version <= known.version)
        return std::nullopt;
    known = {*manifest, entry.version};
    return manifest;
}

known_manifest manifest_cache::find(std::string_view job) const
{
    std::lock_guard lock(this->guard);
    auto found = this->manifests.find(job);
    return found == this->manifests.end() ? known_manifest() : found->second;
}

std::vector<known_manifest> manifest_cache::all() const
{
    std::lock_guard lock(this->guard);
    std::vector<known_manifest> list;
    for (const auto& [name, one] : this->manifests)
        list.push_back(one);
    return list;
}

} // namespace amaranthhatch::batch
