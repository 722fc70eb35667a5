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
#include "logging/event.hpp"

namespace amaranthhatch::batches
{

namespace
{

struct frame_head
{
    std::uint32_t length = 0;
    std::uint32_t unused = 0;
    std::uint64_t checksum = 0;
};

void append_frame(std::string& out, std::string_view payload)
{
    frame_head head;
    head.length = static_cast<std::uint32_t>(payload.size());
    head.checksum = core::hash(payload, payload.size());
    out.append(reinterpret_cast<const char*>(&head), sizeof head);
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

// The bytes up to the first frame that isn't whole.
std::size_t each_frame(std::string_view bytes,
                       const disk_log::frame_callback& frame)
{
    std::size_t at = 0;
    while (at + sizeof(frame_head) <= bytes.size())
    {
        frame_head head;
        std::memcpy(&head, bytes.data() + at, sizeof head);
        auto payload = bytes.substr(at + sizeof head);
        if (head.length == 0 || head.length > payload.size())
            break;
        payload = payload.substr(0, head.length);
        if (core::hash(payload, payload.size()) != head.checksum)
            break;
        frame(payload);
        at += sizeof head + head.length;
    }
    return at;
}

} // namespace

disk_log::disk_log(boost::asio::io_context& loop, std::string folder)
    : loop(loop), folder(std::move(folder))
{
    std::error_code error;
    std::filesystem::create_directories(this->folder, error);
    this->read_identity();
    auto known = this->files();
    this->file_number = known.empty() ? 1 : known.back();
    this->open_file(this->file_number);
    this->writer = std::thread([this] { this->run(); });
}

disk_log::~disk_log()
{
    {
        std::lock_guard lock(this->guard);
        this->stopping = true;
    }
    this->arrived.notify_all();
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
        return;
    std::random_device device;
    char text[length + 1];
    std::snprintf(text, sizeof text, "%08x%08x", device(), device());
    this->disk_identity = text;
    int made = ::open(path.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
    bool stored =
        made >= 0 && write_all(made, this->disk_identity) && ::fsync(made) == 0;
    if (made >= 0)
        ::close(made);
    if (!stored)
        throw errors::failure("write identity", path,
                              "the data folder must be writable");
    this->sync_folder();
}

std::string disk_log::path_of(std::uint64_t number) const
{
    char name[32];
    std::snprintf(name, sizeof name, "/log-%08lu", number);
    return this->folder + name;
}

std::vector<std::uint64_t> disk_log::files() const
{
    constexpr std::string_view prefix = "log-";
    std::vector<std::uint64_t> out;
    std::error_code error;
    for (const auto& each :
         std::filesystem::directory_iterator(this->folder, error))
    {
        auto name = each.path().filename().string();
        if (name.starts_with(prefix))
            out.push_back(
                std::strtoull(name.c_str() + prefix.size(), nullptr, 10));
    }
    std::sort(out.begin(), out.end());
    return out;
}

void disk_log::open_file(std::uint64_t number)
{
    auto path = this->path_of(number);
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
    int opened = ::open(this->folder.c_str(), O_RDONLY | O_DIRECTORY);
    if (opened < 0)
        return;
    ::fsync(opened);
    ::close(opened);
}

void disk_log::replay(const frame_callback& frame)
{
    for (auto number : this->files())
    {
        auto path = this->path_of(number);
        auto bytes = read_file(path);
        auto whole = each_frame(bytes, frame);
        if (number == this->file_number)
            this->written_bytes = whole;
        if (whole == bytes.size())
            continue;
        logging::event(logging::level::warning, "log_tail_dropped")
            .with("file", path)
            .with("bytes", static_cast<std::int64_t>(bytes.size() - whole));
        if (::truncate(path.c_str(), static_cast<off_t>(whole)) != 0)
            throw errors::failure("truncate log", path, std::strerror(errno));
    }
}

void disk_log::append(std::vector<std::string> frames,
                      std::function<void()> stored)
{
    {
        std::lock_guard lock(this->guard);
        // What waits together is written and synced together.
        if (this->waiting.empty())
            this->waiting.emplace_back();
        auto& group = this->waiting.back();
        auto before = group.bytes.size();
        for (const auto& each : frames)
            append_frame(group.bytes, each);
        this->written_bytes += group.bytes.size() - before;
        if (stored)
            group.stored.push_back(std::move(stored));
    }
    this->arrived.notify_one();
}

void disk_log::compact(std::vector<std::string> frames)
{
    {
        std::lock_guard lock(this->guard);
        auto& group = this->waiting.emplace_back();
        group.starts_file = true;
        for (const auto& each : frames)
            append_frame(group.bytes, each);
        this->written_bytes = group.bytes.size();
    }
    this->arrived.notify_one();
}

void disk_log::run()
{
    for (;;)
    {
        batch group;
        {
            std::unique_lock lock(this->guard);
            this->arrived.wait(
                lock,
                [this] { return this->stopping || !this->waiting.empty(); });
            if (this->waiting.empty())
                return;
            group = std::move(this->waiting.front());
            this->waiting.pop_front();
        }
        this->write(group);
    }
}

void disk_log::write(batch& group)
{
    std::vector<std::uint64_t> older;
    if (group.starts_file)
    {
        older = this->files();
        this->open_file(this->file_number + 1);
    }
    bool stored =
        write_all(this->file, group.bytes) && ::fdatasync(this->file) == 0;
    if (!stored)
    {
        // A disk that can't store can't keep a promise either; the copies go
        // on without this host.
        logging::event(logging::level::error, "disk_failed")
            .with("folder", this->folder)
            .with("detail", std::strerror(errno));
        std::_Exit(1);
    }
    for (auto number : older)
        ::unlink(this->path_of(number).c_str());
    if (!older.empty())
        this->sync_folder();
    boost::asio::post(this->loop,
                      [done = std::move(group.stored)]
                      {
                          for (const auto& each : done)
                              each();
                      });
}

} // namespace amaranthhatch::batches
