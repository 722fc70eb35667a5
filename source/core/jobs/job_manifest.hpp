#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhatch::core::jobs
{

/// @brief State of a job in its manifest, which the platform's service stores.
enum class manifest_state : std::uint8_t
{
    /// Its journal is being written; the job isn't accepted yet.
    preparing,
    running,
    cancelled,
    finished,
    lost
};

/// @brief The state of a job that changes by compare-and-swap only.
struct job_manifest
{
    std::string job;
    std::string workspace;
    std::uint64_t epoch = 0;
    std::string owner;
    /// Batch hosts that store every committed record.
    std::vector<std::string> copies;
    manifest_state state = manifest_state::preparing;
    /// Unique for every write, so that a writer whose response was lost can
    /// find out whether its write was applied.
    std::string write;

    bool holds_copy(std::string_view host) const;
    bool is_over() const;
};

/// @brief What a batch host should do about a job.
enum class manifest_action : std::uint8_t
{
    nothing,
    /// Acquire the next epoch and continue the job as its owner.
    take_over,
    /// The job's other copy is on a dead host and has to be replaced.
    repair
};

/// @brief Liveness of hosts as a batch host sees it.
class host_liveness
{
public:
    virtual ~host_liveness() = default;
    virtual bool is_alive(std::string_view host) const = 0;
};

/// @brief Decides what the batch host self should do about a job, from the
/// job's manifest and the liveness of hosts.
///
/// The parameter owning is true while this process runs the job as its owner.
manifest_action decide_action(const job_manifest& manifest,
                              std::string_view self, bool owning,
                              const host_liveness& hosts);

} // namespace amaranthhatch::core::jobs
