#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace amaranthhatch::errors
{

/// @brief An error that names the operation and the peer at which it failed.
///
/// The text ends with what the user can do about the error, if that is known.
class failure : public std::runtime_error
{
public:
    /// @brief Builds the error text as "step (peer): detail".
    failure(std::string_view step, std::string_view peer,
            std::string_view detail);

    /// @brief The operation that failed.
    const std::string& step() const { return this->failed_step; }

    /// @brief The process, address or file that the operation accessed.
    const std::string& peer() const { return this->failed_peer; }

private:
    std::string failed_step;
    std::string failed_peer;
};

} // namespace amaranthhatch::errors
