#include "core/jobs/job_manifest.hpp"

#include <algorithm>

namespace amaranthhatch::core::jobs
{

bool job_manifest::holds_copy(std::string_view host) const
{
    return std::find(this->copies.begin(), this->copies.end(), host) !=
           this->copies.end();
}

bool job_manifest::is_over() const
{
    return this->state == manifest_state::cancelled ||
           this->state == manifest_state::finished ||
           this->state == manifest_state::lost;
}

manifest_action decide_action(const job_manifest& manifest,
                              std::string_view self, bool owning,
                              const host_liveness& hosts)
{
    // A job that isn't accepted yet is started again when the client resends
    // it; a lost job has no copy to resume from.
    if (manifest.state == manifest_state::preparing ||
        manifest.state == manifest_state::lost)
        return manifest_action::nothing;
    bool own = manifest.owner == self;
    bool owner_lost = !own && !hosts.is_alive(manifest.owner);
    bool holds = manifest.holds_copy(self);
    if (manifest.is_over())
    {
        bool copy_lost = std::any_of(
            manifest.copies.begin(), manifest.copies.end(),
            [&](const auto& host) { return !hosts.is_alive(host); });
        bool responsible = own || (owner_lost && holds);
        return copy_lost && responsible && holds ? manifest_action::repair
                                                 : manifest_action::nothing;
    }
    if (own && !owning)
        return manifest_action::take_over;
    if (owner_lost && holds)
        return manifest_action::take_over;
    return manifest_action::nothing;
}

} // namespace amaranthhatch::core::jobs
