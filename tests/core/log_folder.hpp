#pragma once

#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "data_folder.hpp"

namespace amaranthhatch::tests
{

/// @brief A folder in which a disk log is opened anew by each call.
struct log_folder
{
    /// @brief The frames that the log reads back.
    std::vector<std::string> replay();

    /// @brief Appends frames and waits until they are synced.
    void store(const std::vector<std::string>& frames);

    std::string file(int number = 1) const;
    std::string identity_file() const;

    boost::asio::io_context loop;
    data_folder folder;
    std::string path = this->folder.path();
};

} // namespace amaranthhatch::tests
