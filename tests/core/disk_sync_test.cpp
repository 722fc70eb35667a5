#include <catch2/catch.hpp>

#include <fcntl.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "batches/disk_log.hpp"
#include "batches/job_store.hpp"
#include "batches/records.hpp"
#include "errors/failure.hpp"

#include "log_folder.hpp"

using namespace amaranthhatch;
using tests::log_folder;

namespace
{

/// @brief What would be left of each file after a power loss: its content at
/// its last sync.
class synced_files
{
public:
    static synced_files& instance()
    {
        static synced_files files;
        return files;
    }

    void record(bool on)
    {
        std::lock_guard lock(this->mutex);
        this->recording = on;
        this->failing.reset();
        this->contents.clear();
    }

    void fail_syncs_of(const std::string& path)
    {
        std::lock_guard lock(this->mutex);
        this->failing = inode_of(path);
    }

    /// @brief Called in place of each sync; returns false if it must fail.
    bool sync(int descriptor)
    {
        std::lock_guard lock(this->mutex);
        struct stat status = {};
        if (!this->recording || ::fstat(descriptor, &status) != 0 ||
            !S_ISREG(status.st_mode))
            return true;
        if (this->failing == status.st_ino)
            return false;
        // The descriptor may be open for writing only.
        this->contents[status.st_ino] =
            content_of("/proc/self/fd/" + std::to_string(descriptor));
        return true;
    }

    std::optional<std::string> content(const std::string& path)
    {
        std::lock_guard lock(this->mutex);
        auto found = this->contents.find(inode_of(path));
        if (found == this->contents.end())
            return std::nullopt;
        return found->second;
    }

    static std::string content_of(const std::string& path)
    {
        std::ifstream in(path, std::ios::binary);
        return {std::istreambuf_iterator<char>(in), {}};
    }

private:
    static ino_t inode_of(const std::string& path)
    {
        struct stat status = {};
        REQUIRE(::stat(path.c_str(), &status) == 0);
        return status.st_ino;
    }

    std::mutex mutex;
    bool recording = false;
    std::optional<ino_t> failing;
    std::map<ino_t, std::string> contents;
};

int sync_unless_failing(int descriptor, long call)
{
    if (synced_files::instance().sync(descriptor))
        return static_cast<int>(::syscall(call, descriptor));
    errno = EIO;
    return -1;
}

} // namespace

// These replace the functions of the C library in this program.
extern "C" int fsync(int descriptor)
{
    return sync_unless_failing(descriptor, SYS_fsync);
}

extern "C" int fdatasync(int descriptor)
{
    return sync_unless_failing(descriptor, SYS_fdatasync);
}

namespace
{

/// @brief The bytes of a file with these frames, as a log writes them.
std::string file_with(const std::vector<std::string>& frames)
{
    log_folder other;
    other.store(frames);
    auto bytes = synced_files::content_of(other.file());
    REQUIRE_FALSE(bytes.empty());
    return bytes;
}

/// @brief A host whose process can be killed between a write and its sync, and
/// which can lose its power.
struct killed_host : log_folder
{
    killed_host() { synced_files::instance().record(true); }
    ~killed_host() { synced_files::instance().record(false); }

    /// @brief Writes without a sync, as a process that is killed before it.
    static void write_unsynced(const std::string& path,
                               const std::string& bytes)
    {
        std::ofstream out(path, std::ios::binary | std::ios::app);
        out << bytes;
    }

    /// @brief Leaves of each file what was synced last.
    void lose_power()
    {
        for (const auto& entry :
             std::filesystem::directory_iterator(this->path))
        {
            auto file = entry.path().string();
            auto left = synced_files::instance().content(file).value_or("");
            std::ofstream out(file, std::ios::binary | std::ios::trunc);
            out << left;
        }
    }

