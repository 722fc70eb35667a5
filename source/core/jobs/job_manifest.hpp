#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhatch::core::jobs
{

/// @brief How far a job is, as the platform's service knows it.
enum class manifest_state : std::uint8_t
{
    /// Its journal is being written; the job isn't accepted yet.
    preparing,
    running,
    cancelled,
    finished,
    lost
};

/// @brief What is settled about a job by compare-and-swap.
struct job_manifest
{
    std::string job;
    std::string workspace;
    std::uint64_t epoch = 0;
    std::string owner;
    /// Batch hosts that hold every committed record.
    std::vector<std::string> copies;
    manifest_state state = manifest_state::preparing;
    /// Differs for every write, so that a lost answer can be resolved.
    std::string write;

    bool holds_copy(std::string_view host) const;
    bool is_over() const;
};

/// @brief What a batch host should do about a job.
enum class manifest_action : std::uint8_t
{
    nothing,
    /// Win the next epoch and go on as the owner.
    take_over,
    /// The job's other copy is on a dead host: a new one has to be made.
    repair
};

/// @brief Liveness of hosts as a batch host sees it.
class host_liveness
{
public:
    virtual ~host_liveness() = default;
    virtual bool is_alive(std::string_view host) const = 0;
};

/// @brief Decides from the manifest alone; owning tells whether this process
/// runs the job now.
manifest_action decide_action(const job_manifest& manifest,
                              std::string_view self, bool owning,
                              const host_liveness& hosts);

} // namespace amaranthhatch::core::jobs
