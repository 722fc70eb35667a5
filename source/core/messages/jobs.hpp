#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "core/messages/message_kind.hpp"
#include "core/outcome.hpp"

namespace amaranthhatch::core::messages
{

/// @brief Stores an uploaded file on a batch host.
struct file_put
{
    static constexpr auto kind_of_message = message_kind::file_put;

    std::string workspace;
    std::string file;
    std::string content;
    /// True for the copy that the first host makes on a second one.
    bool copy = false;

    auto fields() { return std::tie(workspace, file, content, copy); }
};

/// @brief Whether a file or record now stands on two hosts.
struct stored_answer
{
    static constexpr auto kind_of_message = message_kind::stored_answer;

    bool stored = false;
    refusal reason = refusal::none;

    auto fields() { return std::tie(stored, reason); }
};

/// @brief Asks for a file's content.
struct file_get
{
    static constexpr auto kind_of_message = message_kind::file_get;

    std::string file;

    auto fields() { return std::tie(file); }
};

/// @brief A file's content, where the host has it.
struct file_answer
{
    static constexpr auto kind_of_message = message_kind::file_answer;

    bool found = false;
    std::string content;

    auto fields() { return std::tie(found, content); }
};

/// @brief Creates a job; a resent one has the same job identifier.
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

/// @brief Whether a job is accepted.
struct submit_answer
{
    static constexpr auto kind_of_message = message_kind::submit_answer;

    bool accepted = false;
    outcome execution = outcome::not_run;
    refusal reason = refusal::none;
    std::string detail;

    auto fields() { return std::tie(accepted, execution, reason, detail); }
};

/// @brief Asks about a job, or asks to cancel it.
struct job_request
{
    static constexpr auto kind_of_message = message_kind::job_request;

    std::string job;
    bool cancel = false;

    auto fields() { return std::tie(job, cancel); }
};

/// @brief Where a job stands.
enum class job_state : std::uint8_t
{
    unknown,
    running,
    /// Waits for a second copy or an owner; nothing is lost.
    waiting,
    cancelled,
    finished,
    /// Both copies are gone for good.
    lost
};

/// @brief How a job stands against its due time.
enum class forecast : std::uint8_t
{
    on_time,
    at_risk,
    not_doable
};

/// @brief A job's progress as its host knows it.
struct job_answer
{
    static constexpr auto kind_of_message = message_kind::job_answer;

    bool found = false;
    /// True where the answering host owns the job.
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

/// @brief Asks for committed results from a record of the journal on.
struct output_request
{
    static constexpr auto kind_of_message = message_kind::output_request;

    std::string job;
    std::uint64_t position = 0;

    auto fields() { return std::tie(job, position); }
};

/// @brief Lines of a job's output.
struct output_answer
{
    static constexpr auto kind_of_message = message_kind::output_answer;

    bool found = false;
    bool last = false;
    std::uint64_t next = 0;
    std::string lines;

    auto fields() { return std::tie(found, last, next, lines); }
};

/// @brief What a record of a job's journal holds.
enum class record_kind : std::uint8_t
{
    /// The job's description; always the first record.
    description,
    /// One line of the input, in the order of the items.
    input,
    /// The result of one item.
    result,
    /// The job is cancelled; no item starts after this.
    cancel,
    /// Every item has its result.
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

/// @brief Records that a job's owner writes to the second copy.
struct journal_append
{
    static constexpr auto kind_of_message = message_kind::journal_append;

    std::string job;
    std::uint64_t epoch = 0;
    /// Position of the first record in the journal.
    std::uint64_t position = 0;
    /// Records up to this position stand in both copies.
    std::uint64_t committed = 0;
    std::vector<std::string> records;

    auto fields() { return std::tie(job, epoch, position, committed, records); }
};

/// @brief Whether the copy took the records.
struct append_answer
{
    static constexpr auto kind_of_message = message_kind::append_answer;

    enum class verdict : std::uint8_t
    {
        stored,
        /// A later epoch has sealed this copy.
        sealed,
        /// The copy has fewer records than the position says.
        behind,
        failed
    };

    verdict result = verdict::failed;
    std::uint64_t epoch = 0;
    std::uint64_t length = 0;

    auto fields() { return std::tie(result, epoch, length); }
};

/// @brief Seals a copy against epochs lower than this one and reads it.
struct journal_seal
{
    static constexpr auto kind_of_message = message_kind::journal_seal;

    std::string job;
    std::uint64_t epoch = 0;
    std::uint64_t position = 0;

    auto fields() { return std::tie(job, epoch, position); }
};

/// @brief A sealed copy's records.
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

/// @brief Lists the jobs that a host knows, for the operator's tool.
struct jobs_request
{
    static constexpr auto kind_of_message = message_kind::jobs_request;

    std::string workspace;

    auto fields() { return std::tie(workspace); }
};

/// @brief The jobs of one host.
struct jobs_answer
{
    static constexpr auto kind_of_message = message_kind::jobs_answer;

    std::vector<job_answer> jobs;

    auto fields() { return std::tie(jobs); }
};

} // namespace amaranthhatch::core::messages
