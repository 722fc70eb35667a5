#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace amaranthhatch::batches
{

/// @brief An append-only log of frames whose writes are flushed in groups.
///
/// A separate thread writes and syncs, so that the event loop never waits for
/// the disk. Frames carry a checksum. Reading stops at the first incomplete or
/// corrupt frame; neither it nor any frame after it was reported as synced.
/// What is read back, frames and identity, is synced before it is reported.
class disk_log
{
public:
    using frame_callback = std::function<void(std::string_view)>;

    /// @brief Opens the log in a folder; creates the folder and the log if they
    /// don't exist.
    ///
    /// Throws errors::failure if the folder can't be used.
    disk_log(boost::asio::io_context& loop, std::string folder);
    ~disk_log();
    disk_log(const disk_log&) = delete;
    disk_log& operator=(const disk_log&) = delete;

    /// @brief The identity of the disk, generated when the folder contains
    /// none.
    const std::string& identity() const { return this->disk_identity; }

    /// @brief Reads all frames, truncates incomplete ones and syncs the files
    /// before it calls on_frame; must be called before the first append.
    ///
    /// Throws errors::failure if a file can't be truncated or synced.
    void replay(const frame_callback& on_frame);

    /// @brief Appends frames and calls on_synced on the event loop once they
    /// are synced.
    void append(std::vector<std::string> frames,
                std::function<void()> on_synced);

    /// @brief Starts a new file with these frames and deletes the older files
    /// once it is synced.
    void compact(std::vector<std::string> frames);

    /// @brief Size of the current file including frames that are still queued.
    std::uint64_t size() const { return this->written_bytes; }

private:
    struct write_group
    {
        std::string bytes;
        std::vector<std::function<void()>> callbacks;
        bool starts_file = false;
    };

    void read_identity();
    void open_file(std::uint64_t number);
    void run_writer();
    void write(write_group& group);
    void sync_folder() const;
    std::string file_path(std::uint64_t number) const;
    std::vector<std::uint64_t> file_numbers() const;

    boost::asio::io_context& loop;
    std::string folder;
    std::string disk_identity;
    std::uint64_t file_number = 1;
    int file = -1;
    std::uint64_t written_bytes = 0;
    std::mutex queue_mutex;
    std::condition_variable queue_changed;
    std::deque<write_group> queue;
    bool stopping = false;
    std::thread writer;
};

} // namespace amaranthhatch::batches
