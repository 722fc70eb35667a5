#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "batch/batch_folder.hpp"
#include "batch/batch_peers.hpp"
#include "batch/job_board.hpp"
#include "core/jobs/job_manifest.hpp"
#include "core/messages/jobs.hpp"
#include "metrics/registry.hpp"
#include "platform/key_value_store.hpp"

namespace amaranthhatch::batch
{

/// @brief Accepts jobs, settles their owners, and repairs their copies.
///
/// Manifests are settled by compare-and-swap in the platform's service; while
/// it is away, jobs that are owned run on and the others wait.
class job_keeper
{
  public:
    job_keeper(batch_folder& folder, batch_peers& peers, job_board& board,
               platform::key_value_store& store, metrics::registry& metrics);
    ~job_keeper();

    void start();
    void stop();

    core::messages::submit_answer
    submit(const core::messages::job_submit& request);
    core::messages::job_answer job(const core::messages::job_request& request);
    core::messages::output_answer
    output(const core::messages::output_request& request);
    core::messages::jobs_answer
    jobs(const core::messages::jobs_request& request);

  private:
    struct known_manifest
    {
        core::jobs::job_manifest manifest;
        std::uint64_t version = 0;
    };

    struct write_result
    {
        platform::store_result result = platform::store_result::unreachable;
        known_manifest now;
    };

    void watch();
    void manage();
    void commit_loop();
    void take(const platform::store_entry& entry);
    void obey(const core::jobs::job_manifest& manifest);
    std::vector<known_manifest> known() const;
    std::shared_ptr<std::mutex> lock_of(const std::string& job);

    write_result write(core::jobs::job_manifest manifest,
                       std::uint64_t version);
    core::messages::submit_answer
    prepare(const core::messages::job_submit& request, known_manifest reserved,
            const std::string& input);
    void take_over(known_manifest from);
    void repair_over(known_manifest from);
    bool ensure_local(const core::jobs::job_manifest& manifest,
                      journal_file& journal);
    void care_for(const std::shared_ptr<owned_job>& job);
    std::uint64_t committed_end(const std::string& job,
                                const journal_file& journal) const;
    bool find_second(const std::shared_ptr<owned_job>& job);
    core::messages::job_answer describe_unowned(const known_manifest& from);

    batch_folder& folder;
    batch_peers& peers;
    job_board& board;
    platform::key_value_store& store;
    metrics::registry& metrics;
    mutable std::mutex guard;
    std::map<std::string, known_manifest, std::less<>> manifests;
    std::map<std::string, std::shared_ptr<std::mutex>, std::less<>> locks;
    std::atomic<bool> stopping{false};
    std::vector<std::thread> threads;
};

} // namespace amaranthhatch::batch
