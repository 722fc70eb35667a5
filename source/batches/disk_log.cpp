#include "batches/disk_log.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>

#include <boost/asio/post.hpp>

#include "core/hash.hpp"
#include "errors/failure.hpp"
#include "host/boot_clock.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::batches
{

namespace
{

// A write that takes longer delays the acknowledgement of jobs beyond the time
// that their callers wait.
constexpr core::milliseconds slow_sync{1000};

struct frame_header
{
    std::uint32_t length = 0;
    std::uint32_t unused = 0;
    std::uint64_t checksum = 0;
};

void append_frame(std::string& out, std::string_view payload)
{
    frame_header header;
    header.length = static_cast<std::uint32_t>(payload.size());
    header.checksum = core::hash(payload, payload.size());
    out.append(reinterpret_cast<const char*>(&header), sizeof header);
    out += payload;
}

std::string read_file(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

bool write_all(int file, std::string_view bytes)
{
    while (!bytes.empty())
    {
        auto count = ::write(file, bytes.data(), bytes.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

struct frame_list
{
    std::vector<std::string_view> payloads;
    /// Number of bytes before the first incomplete or corrupt frame.
    std::size_t bytes = 0;
};

frame_list valid_frames(std::string_view bytes)
{
    frame_list frames;
    while (frames.bytes + sizeof(frame_header) <= bytes.size())
    {
        frame_header header;
        std::memcpy(&header, bytes.data() + frames.bytes, sizeof header);
        auto payload = bytes.substr(frames.bytes + sizeof header);
        if (header.length == 0 || header.length > payload.size())
            break;
        payload = payload.substr(0, header.length);
        if (core::hash(payload, payload.size()) != header.checksum)
            break;
        frames.payloads.push_back(payload);
        frames.bytes += sizeof header + header.length;
    }
    return frames;
}

void drop_tail(const std::string& path, std::size_t valid_bytes,
               std::size_t bytes)
{
    logging::event(logging::level::warning, "log_tail_dropped")
        .with("file", path)
        .with("bytes", static_cast<std::int64_t>(bytes - valid_bytes));
    if (::truncate(path.c_str(), static_cast<off_t>(valid_bytes)) != 0)
        throw errors::failure("truncate log", path, std::strerror(errno));
}

void sync_file(std::string_view step, const std::string& path)
{
    int descriptor = ::open(path.c_str(), O_RDONLY);
    bool synced = descriptor >= 0 && ::fsync(descriptor) == 0;
    int cause = errno;
    if (descriptor >= 0)
        ::close(descriptor);
    if (!synced)
        throw errors::failure(step, path, std::strerror(cause));
}

} // namespace

disk_log::disk_log(boost::asio::io_context& loop, std::string folder)
    : loop(loop), folder(std::move(folder))
{
    std::error_code error;
    std::filesystem::create_directories(this->folder, error);
    this->read_identity();
    auto numbers = this->file_numbers();
    this->file_number = numbers.empty() ? 1 : numbers.back();
    this->open_file(this->file_number);
    this->writer = std::thread([this] { this->run_writer(); });
}

disk_log::~disk_log()
{
    {
        std::lock_guard lock(this->queue_mutex);
        this->stopping = true;
    }
    this->queue_changed.notify_all();
    this->writer.join();
    if (this->file >= 0)
        ::close(this->file);
}

void disk_log::read_identity()
{
    auto path = this->folder + "/identity";
    this->disk_identity = read_file(path);
    constexpr std::size_t length = 16;
    if (this->disk_identity.size() == length)
        return sync_file("sync identity", path);
    std::random_device device;
    char text[length + 1];
    std::snprintf(text, sizeof text, "%08x%08x", device(), device());
    this->disk_identity = text;
    int descriptor = ::open(path.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
    bool synced = descriptor >= 0 &&
                  write_all(descriptor, this->disk_identity) &&
                  ::fsync(descriptor) == 0;
    if (descriptor >= 0)
        ::close(descriptor);
    if (!synced)
        throw errors::failure("write identity", path,
                              "the data folder must be writable");
    this->sync_folder();
}

std::string disk_log::file_path(std::uint64_t number) const
{
    char name[32];
    std::snprintf(name, sizeof name, "/log-%08lu", number);
    return this->folder + name;
}

std::vector<std::uint64_t> disk_log::file_numbers() const
{
    constexpr std::string_view prefix = "log-";
    std::vector<std::uint64_t> numbers;
    std::error_code error;
    for (const auto& entry :
         std::filesystem::directory_iterator(this->folder, error))
    {
        auto name = entry.path().filename().string();
        if (name.starts_with(prefix))
            numbers.push_back(
                std::strtoull(name.c_str() + prefix.size(), nullptr, 10));
    }
    std::sort(numbers.begin(), numbers.end());
    return numbers;
}

void disk_log::open_file(std::uint64_t number)
{
    auto path = this->file_path(number);
    if (this->file >= 0)
        ::close(this->file);
    this->file = ::open(path.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    if (this->file < 0)
        throw errors::failure("open log", path, std::strerror(errno));
    this->file_number = number;
    this->sync_folder();
}

void disk_log::sync_folder() const
{
    int descriptor = ::open(this->folder.c_str(), O_RDONLY | O_DIRECTORY);
    if (descriptor < 0)
        return;
    ::fsync(descriptor);
    ::close(descriptor);
}

// A process that was killed between a write and its sync leaves frames in the
// page cache only. They are read back like all others, and callers count them
// as stored, so the file is synced before they are reported.
void disk_log::replay(const frame_callback& on_frame)
{
    for (auto number : this->file_numbers())
    {
        auto path = this->file_path(number);
        auto bytes = read_file(path);
        auto frames = valid_frames(bytes);
        if (frames.bytes < bytes.size())
            drop_tail(path, frames.bytes, bytes.size());
        sync_file("sync log", path);
        if (number == this->file_number)
            this->written_bytes = frames.bytes;
        for (auto payload : frames.payloads)
            on_frame(payload);
    }
}

void disk_log::append(std::vector<std::string> frames,
                      std::function<void()> on_synced)
{
    {
        std::lock_guard lock(this->queue_mutex);
        // All frames that are queued while the writer is busy form one group,
        // which is written and synced at once.
        if (this->queue.empty())
            this->queue.emplace_back();
        auto& group = this->queue.back();
        auto before = group.bytes.size();
        for (const auto& frame : frames)
            append_frame(group.bytes, frame);
        this->written_bytes += group.bytes.size() - before;
        if (on_synced)
            group.callbacks.push_back(std::move(on_synced));
    }
    this->queue_changed.notify_one();
}

void disk_log::compact(std::vector<std::string> frames)
{
    {
        std::lock_guard lock(this->queue_mutex);
        auto& group = this->queue.emplace_back();
        group.starts_file = true;
        for (const auto& frame : frames)
            append_frame(group.bytes, frame);
        this->written_bytes = group.bytes.size();
    }
    this->queue_changed.notify_one();
}

void disk_log::run_writer()
{
    for (;;)
    {
        write_group group;
        {
            std::unique_lock lock(this->queue_mutex);
            this->queue_changed.wait(
                lock,
                [this] { return this->stopping || !this->queue.empty(); });
            if (this->queue.empty())
                return;
            group = std::move(this->queue.front());
            this->queue.pop_front();
        }
        this->write(group);
    }
}

void disk_log::write(write_group& group)
{
    std::vector<std::uint64_t> old_numbers;
    if (group.starts_file)
    {
        old_numbers = this->file_numbers();
        this->open_file(this->file_number + 1);
    }
    auto began = host::boot_now();
    bool synced =
        write_all(this->file, group.bytes) && ::fdatasync(this->file) == 0;
    auto elapsed = host::boot_now() - began;
    if (elapsed > slow_sync)
        logging::event(logging::level::warning, "disk_slow")
            .with("folder", this->folder)
            .with("bytes", static_cast<std::int64_t>(group.bytes.size()))
            .with("ms", elapsed.count());
    if (!synced)
    {
        // A host that can't store records must not confirm any, so the process
        // exits. The hosts of the other copies take over its partitions.
        logging::event(logging::level::error, "disk_failed")
            .with("folder", this->folder)
            .with("detail", std::strerror(errno));
        std::_Exit(1);
    }
    for (auto number : old_numbers)
        ::unlink(this->file_path(number).c_str());
    if (!old_numbers.empty())
        this->sync_folder();
    boost::asio::post(this->loop,
                      [callbacks = std::move(group.callbacks)]
                      {
                          for (const auto& callback : callbacks)
                              callback();
                      });
}

} // namespace amaranthhatch::batches
