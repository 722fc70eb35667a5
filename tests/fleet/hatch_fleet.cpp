#include <csignal>
#include <iostream>

#include <cxxopts.hpp>

#include "fleet.hpp"
#include "process/program.hpp"

using namespace amaranthhatch;

/// Starts a two-region fleet on loopback, prints its addresses as JSON and
/// stops it on SIGTERM.
int main(int argument_count, char** arguments)
{
    cxxopts::Options options("hatch-fleet", "A fleet on loopback.");
    options.add_options()("entries", "Entry hosts.",
                          cxxopts::value<int>()->default_value("3"))(
        "batch", "Batch hosts.", cxxopts::value<int>()->default_value("3"))(
        "engines", "Model engines.", cxxopts::value<int>()->default_value("4"))(
        "services", "Plain services.",
        cxxopts::value<int>()->default_value("1"))(
        "strategy", "coordinated, round_robin or least_outstanding.",
        cxxopts::value<std::string>()->default_value("coordinated"));
    auto parsed = options.parse(argument_count, arguments);
    process::block_signals();
    fleet::fleet_plan plan;
    plan.entries = parsed["entries"].as<int>();
    plan.batch_hosts = parsed["batch"].as<int>();
    plan.engines = parsed["engines"].as<int>();
    plan.services = parsed["services"].as<int>();
    plan.strategy = parsed["strategy"].as<std::string>();
    try
    {
        fleet::fleet running(plan);
        running.start();
        nlohmann::json addresses = {{"ctl_settings", running.ctl_settings},
                                    {"folder", running.folder}};
        for (const auto& one : running.entries)
            addresses["entries"].push_back(one.address);
        for (const auto& one : running.engines)
            addresses["engines"].push_back(one.address);
        std::cout << addresses.dump() << std::endl;
        process::wait_for_stop();
        return 0;
    }
    catch (const std::exception& error)
    {
        std::cerr << "hatch-fleet: " << error.what() << "\n";
        return 1;
    }
}
