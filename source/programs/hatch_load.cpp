#include <csignal>
#include <iostream>

#include <cxxopts.hpp>

#include "load/load_run.hpp"
#include "settings/document.hpp"

using namespace amaranthhatch;

int main(int argument_count, char** arguments)
{
    constexpr int exit_usage = 2;
    cxxopts::Options options(
        "hatch-load", "Drives online traffic at entries from a TOML plan.");
    options.add_options()("plan", "The TOML plan to read.",
                          cxxopts::value<std::string>())(
        "entry", "An entry's IP:PORT; may be given more than once.",
        cxxopts::value<std::vector<std::string>>())(
        "json", "Print JSON instead of a table.")("check",
                                                  "Check the plan and exit.")(
        "version", "Print the version and exit.")("help",
                                                  "Print this help and exit.");
    try
    {
        auto parsed = options.parse(argument_count, arguments);
        if (parsed.count("help") > 0)
        {
            std::cout << options.help() << "\n";
            return 0;
        }
        if (parsed.count("version") > 0)
        {
            std::cout << "hatch-load " << HATCH_VERSION << "\n";
            return 0;
        }
        if (parsed.count("plan") == 0)
        {
            std::cerr << "hatch-load: --plan FILE is missing; see --help\n";
            return exit_usage;
        }
        auto from =
            settings::document::from_file(parsed["plan"].as<std::string>());
        auto plan = load::read_plan(from);
        from.finish();
        if (parsed.count("check") > 0)
        {
            std::cout << "plan is valid\n";
            return 0;
        }
        if (parsed.count("entry") == 0)
        {
            std::cerr << "hatch-load: --entry IP:PORT is missing; see "
                         "--help\n";
            return exit_usage;
        }
        std::signal(SIGPIPE, SIG_IGN);
        auto report = load::run_load(
            plan, parsed["entry"].as<std::vector<std::string>>());
        std::cout << (parsed.count("json") > 0 ? load::report_json(report)
                                               : load::report_table(report))
                  << "\n";
        return load::broken_answers(report) == 0 ? 0 : 1;
    }
    catch (const std::exception& error)
    {
        std::cerr << "hatch-load: " << error.what() << "\n";
        return exit_usage;
    }
}
