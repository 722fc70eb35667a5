#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "core/messages/message_kind.hpp"
#include "core/outcome.hpp"

namespace amaranthhatch::core::messages
{

/// @brief Request to store an uploaded file on a batch host.
struct file_put
{
    static constexpr auto kind_of_message = message_kind::file_put;

    std::string workspace;
    std::string file;
    std::string content;
    /// True if the first batch host sends the file to a second one as a copy.
    bool copy = false;

    auto fields() { return std::tie(workspace, file, content, copy); }
};

/// @brief Response to file_put: whether the file is now stored on two hosts,
/// or, if copy was set, on the responding host.
struct stored_answer
{
    static constexpr auto kind_of_message = message_kind::stored_answer;

    bool stored = false;
    refusal reason = refusal::none;

    auto fields() { return std::tie(stored, reason); }
};

/// @brief Request for a file's content.
struct file_get
{
    static constexpr auto kind_of_message = message_kind::file_get;

    std::string file;

    auto fields() { return std::tie(file); }
};

/// @brief Response to file_get; found is false if the host lacks the file.
struct file_answer
{
    static constexpr auto kind_of_message = message_kind::file_answer;

    bool found = false;
    std::string content;

    auto fields() { return std::tie(found, content); }
};

/// @brief Request to create a job.
///
/// A client that retries uses the same job identifier.
struct job_submit
{
    static constexpr auto kind_of_message = message_kind::job_submit;

    std::string job;
    std::string workspace;
    std::string work_class;
    std::string endpoint;
    std::string input_file;
    std::int64_t created_unix_ms = 0;
    std::int64_t due_unix_ms = 0;

    auto fields()
    {
        return std::tie(job, workspace, work_class, endpoint, input_file,
                        created_unix_ms, due_unix_ms);
    }
};

/// @brief Response to job_submit: whether the job is accepted.
struct submit_answer
{
    static constexpr auto kind_of_message = message_kind::submit_answer;

    bool accepted = false;
    outcome execution = outcome::not_run;
    refusal reason = refusal::none;
    std::string detail;

    auto fields() { return std::tie(accepted, execution, reason, detail); }
};

/// @brief Request for a job's status; cancels the job if cancel is set.
struct job_request
{
    static constexpr auto kind_of_message = message_kind::job_request;

    std::string job;
    bool cancel = false;

    auto fields() { return std::tie(job, cancel); }
};

/// @brief State of a job.
enum class job_state : std::uint8_t
{
    unknown,
    running,
    /// Waiting for a second copy of the journal or for an owner; no data is
    /// lost.
    waiting,
    cancelled,
    finished,
    /// Both copies of the journal are permanently lost.
    lost
};

/// @brief Whether a job is expected to finish by its deadline.
enum class forecast : std::uint8_t
{
    on_time,
    at_risk,
    not_doable
};

/// @brief A job's status as tracked by the responding host.
struct job_answer
{
    static constexpr auto kind_of_message = message_kind::job_answer;

    bool found = false;
    /// True if the responding host owns the job.
    bool authoritative = false;
    job_state state = job_state::unknown;
    forecast deadline_forecast = forecast::on_time;
    std::uint32_t total = 0;
    std::uint32_t completed = 0;
    std::uint32_t failed = 0;
    std::int64_t forecast_unix_ms = 0;
    std::string owner;
    job_submit description;

    auto fields()
    {
        return std::tie(found, authoritative, state, deadline_forecast, total,
                        completed, failed, forecast_unix_ms, owner,
                        description);
    }
};

/// @brief Request for committed results, starting at a journal position.
struct output_request
{
    static constexpr auto kind_of_message = message_kind::output_request;

    std::string job;
    std::uint64_t position = 0;

    auto fields() { return std::tie(job, position); }
};

/// @brief Response to output_request: lines of a job's output.
///
/// next is the journal position to continue from; last is true at the end.
struct output_answer
{
    static constexpr auto kind_of_message = message_kind::output_answer;

    bool found = false;
    bool last = false;
    std::uint64_t next = 0;
    std::string lines;

    auto fields() { return std::tie(found, last, next, lines); }
};

/// @brief Types of records in a job's journal.
enum class record_kind : std::uint8_t
{
    /// The job's description; always the first record.
    description,
    /// One line of the input, in the order of the items.
    input,
    /// The result of one item.
    result,
    /// The job is cancelled; no item starts after this record.
    cancel,
    /// Every item has a result.
    finish
};

/// @brief One record of a job's journal.
struct journal_record
{
    static constexpr auto kind_of_message = message_kind::journal_record;

    record_kind kind = record_kind::input;
    std::uint32_t item = 0;
    bool failed = false;
    std::string text;
    job_submit description;

    auto fields() { return std::tie(kind, item, failed, text, description); }
};

/// @brief Request of a job's owner to append records to the second copy.
struct journal_append
{
    static constexpr auto kind_of_message = message_kind::journal_append;

    std::string job;
    std::uint64_t epoch = 0;
    /// Position of the first record in the journal.
    std::uint64_t position = 0;
    /// Records before this position are stored in both copies.
    std::uint64_t committed = 0;
    std::vector<std::string> records;

    auto fields() { return std::tie(job, epoch, position, committed, records); }
};

/// @brief Response to journal_append: whether the copy stored the records.
struct append_answer
{
    static constexpr auto kind_of_message = message_kind::append_answer;

    enum class verdict : std::uint8_t
    {
        stored,
        /// The copy was sealed by a later epoch; the sender no longer owns the
        /// job.
        sealed,
        /// Records are missing between the end of the copy and the position.
        behind,
        failed
    };

    verdict result = verdict::failed;
    std::uint64_t epoch = 0;
    std::uint64_t length = 0;

    auto fields() { return std::tie(result, epoch, length); }
};

/// @brief Request of a new owner to seal a copy and to read its records.
///
/// A sealed copy rejects appends of lower epochs.
struct journal_seal
{
    static constexpr auto kind_of_message = message_kind::journal_seal;

    std::string job;
    std::uint64_t epoch = 0;
    std::uint64_t position = 0;

    auto fields() { return std::tie(job, epoch, position); }
};

/// @brief Response to journal_seal: records of the sealed copy.
struct seal_answer
{
    static constexpr auto kind_of_message = message_kind::seal_answer;

    bool found = false;
    bool refused = false;
    bool last = false;
    /// The next position to read from.
    std::uint64_t next = 0;
    std::vector<std::string> records;

    auto fields() { return std::tie(found, refused, last, next, records); }
};

/// @brief Request of the operator's tool for the jobs on a host.
struct jobs_request
{
    static constexpr auto kind_of_message = message_kind::jobs_request;

    std::string workspace;

    auto fields() { return std::tie(workspace); }
};

/// @brief Response to jobs_request.
struct jobs_answer
{
    static constexpr auto kind_of_message = message_kind::jobs_answer;

    std::vector<job_answer> jobs;

    auto fields() { return std::tie(jobs); }
};

} // namespace amaranthhatch::core::messages
