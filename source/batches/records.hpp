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

/// @brief Records of one job that go to a copy, or onto a disk.
struct job_append
{
    std::string job;
    std::uint64_t position = 0;
    std::uint64_t previous_epoch = 0;
    std::vector<core::batches::record_ptr> records;
    /// Records in the sender's whole log of the job.
    std::uint64_t total = 0;
};

/// @brief Records of one partition from its owner to a copy.
struct append_request
{
    std::uint64_t partition = 0;
    std::uint64_t epoch = 0;
    std::string owner_disk;
    /// The disk that is meant; a host with another one answers "wrong disk".
    std::string copy_disk;
    std::vector<job_append> jobs;
    /// Jobs that are to be forgotten, as their time is over.
    std::vector<std::string> expired;
};

/// @brief How far one job's log goes at a copy.
struct job_mark
{
    std::string job;
    core::batches::log_mark mark;
    bool mismatch = false;
};

/// @brief A copy's answer to an append or to a question for its marks.
struct append_response
{
    enum class status : std::uint8_t
    {
        stored,
        /// A later epoch is known here.
        stale_epoch,
        wrong_disk
    };
    status result = status::stored;
    std::uint64_t epoch = 0;
    std::vector<job_mark> jobs;
};

/// @brief A new owner's marks, to which a copy answers with what it has more.
struct reconcile_request
{
    std::uint64_t partition = 0;
    std::uint64_t epoch = 0;
    std::string copy_disk;
    std::vector<job_mark> jobs;
};

/// @brief A copy's marks, and whole logs that go further than the owner's.
struct reconcile_response
{
    append_response state;
    std::vector<job_append> longer_logs;
};

/// @brief What a record on the disk says.
enum class frame_kind : std::uint8_t
{
    /// Records of a job at a place.
    append,
    /// A job was forgotten.
    expired,
    /// An epoch of a partition below which nothing is accepted any more.
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

/// @brief The text under which the placement lies in the store.
std::string placement_text(const core::batches::placement& placement);
std::optional<core::batches::placement> parse_placement(std::string_view text);

} // namespace amaranthhatch::batches
