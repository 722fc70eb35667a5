#pragma once

#include <string>
#include <vector>

#include "load/load_plan.hpp"
#include "settings/document.hpp"

namespace amaranthhatch::bench
{

/// @brief What goes wrong while a variant runs.
enum class slowness
{
    none,
    /// Some engines are slow all the time.
    fixed,
    /// The slow ones change every few seconds.
    wandering,
    /// All engines are slow.
    all
};

/// @brief One way of running the plan's load.
struct variant
{
    std::string name;
    std::string strategy;
    std::string order;
    slowness slow = slowness::none;
    std::vector<std::string> streams;
    bool batch = false;
};

/// @brief A ratio of two variants' values, with its bound.
struct ratio
{
    std::string name;
    std::string of;
    std::string to;
    std::string stream;
    std::string metric;
    /// In per mille; zero where there is no bound on that side.
    double least = 0;
    double most = 0;
};

/// @brief A benchmark: a fleet, a load, its variants and its ratios.
struct bench_plan
{
    std::string name;
    int entries = 8;
    int engines = 8;
    int batch_hosts = 0;
    int concurrency = 8;
    int engine_gap_ms = 20;
    int slow_engines = 3;
    int slow_factor = 5;
    int seeds = 1;
    load::load_plan load;
    std::vector<variant> variants;
    std::vector<ratio> ratios;
};

/// @brief Reads and checks a plan file.
bench_plan read_bench_plan(const std::string& path);

} // namespace amaranthhatch::bench
