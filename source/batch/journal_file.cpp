#include "batch/journal_file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "core/hash.hpp"
#include "errors/failure.hpp"

namespace amaranthhatch::batch
{

namespace
{

namespace messages = core::messages;

struct entry_head
{
    std::uint32_t size = 0;
    std::uint32_t type = 0;
    std::uint64_t checksum = 0;
};

constexpr std::uint32_t entry_limit_bytes = 64u << 20;

std::uint64_t number_of(std::string_view payload)
{
    std::uint64_t number = 0;
    if (payload.size() == sizeof number)
        std::memcpy(&number, payload.data(), sizeof number);
    return number;
}

std::string payload_of(std::uint64_t number)
{
    return std::string(reinterpret_cast<const char*>(&number), sizeof number);
}

bool read_at(int descriptor, char* to, std::size_t size, std::uint64_t offset)
{
    std::size_t got = 0;
    while (got < size)
    {
        ssize_t count = pread(descriptor, to + got, size - got,
                              static_cast<off_t>(offset + got));
        if (count <= 0)
            return false;
        got += static_cast<std::size_t>(count);
    }
    return true;
}

} // namespace

journal_file::journal_file(std::string path) : path(std::move(path))
{
    constexpr int mode = 0644;
    this->descriptor = open(this->path.c_str(), O_RDWR | O_CREAT, mode);
    if (this->descriptor < 0)
        throw errors::failure("open", this->path, std::strerror(errno));
    this->load();
}

journal_file::~journal_file()
{
    close(this->descriptor);
}

void journal_file::load()
{
    std::uint64_t offset = 0;
    while (this->load_entry(offset))
    {
    }
    this->file_size = offset;
    // What follows is an entry whose write was cut short; it was never
    // answered, so nobody counts on it.
    if (ftruncate(this->descriptor, static_cast<off_t>(offset)) != 0)
        throw errors::failure("truncate", this->path, std::strerror(errno));
}

bool journal_file::load_entry(std::uint64_t& offset)
{
    entry_head head;
    if (!read_at(this->descriptor, reinterpret_cast<char*>(&head), sizeof head,
                 offset) ||
        head.size > entry_limit_bytes)
        return false;
    std::string payload(head.size, '\0');
    bool whole = read_at(this->descriptor, payload.data(), head.size,
                         offset + sizeof head) &&
                 core::hash(payload, head.type) == head.checksum;
    if (!whole)
        return false;
    switch (static_cast<entry_type>(head.type))
    {
    case entry_type::record:
        this->state.applied(this->state.length(), std::span(&payload, 1));
        this->places.push_back({offset + sizeof head, head.size});
        break;
    case entry_type::seal:
        this->state.seal(number_of(payload));
        break;
    case entry_type::cut:
        this->state.applied(number_of(payload), {});
        this->places.resize(this->state.length());
        break;
    }
    offset += sizeof head + head.size;
    return true;
}

void journal_file::write_entry(entry_type type, std::string_view payload,
                               std::string& out, std::uint64_t base)
{
    entry_head head;
    head.size = static_cast<std::uint32_t>(payload.size());
    head.type = static_cast<std::uint32_t>(type);
    head.checksum = core::hash(payload, head.type);
    if (type == entry_type::record)
        this->places.push_back({base + out.size() + sizeof head, head.size});
    out.append(reinterpret_cast<const char*>(&head), sizeof head);
    out.append(payload);
}

void journal_file::write_out(const std::string& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size())
    {
        ssize_t count =
            pwrite(this->descriptor, bytes.data() + done, bytes.size() - done,
                   static_cast<off_t>(this->file_size + done));
        if (count < 0)
            throw errors::failure("write", this->path, std::strerror(errno));
        done += static_cast<std::size_t>(count);
    }
    if (fdatasync(this->descriptor) != 0)
        throw errors::failure("flush", this->path, std::strerror(errno));
    this->file_size += bytes.size();
}

messages::append_answer
journal_file::append(const messages::journal_append& request)
{
    std::lock_guard lock(this->guard);
    auto decision = this->state.decide(request);
    messages::append_answer answer;
    answer.result = decision.verdict;
    if (decision.verdict == messages::append_answer::verdict::stored)
    {
        std::string out;
        if (request.epoch > this->state.epoch())
        {
            this->write_entry(entry_type::seal, payload_of(request.epoch), out,
                              this->file_size);
            this->state.seal(request.epoch);
        }
        if (decision.keep < this->state.length())
        {
            this->write_entry(entry_type::cut, payload_of(decision.keep), out,
                              this->file_size);
            this->places.resize(decision.keep);
        }
        auto added = std::span(request.records).subspan(decision.skip);
        for (const auto& record : added)
            this->write_entry(entry_type::record, record, out, this->file_size);
        if (!out.empty())
            this->write_out(out);
        this->state.applied(decision.keep, added);
        this->state.advance_committed(request.committed);
    }
    answer.epoch = this->state.epoch();
    answer.length = this->state.length();
    return answer;
}

bool journal_file::seal(std::uint64_t epoch)
{
    std::lock_guard lock(this->guard);
    if (epoch == this->state.epoch())
        return true;
    if (!this->state.seal(epoch))
        return false;
    std::string out;
    this->write_entry(entry_type::seal, payload_of(epoch), out,
                      this->file_size);
    this->write_out(out);
    return true;
}

std::uint64_t journal_file::length() const
{
    std::lock_guard lock(this->guard);
    return this->state.length();
}

std::uint64_t journal_file::committed() const
{
    std::lock_guard lock(this->guard);
    return this->state.committed();
}

std::uint64_t journal_file::epoch() const
{
    std::lock_guard lock(this->guard);
    return this->state.epoch();
}

void journal_file::learn_committed(std::uint64_t position)
{
    std::lock_guard lock(this->guard);
    this->state.advance_committed(position);
}

std::vector<std::string> journal_file::read(std::uint64_t from,
                                            std::uint64_t end,
                                            std::size_t limit_bytes) const
{
    std::lock_guard lock(this->guard);
    std::vector<std::string> records;
    std::size_t total = 0;
    end = std::min<std::uint64_t>(end, this->places.size());
    for (std::uint64_t index = from; index < end && total < limit_bytes;
         ++index)
    {
        const place& at = this->places[index];
        std::string record(at.size, '\0');
        if (!read_at(this->descriptor, record.data(), at.size, at.offset))
            throw errors::failure("read", this->path, "a record is missing");
        total += record.size();
        records.push_back(std::move(record));
    }
    return records;
}

} // namespace amaranthhatch::batch
