#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/jobs/journal_copy.hpp"
#include "core/messages/jobs.hpp"

namespace amaranthhatch::batch
{

/// @brief One copy of a job's journal in a file that is only appended to.
///
/// Each entry has its length and a checksum; a torn one at the end is cut off
/// when the file is opened. Every change is on the disk before it is answered.
class journal_file
{
public:
    /// @brief Opens or makes the file; throws errors::failure if it can't.
    explicit journal_file(std::string path);
    ~journal_file();
    journal_file(const journal_file&) = delete;
    journal_file& operator=(const journal_file&) = delete;

    core::messages::append_answer
    append(const core::messages::journal_append& request);

    bool seal(std::uint64_t epoch);

    std::uint64_t length() const;
    std::uint64_t committed() const;
    std::uint64_t epoch() const;
    void learn_committed(std::uint64_t position);

    /// @brief Records from a position on, up to a number of bytes; at least
    /// one where there is one.
    std::vector<std::string> read(std::uint64_t from, std::uint64_t end,
                                  std::size_t limit_bytes) const;

private:
    enum class entry_type : std::uint8_t
    {
        record,
        /// Holds the epoch that seals the file.
        seal,
        /// Holds the number of records that are kept.
        cut
    };

    struct place
    {
        std::uint64_t offset = 0;
        std::uint32_t size = 0;
    };

    void load();
    bool load_entry(std::uint64_t& offset);
    void write_entry(entry_type type, std::string_view payload,
                     std::string& out, std::uint64_t base);
    void write_out(const std::string& bytes);

    std::string path;
    int descriptor = -1;
    std::uint64_t file_size = 0;
    mutable std::mutex guard;
    core::jobs::journal_copy state;
    std::vector<place> places;
};

} // namespace amaranthhatch::batch
