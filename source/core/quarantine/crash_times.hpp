#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "core/instant.hpp"

namespace amaranthhatch::core::quarantine
{

/// @brief When endpoints crashed, to weigh how much a crash says about what the
/// endpoint was running.
///
/// Endpoints that crash at about the same moment may have one cause, such as
/// the loss of a rack. What only few of them were running was then there by
/// chance.
class crash_times
{
public:
    /// @brief Adds a crash; of several times of one endpoint the first counts.
    void add(std::uint64_t endpoint, instant crashed_at);

    /// @brief Removes the crashes before a time.
    void remove_before(instant time);

    /// @brief Counts the crashes of these endpoints as evidence against what
    /// they have in common: one each where it was running on at least half of
    /// all endpoints that crashed about then, else the share on which it was.
    double weight(const std::set<std::uint64_t>& endpoints) const;

private:
    std::size_t
    crashed_about(instant moment,
                  const std::set<std::uint64_t>* among = nullptr) const;

    std::map<std::uint64_t, instant> by_endpoint;
    std::multimap<instant, std::uint64_t> by_time;
};

} // namespace amaranthhatch::core::quarantine
