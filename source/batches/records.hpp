#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/batches/item_progress.hpp"
#include "core/batches/job_log.hpp"
#include "core/batches/placement.hpp"

namespace amaranthhatch::batches
{

/// The header of calls between hosts that names the only workspace whose jobs
/// the caller may see.
inline constexpr std::string_view workspace_header = "Workspace";

/// @brief Records of one job that are sent to a copy or written to a disk.
struct job_append
{
    std::string job;
    /// Position of the first of these records in the log.
    std::uint64_t position = 0;
    /// Epoch of the record before that position; 0 if there is none.
    std::uint64_t previous_epoch = 0;
    std::vector<core::batches::record_ptr> records;
    /// Number of records in the sender's complete log of the job.
    std::uint64_t total = 0;
};

/// @brief A job that a copy removes unless its log goes beyond a mark.
///
/// A request that arrives late then removes no job that was accepted anew.
struct expired_job
{
    std::string job;
    core::batches::log_mark up_to;
};

/// @brief Records of one partition that its owner sends to a copy.
struct append_request
{
    std::uint64_t partition = 0;
    std::uint64_t epoch = 0;
    std::string owner_disk;
    /// The disk of the copy; a host with another disk responds with wrong_disk.
    std::string copy_disk;
    std::vector<job_append> jobs;
    /// Jobs whose retention time has passed, or that the owner lacks.
    std::vector<expired_job> expired;
};

/// @brief The end of one host's log of a job.
struct job_mark
{
    std::string job;
    core::batches::log_mark mark;
    /// True if an append didn't fit the copy's log; the owner then sends the
    /// log from the start.
    bool mismatch = false;
};

/// @brief A copy's response to an append, also part of the response to a
/// reconcile request.
struct append_response
{
    enum class status : std::uint8_t
    {
        stored,
        /// The copy has seen a later epoch of the partition.
        stale_epoch,
        wrong_disk,
        /// The copy's host has read no placement since its start, so it can't
        /// tell which of its jobs belong to the partition.
        no_placement
    };
    status result = status::stored;
    std::uint64_t epoch = 0;
    std::vector<job_mark> jobs;
};

/// @brief The marks of an owner's logs, to which a copy responds with its own
/// marks and with the logs in which it has more records.
struct reconcile_request
{
    std::uint64_t partition = 0;
    std::uint64_t epoch = 0;
    std::string copy_disk;
    std::vector<job_mark> jobs;
};

/// @brief A copy's marks, and its complete logs of the jobs of which it has
/// more records than the owner.
struct reconcile_response
{
    append_response state;
    std::vector<job_append> longer_logs;
};

/// @brief The kind of a frame in the disk's log.
enum class frame_kind : std::uint8_t
{
    /// Records of a job from a position on; they replace all later ones.
    append,
    /// A job was removed.
    expired,
    /// The highest epoch seen of a partition; earlier epochs are rejected.
    epoch,
    /// Events of open items.
    progress
};

/// @brief One frame of the disk's log.
struct disk_frame
{
    frame_kind kind = frame_kind::append;
    job_append append;
    std::uint64_t partition = 0;
    std::uint64_t epoch = 0;
    std::vector<core::batches::progress_delta> progress;
};

std::string pack(const append_request& request);
std::string pack(const append_response& response);
std::string pack(const reconcile_request& request);
std::string pack(const reconcile_response& response);
std::string pack(const disk_frame& frame);
std::string pack(const core::batches::job& job);

std::optional<append_request> unpack_append(std::string_view bytes);
std::optional<append_response> unpack_append_response(std::string_view bytes);
std::optional<reconcile_request> unpack_reconcile(std::string_view bytes);
std::optional<reconcile_response>
unpack_reconcile_response(std::string_view bytes);
std::optional<disk_frame> unpack_frame(std::string_view bytes);
std::optional<core::batches::job> unpack_job(std::string_view bytes);

/// @brief The placement as JSON text, as it is written to the store.
std::string placement_text(const core::batches::placement& placement);
std::optional<core::batches::placement> parse_placement(std::string_view text);

} // namespace amaranthhatch::batches
