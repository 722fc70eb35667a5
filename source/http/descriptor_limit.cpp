#include "http/descriptor_limit.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <limits>

namespace amaranthhatch::http
{

std::size_t descriptor_limit(std::size_t configured)
{
    auto limit =
        configured > 0 ? configured : std::numeric_limits<std::size_t>::max();
    rlimit system{};
    if (getrlimit(RLIMIT_NOFILE, &system) == 0 &&
        system.rlim_cur != RLIM_INFINITY)
        limit = std::min<std::size_t>(limit, system.rlim_cur);
    return limit;
}

} // namespace amaranthhatch::http
