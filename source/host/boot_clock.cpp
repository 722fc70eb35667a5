#include "host/boot_clock.hpp"

#include <ctime>
#include <random>

namespace amaranthhatch::host
{

namespace
{

std::int64_t read_ms(clockid_t clock)
{
    timespec now{};
    clock_gettime(clock, &now);
    return static_cast<std::int64_t>(now.tv_sec) * 1000 + now.tv_nsec / 1000000;
}

} // namespace

core::instant boot_now()
{
    return core::instant(read_ms(CLOCK_BOOTTIME));
}

std::int64_t wall_now_ms()
{
    return read_ms(CLOCK_REALTIME);
}

double uniform()
{
    static thread_local std::mt19937_64 generator(
        (static_cast<std::uint64_t>(std::random_device()()) << 32) ^
        std::random_device()());
    return std::uniform_real_distribution<double>(0, 1)(generator);
}

} // namespace amaranthhatch::host
