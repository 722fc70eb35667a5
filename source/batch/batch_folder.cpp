#include "batch/batch_folder.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "errors/failure.hpp"

namespace amaranthhatch::batch
{

namespace
{

constexpr std::size_t recent_limit = 64;

// Names come from other processes; only those of our own making are paths.
void check_name(const std::string& name)
{
    constexpr std::size_t name_limit = 128;
    auto allowed = [](unsigned char character)
    { return std::isalnum(character) || character == '-' || character == '_'; };
    bool good = !name.empty() && name.size() <= name_limit &&
                std::all_of(name.begin(), name.end(), allowed);
    if (!good)
        throw errors::failure("open", name, "the name can't be a file's");
}

void flush_folder(const std::string& path)
{
    int descriptor = open(path.c_str(), O_RDONLY | O_DIRECTORY);
    if (descriptor < 0 || fsync(descriptor) != 0)
        throw errors::failure("flush", path, std::strerror(errno));
    close(descriptor);
}

void write_flushed(const std::string& path, std::string_view content)
{
    constexpr int mode = 0644;
    int descriptor = open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, mode);
    if (descriptor < 0)
        throw errors::failure("open", path, std::strerror(errno));
    std::size_t done = 0;
    while (done < content.size())
    {
        ssize_t count =
            write(descriptor, content.data() + done, content.size() - done);
        if (count < 0)
        {
            close(descriptor);
            throw errors::failure("write", path, std::strerror(errno));
        }
        done += static_cast<std::size_t>(count);
    }
    bool flushed = fsync(descriptor) == 0;
    close(descriptor);
    if (!flushed)
        throw errors::failure("flush", path, std::strerror(errno));
}

} // namespace

batch_folder::batch_folder(std::string path) : path(std::move(path))
{
    std::error_code code;
    std::filesystem::create_directories(this->path, code);
    if (code)
        throw errors::failure("make", this->path, code.message());
}

void batch_folder::put_file(const std::string& name, std::string_view content)
{
    check_name(name);
    std::string target = this->path + "/" + name + ".input";
    std::string part = target + ".part";
    std::lock_guard lock(this->guard);
    write_flushed(part, content);
    std::filesystem::rename(part, target);
    flush_folder(this->path);
}

std::optional<std::string> batch_folder::get_file(const std::string& name) const
{
    check_name(name);
    std::ifstream from(this->path + "/" + name + ".input", std::ios::binary);
    if (!from)
        return std::nullopt;
    std::ostringstream content;
    content << from.rdbuf();
    return content.str();
}

std::shared_ptr<journal_file> batch_folder::find_journal(const std::string& job)
{
    return this->open(job, false);
}

std::shared_ptr<journal_file> batch_folder::make_journal(const std::string& job)
{
    return this->open(job, true);
}

std::shared_ptr<journal_file> batch_folder::open(const std::string& job,
                                                 bool make)
{
    check_name(job);
    std::lock_guard lock(this->guard);
    auto& known = this->journals[job];
    auto journal = known.lock();
    if (!journal)
    {
        std::string file = this->path + "/" + job + ".journal";
        bool exists = std::filesystem::exists(file);
        if (!exists && !make)
        {
            this->journals.erase(job);
            return nullptr;
        }
        journal = std::make_shared<journal_file>(file);
        if (!exists)
            flush_folder(this->path);
        known = journal;
    }
    std::erase_if(this->journals,
                  [](const auto& entry) { return entry.second.expired(); });
    this->recent.remove(journal);
    this->recent.push_front(journal);
    if (this->recent.size() > recent_limit)
        this->recent.pop_back();
    return journal;
}

} // namespace amaranthhatch::batch
