#pragma once

#include <string>

namespace amaranthhatch::tests
{

/// @brief A folder for job data that is removed with this object.
class data_folder
{
public:
    data_folder();
    ~data_folder();
    data_folder(const data_folder&) = delete;
    data_folder& operator=(const data_folder&) = delete;

    const std::string& path() const { return this->folder; }

private:
    std::string folder;
};

} // namespace amaranthhatch::tests
