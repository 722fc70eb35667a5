#include "fault_table.hpp"

#include <csignal>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace amaranthhatch::tests
{

namespace
{

using nlohmann::json;

std::string trimmed(const std::string& text)
{
    auto first = text.find_first_not_of(" \t");
    if (first == std::string::npos)
        return "";
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::vector<std::string> split(const std::string& text, char at)
{
    std::vector<std::string> parts;
    std::istringstream from(text);
    for (std::string part; std::getline(from, part, at);)
        parts.push_back(trimmed(part));
    return parts;
}

} // namespace

std::vector<fault_row> read_faults(const std::string& file)
{
    std::ifstream from(std::string(HATCH_CASES) + "/faults/" + file);
    std::vector<fault_row> rows;
    for (std::string line; std::getline(from, line);)
    {
        if (line.empty() || line[0] == '#')
            continue;
        rows.push_back(split(line + " ", '|'));
    }
    if (rows.empty())
        throw std::runtime_error("the fault table " + file + " is empty");
    return rows;
}

std::vector<std::string> words_of(const std::string& text)
{
    std::vector<std::string> words;
    std::istringstream from(text);
    for (std::string word; from >> word;)
        words.push_back(word);
    return words;
}

fleet::node& node_of(fleet::fleet& running, const std::string& name)
{
    for (auto* group :
         {&running.coordinators, &running.entries, &running.batch_hosts,
          &running.engines, &running.services})
    {
        for (auto& one : *group)
        {
            if (one.name == name)
                return one;
        }
    }
    if (name == "hosts")
        return running.hosts;
    if (name == "store")
        return running.store;
    throw std::runtime_error("the fault table names no node: " + name);
}

void run_steps(fleet::fleet& running, const std::string& steps,
               const step_resolver& resolver)
{
    for (const auto& step : words_of(steps))
    {
        auto parts = split(step, ':');
        const std::string& verb = parts[0];
        std::string object = parts.size() > 1 ? parts[1] : "";
        int number = parts.size() > 2 ? std::stoi(parts[2]) : 0;
        if (resolver.step && resolver.step(step))
            continue;
        if (verb == "sleep")
        {
            std::this_thread::sleep_for(
                std::chrono::milliseconds(std::stoi(object)));
            continue;
        }
        if (verb == "outage")
        {
            fleet::admin(running.store, {{"outage", object == "on"}});
            continue;
        }
        if (verb == "lose")
        {
            fleet::admin(running.store, {{"lose_answers", std::stoi(object)}});
            continue;
        }
        if (verb == "lose-service")
        {
            fleet::admin(running.services[0],
                         {{"lose_answers", std::stoi(object)}});
            continue;
        }
        if (resolver.name)
            object = resolver.name(object);
        auto& target = node_of(running, object);
        if (verb == "kill")
            target.process->kill();
        else if (verb == "start")
            target.start();
        else if (verb == "restart-gracefully")
        {
            target.process->stop(std::chrono::seconds(60));
            target.start();
        }
        else if (verb == "wipe")
            running.clear_data(target);
        else if (verb == "stop")
            target.process->signal(SIGSTOP);
        else if (verb == "cont")
            target.process->signal(SIGCONT);
        else if (verb == "freeze")
            fleet::admin(target, {{"frozen", true}});
        else if (verb == "silent")
            fleet::admin(target, {{"silent", true}});
        else if (verb == "slow")
            fleet::admin(target, {{"slow", number}});
        else if (verb == "cut" || verb == "cross" || verb == "fail")
            fleet::admin(target, {{verb, number}});
        else
            throw std::runtime_error("the fault table has no step " + step);
    }
}

} // namespace amaranthhatch::tests
