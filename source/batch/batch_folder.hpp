#pragma once

#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "batch/journal_file.hpp"

namespace amaranthhatch::batch
{

/// @brief A batch host's data folder: uploaded files and job journals.
class batch_folder
{
public:
    /// @brief Makes the folder where it is missing.
    explicit batch_folder(std::string path);

    /// @brief Writes an uploaded file and flushes it.
    void put_file(const std::string& name, std::string_view content);
    std::optional<std::string> get_file(const std::string& name) const;

    /// @brief A job's journal, or nullptr where this host has none.
    std::shared_ptr<journal_file> find_journal(const std::string& job);
    std::shared_ptr<journal_file> make_journal(const std::string& job);

private:
    std::shared_ptr<journal_file> open(const std::string& job, bool make);

    std::string path;
    std::mutex guard;
    std::map<std::string, std::weak_ptr<journal_file>, std::less<>> journals;
    /// Keeps the journals used last open.
    std::list<std::shared_ptr<journal_file>> recent;
};

} // namespace amaranthhatch::batch
