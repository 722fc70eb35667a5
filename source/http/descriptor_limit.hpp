#pragma once

#include <cstddef>

namespace amaranthhatch::http
{

/// @brief Number of descriptors that the process may open: the smaller of the
/// configured number and the system's soft limit; 0 configures none.
std::size_t descriptor_limit(std::size_t configured);

} // namespace amaranthhatch::http
