#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhatch::openai
{

/// @brief A batch input file that can't be accepted; names the line.
class bad_batch_input : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// @brief Checks every line of a batch input; gives the number of items.
std::uint32_t check_batch_input(std::string_view content);

/// @brief The content of the field "file" of a multipart body.
///
/// Throws bad_batch_input where the body isn't a valid form.
std::string file_of_form(std::string_view body, std::string_view content_type);

} // namespace amaranthhatch::openai
