#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "batch/batch_peers.hpp"
#include "batch/journal_file.hpp"
#include "core/jobs/commit_state.hpp"
#include "core/jobs/job_items.hpp"
#include "core/messages/jobs.hpp"

namespace amaranthhatch::batch
{

/// @brief An item to run: its input, and what an earlier run has generated.
struct item_run
{
    std::uint32_t item = 0;
    std::string input;
    std::string text;
    std::uint32_t tokens = 0;
};

/// @brief A job that this host owns in one epoch.
///
/// Results count once they stand in both copies. A copy that was sealed by a
/// later epoch deposes the owner for good.
class owned_job
{
public:
    owned_job(core::messages::job_submit description, std::uint64_t epoch,
              std::shared_ptr<journal_file> journal, batch_peers& peers);

    /// @brief Takes up what the journal already holds.
    void recover();

    /// @brief The next item to run, or nothing.
    std::optional<item_run> next();

    /// @brief An item goes back; gives an error result where it may not.
    void put_back(const item_run& run, core::jobs::run_end why,
                  std::string_view last_error);

    /// @brief Adds an item's result to those to be committed.
    void add_result(std::uint32_t item, bool failed, std::string line);

    /// @brief Writes what is pending to both copies.
    void commit();

    /// @brief Stops the job; true once that stands in both copies.
    bool cancel();

    /// @brief Stops the job after another process has settled that.
    void stop();

    /// @brief Makes a host the holder of the second copy and brings it up to
    /// date; false where it can't be reached.
    bool set_second(const core::messages::member& host);

    /// @brief The manifest lists the second copy, so that results in both
    /// copies count from now on.
    void settle_second();

    bool needs_second() const;
    std::string second_name() const;
    bool is_deposed() const;
    bool is_stopped() const;
    /// @brief True once the finish or cancel stands in both copies.
    bool is_over() const;

    core::messages::job_answer describe() const;
    const core::messages::job_submit& about() const { return this->submit; }
    std::uint64_t epoch() const { return this->own_epoch; }
    const std::shared_ptr<journal_file>& file() const { return this->journal; }

private:
    struct partial
    {
        std::string text;
        std::uint32_t tokens = 0;
    };

    bool append_locally(std::vector<std::string> records);
    bool replicate();
    double items_per_second() const;

    core::messages::job_submit submit;
    std::uint64_t own_epoch;
    std::shared_ptr<journal_file> journal;
    batch_peers& peers;
    mutable std::mutex guard;
    std::mutex committing;
    core::jobs::job_items items;
    /// Only of items that were displaced, which are few.
    std::map<std::uint32_t, partial> partials;
    std::vector<std::string> pending;
    core::jobs::commit_state commits;
    std::string second_address;
    bool cancelled = false;
    bool cancel_recorded = false;
    bool finish_recorded = false;
    core::instant started;
    std::uint32_t settled_at_start = 0;
};

/// @brief Encodes a job's first records: its description and its input.
std::vector<std::string>
initial_records(const core::messages::job_submit& submit,
                std::string_view input);

} // namespace amaranthhatch::batch
