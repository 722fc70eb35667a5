#include "data_folder.hpp"

#include <cstdlib>
#include <filesystem>

namespace amaranthhatch::tests
{

data_folder::data_folder()
{
    this->folder =
        (std::filesystem::temp_directory_path() / "hatch-disk-XXXXXX").string();
    mkdtemp(this->folder.data());
}

data_folder::~data_folder()
{
    std::filesystem::remove_all(this->folder);
}

} // namespace amaranthhatch::tests
