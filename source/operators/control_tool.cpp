#include "operators/control_tool.hpp"

#include <algorithm>
#include <fstream>
#include <map>
#include <ostream>
#include <set>
#include <sstream>
#include <thread>

#include "configuration/parse.hpp"
#include "control/control_loop.hpp"
#include "errors/failure.hpp"
#include "net/codec.hpp"
#include "process/program.hpp"

namespace amaranthhatch::operators
{

namespace
{

namespace messages = core::messages;

using adapters::store_result;
using std::chrono::milliseconds;

constexpr int exit_done = 0;
constexpr int exit_failed = 1;
constexpr int exit_conflict = 3;
constexpr int exit_unknown = 4;
constexpr milliseconds ask_limit{1000};
constexpr milliseconds poll_interval{100};

constexpr std::string_view liveness_names[] = {"alive", "suspect", "dead",
                                               "left"};
constexpr std::string_view role_names[] = {"coordinator", "batch", "entry"};
constexpr std::string_view state_names[] = {"unknown",   "running",  "waiting",
                                            "cancelled", "finished", "lost"};
constexpr std::string_view forecast_names[] = {"on time", "at risk",
                                               "not doable"};

std::string read_file(const std::string& path)
{
    std::ifstream from(path);
    if (!from)
        throw errors::failure("read", path, "the file can't be opened");
    std::ostringstream text;
    text << from.rdbuf();
    return text.str();
}

std::vector<std::string> lines_of(const std::string& text)
{
    std::vector<std::string> lines;
    std::istringstream from(text);
    for (std::string line; std::getline(from, line);)
        lines.push_back(line);
    return lines;
}

// A table entry is named with its table, so that a changed key of one class
// can't be taken for another class's.
std::vector<std::string> qualified_lines(const std::string& text)
{
    std::vector<std::string> lines;
    std::string table;
    for (const auto& line : lines_of(text))
    {
        if (line.starts_with("["))
            table = line;
        else if (!line.empty() && !line.starts_with("#"))
            lines.push_back(table + " " + line);
    }
    return lines;
}

} // namespace

control_tool::control_tool(adapters::key_value_store& store,
                           std::vector<std::string> coordinators,
                           net::rpc_client& peers, std::ostream& out)
    : store(store), coordinators(std::move(coordinators)), peers(peers),
      out(out)
{
}

int control_tool::validate(const std::string& file)
{
    auto declared = configuration::parse_declarations(read_file(file), file);
    this->out << "valid: " << declared.classes.size() << " classes, "
              << declared.models.size() << " models, "
              << declared.services.size() << " services, "
              << declared.workspaces.size() << " workspaces\n";
    return exit_done;
}

control_tool::current_configuration control_tool::read_current()
{
    current_configuration current;
    auto answer = this->store.read(coordinator::configuration_key);
    current.reachable = answer.result == store_result::done;
    current.version = answer.entry.version;
    if (auto value = coordinator::read_configuration(answer.entry.value))
        current.value = *value;
    return current;
}

void control_tool::print_difference(const std::string& from,
                                    const std::string& to)
{
    auto before = qualified_lines(from);
    auto after = qualified_lines(to);
    auto holds = [](const auto& lines, const std::string& line)
    { return std::find(lines.begin(), lines.end(), line) != lines.end(); };
    for (const auto& line : before)
    {
        if (!holds(after, line))
            this->out << "- " << line << "\n";
    }
    for (const auto& line : after)
    {
        if (!holds(before, line))
            this->out << "+ " << line << "\n";
    }
}

int control_tool::diff(const std::string& file)
{
    std::string text = read_file(file);
    configuration::parse_declarations(text, file);
    auto current = this->read_current();
    if (!current.reachable)
    {
        this->out << "the platform's key-value service is away; try again\n";
        return exit_failed;
    }
    this->out << "against revision " << current.value.revision << ":\n";
    this->print_difference(current.value.text, text);
    return exit_done;
}

int control_tool::apply(const std::string& file,
                        const std::string& operator_name, milliseconds wait)
{
    std::string text = read_file(file);
    configuration::parse_declarations(text, file);
    auto current = this->read_current();
    if (!current.reachable)
    {
        this->out << "not applied: the platform's key-value service is away; "
                     "try again\n";
        return exit_failed;
    }
    coordinator::stored_configuration next;
    next.revision = current.value.revision + 1;
    next.apply = process::random_text();
    next.operator_name = operator_name;
    next.text = text;
    auto written = adapters::write_resolved(
        this->store, coordinator::configuration_key,
        coordinator::write_configuration(next), current.version);
    if (written.result == store_result::done)
    {
        this->out << "applied: revision " << next.revision << "\n";
        return wait.count() > 0 ? this->wait_in_force(next.revision, wait)
                                : exit_done;
    }
    if (written.result == store_result::conflict)
    {
        auto winner = coordinator::read_configuration(written.entry.value);
        this->out << "conflict: revision " << (winner ? winner->revision : 0)
                  << " by " << (winner ? winner->operator_name : "nobody")
                  << " came first; it differs from this file in:\n";
        this->print_difference(winner ? winner->text : "", text);
        this->out << "take its changes up and apply again\n";
        return exit_conflict;
    }
    bool unknown = written.result == store_result::unknown;
    this->out << (unknown ? "unknown: the answer was lost; run diff to see "
                            "whether it was applied\n"
                          : "not applied: the platform's key-value service "
                            "is away; try again\n");
    return unknown ? exit_unknown : exit_failed;
}

std::vector<messages::status_answer> control_tool::ask_all()
{
    std::vector<messages::status_answer> answers;
    for (const auto& address : this->coordinators)
    {
        auto answer =
            net::decode_answer<messages::status_answer>(this->peers.ask(
                address, net::encode(messages::status_request{}), ask_limit));
        if (answer)
            answers.push_back(*answer);
    }
    return answers;
}

int control_tool::wait_in_force(std::uint64_t revision, milliseconds wait)
{
    auto end = control::monotonic_now() + wait;
    std::set<std::string> behind;
    do
    {
        behind.clear();
        auto answers = this->ask_all();
        if (answers.empty())
            behind.insert("every coordinator of the list");
        for (const auto& answer : answers)
        {
            if (answer.revision < revision)
                behind.insert(answer.name);
            for (const auto& one : answer.members)
            {
                bool counts = one.state == messages::liveness::alive &&
                              one.process_role != messages::role::batch;
                if (counts && one.revision < revision)
                    behind.insert(one.name);
            }
        }
        if (behind.empty())
        {
            this->out << "in force everywhere\n";
            return exit_done;
        }
        std::this_thread::sleep_for(poll_interval);
    } while (control::monotonic_now() < end);
    this->out << "not yet in force on:";
    for (const auto& name : behind)
        this->out << " " << name;
    this->out << "\n";
    return exit_failed;
}

int control_tool::status()
{
    auto answers = this->ask_all();
    if (answers.empty())
    {
        this->out << "no coordinator answered; check the addresses\n";
        return exit_failed;
    }
    std::map<std::string, messages::member> members;
    for (const auto& answer : answers)
    {
        this->out << "coordinator " << answer.name << ": revision "
                  << answer.revision << ", store "
                  << (answer.store_reachable ? "reachable" : "away") << "\n";
        for (const auto& one : answer.members)
        {
            auto& known = members[one.name];
            if (known.name.empty() || one.incarnation > known.incarnation ||
                one.revision > known.revision)
                known = one;
        }
    }
    for (const auto& [name, one] : members)
        this->out << "member " << name << ": "
                  << role_names[static_cast<int>(one.process_role)] << " in "
                  << one.zone << ", "
                  << liveness_names[static_cast<int>(one.state)]
                  << ", revision " << one.revision << "\n";
    for (const auto& answer : answers)
    {
        for (const auto& one : answer.endpoints)
        {
            if (one.online + one.batch == 0 && !one.ejected && !one.leaving)
                continue;
            this->out << "endpoint " << one.name << " of " << one.group
                      << " by " << answer.name << ": limit " << one.limit
                      << ", online " << one.online << ", batch " << one.batch
                      << (one.ejected ? ", set aside" : "")
                      << (one.leaving ? ", leaving" : "") << "\n";
        }
    }
    return exit_done;
}

int control_tool::jobs(const std::string& workspace)
{
    std::map<std::string, messages::job_answer> found;
    std::set<std::string> hosts;
    for (const auto& answer : this->ask_all())
    {
        for (const auto& one : answer.members)
        {
            if (one.process_role == messages::role::batch &&
                one.state != messages::liveness::dead)
                hosts.insert(one.address);
        }
    }
    for (const auto& address : hosts)
    {
        auto answer = net::decode_answer<messages::jobs_answer>(this->peers.ask(
            address, net::encode(messages::jobs_request{workspace}),
            ask_limit));
        if (!answer)
            continue;
        for (const auto& one : answer->jobs)
        {
            auto& known = found[one.description.job];
            if (!known.found || one.authoritative)
                known = one;
        }
    }
    for (const auto& [name, one] : found)
        this->out << name << ": " << state_names[static_cast<int>(one.state)]
                  << ", " << one.completed + one.failed << " of " << one.total
                  << " (" << one.failed << " failed), "
                  << forecast_names[static_cast<int>(one.deadline_forecast)]
                  << ", owner " << one.owner << "\n";
    this->out << found.size() << " jobs on " << hosts.size()
              << " batch hosts\n";
    return exit_done;
}

} // namespace amaranthhatch::operators
