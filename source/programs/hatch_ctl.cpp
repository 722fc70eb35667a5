#include <iostream>

#include <cxxopts.hpp>

#include "adapters/http_key_value_store.hpp"
#include "operators/control_tool.hpp"
#include "process/program.hpp"
#include "settings/document.hpp"

using namespace amaranthhatch;

namespace
{

constexpr int exit_usage = 2;

constexpr std::string_view usage =
    "commands:\n"
    "  validate FILE   check declarations\n"
    "  diff FILE       compare declarations with the revision in force\n"
    "  apply FILE      put declarations in force; --wait 11000 waits for it\n"
    "  status          members, revisions, busy endpoints\n"
    "  jobs            batch jobs of all batch hosts\n"
    "Hosts are drained by sending SIGTERM to their programs.\n";

int run(const cxxopts::ParseResult& parsed)
{
    std::string command = parsed["command"].as<std::string>();
    std::string argument = parsed["argument"].as<std::string>();
    std::vector<std::string> coordinators;
    std::string store_address = "127.0.0.1:1";
    if (parsed.count("settings") > 0)
    {
        auto from =
            settings::document::from_file(parsed["settings"].as<std::string>());
        coordinators = from.addresses("ctl.coordinators");
        store_address = from.address("store.address");
        from.finish();
    }
    else if (command != "validate")
    {
        std::cerr << "hatch-ctl: --settings FILE is missing; see --help\n";
        return exit_usage;
    }
    adapters::http_key_value_store store(store_address);
    net::rpc_client peers;
    operators::control_tool tool(store, coordinators, peers, std::cout);
    auto wait = std::chrono::milliseconds(parsed["wait"].as<int>());
    if (command == "validate")
        return tool.validate(argument);
    if (command == "diff")
        return tool.diff(argument);
    if (command == "apply")
        return tool.apply(argument, parsed["operator"].as<std::string>(), wait);
    if (command == "status")
        return tool.status();
    if (command == "jobs")
        return tool.jobs(argument);
    std::cerr << "hatch-ctl: no command \"" << command << "\"; see --help\n";
    return exit_usage;
}

} // namespace

int main(int argument_count, char** arguments)
{
    cxxopts::Options options("hatch-ctl", "Commands for operators.");
    options.add_options()("settings", "The TOML settings file to read.",
                          cxxopts::value<std::string>())(
        "operator", "The name that conflicts show to others.",
        cxxopts::value<std::string>()->default_value("operator"))(
        "wait", "Milliseconds to wait until a revision is in force.",
        cxxopts::value<int>()->default_value("0"))(
        "command", "", cxxopts::value<std::string>()->default_value(""))(
        "argument", "", cxxopts::value<std::string>()->default_value(""))(
        "version", "Print the version and exit.")("help",
                                                  "Print this help and exit.");
    options.parse_positional({"command", "argument"});
    options.positional_help("COMMAND [ARGUMENT]");
    try
    {
        auto parsed = options.parse(argument_count, arguments);
        if (parsed.count("help") > 0)
        {
            std::cout << options.help({""}) << usage;
            return 0;
        }
        if (parsed.count("version") > 0)
        {
            std::cout << "hatch-ctl " << HATCH_VERSION << "\n";
            return 0;
        }
        return run(parsed);
    }
    catch (const std::exception& error)
    {
        std::cerr << "hatch-ctl: " << error.what() << "\n";
        return exit_usage;
    }
}
