#include "core/quarantine/crash_times.hpp"

#include <algorithm>

namespace amaranthhatch::core::quarantine
{

namespace
{

// Hosts notice the crashes of one moment within this time of each other.
constexpr milliseconds one_moment{250};
// Share of the endpoints that crash at one moment from which on their crashes
// count in full.
constexpr double most_of_them = 0.5;
constexpr std::size_t most_crashes_kept = 1024;

} // namespace

void crash_times::add(std::uint64_t endpoint, instant crashed_at)
{
    auto [known, added] = this->by_endpoint.try_emplace(endpoint, crashed_at);
    if (!added && known->second <= crashed_at)
        return;
    if (!added)
    {
        auto [first, last] = this->by_time.equal_range(known->second);
        auto stored = std::find_if(first, last,
                                   [&](const auto& each)
                                   { return each.second == endpoint; });
        this->by_time.erase(stored);
        known->second = crashed_at;
    }
    this->by_time.emplace(crashed_at, endpoint);
    if (this->by_time.size() > most_crashes_kept)
        this->remove_before(std::next(this->by_time.begin())->first);
}

void crash_times::remove_before(instant time)
{
    auto last = this->by_time.lower_bound(time);
    for (auto each = this->by_time.begin(); each != last; each++)
        this->by_endpoint.erase(each->second);
    this->by_time.erase(this->by_time.begin(), last);
}

double crash_times::weight(const std::set<std::uint64_t>& endpoints) const
{
    double sum = 0;
    for (auto endpoint : endpoints)
    {
        auto known = this->by_endpoint.find(endpoint);
        if (known == this->by_endpoint.end())
            continue;
        auto share = static_cast<double>(
                         this->crashed_about(known->second, &endpoints)) /
                     static_cast<double>(this->crashed_about(known->second));
        sum += share >= most_of_them ? 1 : share;
    }
    return sum;
}

std::size_t
crash_times::crashed_about(instant moment,
                           const std::set<std::uint64_t>* among) const
{
    auto first = this->by_time.lower_bound(moment - one_moment);
    auto last = this->by_time.upper_bound(moment + one_moment);
    return static_cast<std::size_t>(std::count_if(
        first, last,
        [among](const auto& each)
        { return among == nullptr || among->contains(each.second); }));
}

} // namespace amaranthhatch::core::quarantine
