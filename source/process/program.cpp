#include "process/program.hpp"

#include <csignal>
#include <cstdio>
#include <exception>
#include <iostream>
#include <random>

#include <cxxopts.hpp>

namespace amaranthhatch::process
{

node_settings read_node(settings::document& from)
{
    node_settings node;
    node.name = from.text("node.name");
    node.zone = from.text("node.zone");
    node.region = from.text("node.region");
    return node;
}

void block_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void wait_for_stop()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int received = 0;
    sigwait(&signals, &received);
}

int run_daemon(int argument_count, char** arguments,
               const daemon_program& program)
{
    constexpr int exit_usage = 2;
    cxxopts::Options options(std::string(program.name),
                             std::string(program.summary));
    options.add_options()("settings", "The TOML settings file to read.",
                          cxxopts::value<std::string>())(
        "check", "Check the settings file and exit.")(
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
            std::cout << program.name << " " << HATCH_VERSION << "\n";
            return 0;
        }
        if (parsed.count("settings") == 0)
        {
            std::cerr << program.name
                      << ": --settings FILE is missing; see --help\n";
            return exit_usage;
        }
        block_signals();
        auto from =
            settings::document::from_file(parsed["settings"].as<std::string>());
        bool only_check = parsed.count("check") > 0;
        program.run(from, only_check);
        if (only_check)
            std::cout << "settings are valid\n";
        return 0;
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        std::cerr << program.name << ": " << error.what() << "; see --help\n";
        return exit_usage;
    }
    catch (const settings::settings_error& error)
    {
        std::cerr << error.what() << "\n";
        return exit_usage;
    }
    catch (const std::exception& error)
    {
        std::cerr << program.name << ": " << error.what() << "\n";
        return 1;
    }
}

std::uint64_t random_number()
{
    static thread_local std::mt19937_64 generator(
        (static_cast<std::uint64_t>(std::random_device()()) << 32) ^
        std::random_device()());
    return generator();
}

std::string random_text()
{
    char text[33];
    std::snprintf(text, sizeof text, "%016lx%016lx", random_number(),
                  random_number());
    return text;
}

} // namespace amaranthhatch::process
