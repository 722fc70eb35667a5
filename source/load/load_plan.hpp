#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/instant.hpp"
#include "settings/document.hpp"

namespace amaranthhatch::load
{

/// @brief One kind of online request and how often it comes.
struct load_stream
{
    std::string name;
    std::string work_class;
    double per_second = 1;
    std::uint32_t tokens = 16;
    std::uint32_t prompt_bytes = 200;
    /// Rate factor during bursts.
    double burst_factor = 1;
};

/// @brief An open-loop load on a fleet's entries.
struct load_plan
{
    std::string model;
    core::milliseconds duration{10'000};
    /// Requests that start before this are sent but not measured.
    core::milliseconds warm_up{0};
    core::milliseconds burst_every{0};
    core::milliseconds burst_length{0};
    std::uint64_t seed = 1;
    std::vector<load_stream> streams;
};

/// @brief Reads and checks a plan; the caller finishes the document.
load_plan read_plan(settings::document& from);

/// @brief One request of a plan.
struct planned_request
{
    core::milliseconds at{};
    std::size_t stream = 0;
    std::string prompt;
};

/// @brief The requests of a plan: Poisson arrivals from its seed.
std::vector<planned_request> schedule(const load_plan& plan);

} // namespace amaranthhatch::load
