#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/jobs/commit_state.hpp"
#include "core/jobs/job_manifest.hpp"
#include "core/jobs/journal_copy.hpp"

namespace amaranthhatch::tests
{

/// @brief Which rule of the commit protocol a replay breaks, to show that the
/// check detects it.
enum class commit_fault
{
    none,
    /// Records count as committed before the manifest lists the second copy.
    count_unlisted_second,
    /// A new owner doesn't seal its copy.
    take_over_unsealed,
    /// A host that lost its disk accepts records of any epoch.
    accept_any_epoch
};

/// @brief Replays owners, copies, crashes, pauses, lost disks and takeovers of
/// one job, with delayed and lost appends, from a seed.
class commit_schedule
{
public:
    commit_schedule(std::uint64_t seed, commit_fault fault);

    /// @brief Runs the schedule; returns the failure found, or an empty string.
    std::string run();

    std::uint64_t committed() const { return this->records.size(); }

private:
    struct disk
    {
        core::jobs::journal_copy copy;
        std::vector<std::string> records;
    };

    struct owner
    {
        std::string host;
        std::uint64_t epoch = 0;
        core::jobs::commit_state commits;
        /// The manifest's version that this owner has read or written last.
        std::uint64_t version = 0;
        core::jobs::job_manifest manifest;
        bool alive = true;
    };

    struct append
    {
        std::uint64_t due = 0;
        std::size_t owner = 0;
        std::string to;
        core::messages::journal_append request;
    };

    std::uint64_t pick(std::uint64_t below);
    core::messages::append_answer::verdict
    apply(disk& on, const core::messages::journal_append& request);
    bool swap(owner& by, const core::jobs::job_manifest& next);
    void produce(std::size_t index);
    void deliver(const append& one);
    void choose_second(std::size_t index);
    void list_second(std::size_t index);
    void take_over();
    void crash();
    void lose_disk();
    void check_committed(const owner& by);

    std::mt19937_64 random;
    commit_fault fault;
    std::uint64_t now = 0;
    std::map<std::string, disk> disks;
    std::vector<owner> owners;
    std::vector<append> in_flight;
    core::jobs::job_manifest manifest;
    std::uint64_t version = 1;
    /// Every record that any owner has counted as committed.
    std::vector<std::string> records;
    std::string failure;
    std::uint64_t produced = 0;
};

} // namespace amaranthhatch::tests
