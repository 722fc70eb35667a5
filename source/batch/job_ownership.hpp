#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "adapters/key_value_store.hpp"
#include "batch/batch_folder.hpp"
#include "batch/batch_peers.hpp"
#include "batch/job_views.hpp"
#include "batch/manifest_cache.hpp"
#include "batch/owned_jobs.hpp"
#include "core/jobs/job_manifest.hpp"
#include "core/messages/jobs.hpp"
#include "metrics/registry.hpp"

namespace amaranthhatch::batch
{

/// @brief Accepts jobs, settles their owners, and repairs their copies.
///
/// Manifests are settled by compare-and-swap in the platform's service; while
/// it is away, jobs that are owned run on and the others wait.
class job_ownership
{
public:
    job_ownership(batch_folder& folder, batch_peers& peers, owned_jobs& owned,
                  manifest_cache& manifests, job_views& views,
                  adapters::key_value_store& store, metrics::registry& metrics);
    ~job_ownership();

    void start();
    void stop();

    core::messages::submit_answer
    submit(const core::messages::job_submit& request);
    /// @brief Whether this host, which has no copy of a job, may start one for
    /// an owner of an epoch.
    core::messages::append_answer::verdict
    check_new_copy(const std::string& job, std::uint64_t epoch);

    core::messages::job_answer job(const core::messages::job_request& request);

private:
    struct write_result
    {
        adapters::store_result result = adapters::store_result::unreachable;
        known_manifest now;
    };

    void watch();
    void manage();
    void commit_loop();
    void take(const adapters::store_entry& entry);
    void obey(const core::jobs::job_manifest& manifest);
    std::shared_ptr<std::mutex> lock_of(const std::string& job);

    write_result write(core::jobs::job_manifest manifest,
                       std::uint64_t version);
    core::messages::submit_answer
    prepare(const core::messages::job_submit& request, known_manifest reserved,
            const std::string& input);
    void take_over(known_manifest from);
    void repair_over(known_manifest from);
    /// @brief Whether this host's copy can go on as the owner's.
    enum class local_copy : std::uint8_t
    {
        ready,
        not_yet,
        lost
    };

    local_copy ensure_local(const core::jobs::job_manifest& manifest,
                            journal_file& journal);
    bool win_epoch(known_manifest& from);
    void give_up(const known_manifest& from);
    void care_for(const std::shared_ptr<owned_job>& job);
    bool find_second(const std::shared_ptr<owned_job>& job);

    batch_folder& folder;
    batch_peers& peers;
    owned_jobs& owned;
    manifest_cache& manifests;
    job_views& views;
    adapters::key_value_store& store;
    metrics::registry& metrics;
    mutable std::mutex guard;
    /// Epochs that this process has won; used by the managing thread alone.
    std::map<std::string, std::uint64_t, std::less<>> won_epochs;
    std::map<std::string, std::shared_ptr<std::mutex>, std::less<>> locks;
    std::atomic<bool> stopping{false};
    std::vector<std::thread> threads;
};

} // namespace amaranthhatch::batch