    static bool synced(const std::string& path)
    {
        return synced_files::instance().content(path) ==
               synced_files::content_of(path);
    }
};

std::string accepted_job_frame(const std::string& id)
{
    auto job = std::make_shared<core::batches::job>();
    job->id = id;
    auto record = std::make_shared<core::batches::record>();
    record->epoch = 1;
    record->accepted = std::move(job);
    batches::disk_frame frame;
    frame.append = {id, 0, 0, {std::move(record)}, 1};
    return batches::pack(frame);
}

} // namespace

TEST_CASE_METHOD(killed_host,
                 "disk log, killed between write and sync, syncs the frames "
                 "before it reports them")
{
    this->store({"one"});
    this->write_unsynced(this->file(), file_with({"two"}));
    REQUIRE_FALSE(this->synced(this->file()));
    std::vector<std::string> frames;
    batches::disk_log log(this->loop, this->path);
    log.replay(
        [&](std::string_view frame)
        {
            CHECK(this->synced(this->file()));
            frames.emplace_back(frame);
        });
    CHECK(frames == std::vector<std::string>{"one", "two"});
}

TEST_CASE_METHOD(killed_host,
                 "disk log, power lost after it read frames back, still has "
                 "them")
{
    this->write_unsynced(this->file(1), file_with({"one"}));
    this->write_unsynced(this->file(2), file_with({"two"}));
    auto reported = this->replay();
    REQUIRE(reported == std::vector<std::string>{"one", "two"});
    this->lose_power();
    CHECK(this->replay() == reported);
}

TEST_CASE_METHOD(killed_host,
                 "disk log, incomplete frame that reached the disk, is gone "
                 "from it before frames are reported")
{
    this->store({"one"});
    auto incomplete = file_with({"two"});
    incomplete.pop_back();
    this->write_unsynced(this->file(), incomplete);
    int descriptor = ::open(this->file().c_str(), O_WRONLY);
    REQUIRE(::fsync(descriptor) == 0);
    ::close(descriptor);
    REQUIRE(this->synced(this->file()));
    batches::disk_log log(this->loop, this->path);
    int reported = 0;
    log.replay(
        [&](std::string_view)
        {
            CHECK(this->synced(this->file()));
            reported++;
        });
    CHECK(reported == 1);
    CHECK(synced_files::instance().content(this->file()) == file_with({"one"}));
}

TEST_CASE_METHOD(killed_host,
                 "disk identity, killed between write and sync, is synced "
                 "before it is reported")
{
    const std::string unsynced = "0123456789abcdef";
    this->write_unsynced(this->identity_file(), unsynced);
    {
        batches::disk_log log(this->loop, this->path);
        CHECK(log.identity() == unsynced);
        CHECK(this->synced(this->identity_file()));
    }
    this->lose_power();
    batches::disk_log log(this->loop, this->path);
    CHECK(log.identity() == unsynced);
}

TEST_CASE_METHOD(killed_host,
                 "job store, power lost after it read a job back, still has "
                 "what it reported as synced")
{
    this->write_unsynced(this->file(), file_with({accepted_job_frame("job")}));
    {
        batches::disk_log log(this->loop, this->path);
        batches::job_store jobs(log, 1);
        REQUIRE(jobs.synced("job") == 1);
    }
    this->lose_power();
    batches::disk_log log(this->loop, this->path);
    batches::job_store jobs(log, 1);
    CHECK(jobs.synced("job") == 1);
}

TEST_CASE_METHOD(killed_host,
                 "disk log, sync fails while it is read back, reports no frame")
{
    this->store({"one"});
    synced_files::instance().fail_syncs_of(this->file());
    batches::disk_log log(this->loop, this->path);
    int reported = 0;
    try
    {
        log.replay([&](std::string_view) { reported++; });
        FAIL("the failed sync wasn't reported");
    }
    catch (const errors::failure& error)
    {
        CHECK(error.step() == "sync log");
        CHECK(error.peer() == this->file());
    }
    CHECK(reported == 0);
}

TEST_CASE_METHOD(killed_host, "disk identity, sync fails, isn't reported")
{
    this->store({"one"});
    synced_files::instance().fail_syncs_of(this->identity_file());
    CHECK_THROWS_AS(batches::disk_log(this->loop, this->path), errors::failure);
}
