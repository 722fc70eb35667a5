#pragma once

#include <cstdint>
#include <cstdlib>

namespace amaranthhatch::tests
{

/// @brief Number of seeded schedules to replay; HATCH_SCHEDULES raises it.
inline std::uint64_t schedule_count()
{
    constexpr std::uint64_t default_count = 400;
    const char* wanted = std::getenv("HATCH_SCHEDULES");
    return wanted == nullptr ? default_count
                             : std::strtoull(wanted, nullptr, 10);
}

} // namespace amaranthhatch::tests
