#include "fleet.hpp"

#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <sys/file.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "errors/failure.hpp"

namespace amaranthhatch::fleet
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds call_limit{60'000};

bool folders_kept = false;

bool is_free(std::uint16_t port)
{
    int socket_number = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bool bound = bind(socket_number, reinterpret_cast<sockaddr*>(&address),
                      sizeof address) == 0;
    close(socket_number);
    return bound;
}

// Takes the port from all other test programs of this user for as long as this
// one runs: the lock goes with the process, and started programs don't hold it.
bool reserve(std::uint16_t port)
{
    static const std::string folder = []
    {
        auto made = std::filesystem::temp_directory_path() /
                    ("hatch-ports-" + std::to_string(getuid()));
        std::filesystem::create_directories(made);
        return made.string();
    }();
    std::string path = folder + "/" + std::to_string(port);
    int lock = open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
    if (lock < 0)
        throw errors::failure("reserve a port", path,
                              "the lock file can't be opened; remove \"" +
                                  folder + "\"");
    if (flock(lock, LOCK_EX | LOCK_NB) == 0)
        return true;
    close(lock);
    return false;
}

std::string quoted_list(const std::vector<node>& nodes)
{
    std::string text = "[";
    for (const auto& one : nodes)
        text += "\"" + one.address + "\", ";
    return text + "]";
}

std::string kind_of(const node& one, const fleet_plan& plan)
{
    return one.name.starts_with("engine") ? plan.model : "seats";
}

} // namespace

// The programs lie in the build's folder of binaries, which CTest names.
std::string binary(const std::string& name)
{
    const char* folder = std::getenv("HATCH_BINARIES");
    return std::string(folder == nullptr ? "build/release/bin" : folder) + "/" +
           name;
}

// Ports lie below those that outgoing connections get, and none is given
// twice: a program that starts seconds later still finds its port free.
std::string free_address()
{
    constexpr std::uint32_t first_port = 10'000;
    constexpr std::uint32_t port_count = 22'000;
    static std::uint32_t next = static_cast<std::uint32_t>(getpid()) * 7919u;
    while (true)
    {
        auto port =
            static_cast<std::uint16_t>(first_port + next++ % port_count);
        if (reserve(port) && is_free(port))
            return "127.0.0.1:" + std::to_string(port);
    }
}

void node::start()
{
    this->process =
        std::make_unique<child_process>(this->command, this->log_file);
}

void node::restart()
{
    if (this->process)
        this->process->kill();
    this->start();
}

std::vector<site> three_zones()
{
    return {{"sul", "poa-a"}, {"sul", "poa-b"}, {"sudeste", "sp-a"}};
}

std::string default_declarations(const std::string& model)
{
    return "[class.interactive]\nkind = \"online\"\nrank = 1\n"
           "first_token = \"1.7s\"\ntoken_gap = \"54ms\"\n"
           "deadline = \"30s\"\n"
           "[class.background]\nkind = \"online\"\nrank = 5\n"
           "first_token = \"5s\"\ntoken_gap = \"100ms\"\n"
           "deadline = \"60s\"\n"
           "[class.nightly]\nkind = \"batch\"\nrank = 9\ndue = \"8h\"\n"
           "[model." +
           model +
           "]\nclasses = [\"interactive\", \"background\", \"nightly\"]\n"
           "max_tokens = 4096\n"
           "[service.seats]\nclass = \"interactive\"\nrepeatable = false\n"
           "[service.timetable]\nclass = \"interactive\"\n"
           "repeatable = true\n";
}

fleet::fleet(fleet_plan plan) : plan(std::move(plan))
{
    if (this->plan.sites.empty())
        this->plan.sites = three_zones();
    if (this->plan.declarations.empty())
        this->plan.declarations = default_declarations(this->plan.model);
    std::string pattern =
        (std::filesystem::temp_directory_path() / "hatch-XXXXXX").string();
    this->folder = mkdtemp(pattern.data());
    site first = this->plan.sites.front();
    this->store = this->make_node("store", first);
    this->hosts = this->make_node("hosts", first);
    auto place = [this](int index)
    {
        auto size = this->plan.sites.size();
        return this->plan.sites[static_cast<std::size_t>(index) % size];
    };
    auto add = [&](std::vector<node>& to, const std::string& kind, int count)
    {
        for (int index = 0; index < count; ++index)
            to.push_back(
                this->make_node(kind + std::to_string(index), place(index)));
    };
    add(this->coordinators, "coordinator", this->plan.entries);
    add(this->entries, "entry", this->plan.entries);
    add(this->batch_hosts, "batch", this->plan.batch_hosts);
    add(this->engines, "engine", this->plan.engines);
    add(this->services, "service", this->plan.services);
    this->write_settings();
}

void keep_folders(bool keep)
{
    folders_kept = keep;
}

void remove_folder(const std::string& folder)
{
    bool kept = folders_kept || std::uncaught_exceptions() > 0;
    if (kept)
        std::cerr << "logs are kept in " << folder << "\n";
    if (!kept && std::getenv("HATCH_KEEP") == nullptr)
        std::filesystem::remove_all(folder);
}

fleet::~fleet()
{
    this->kill_all();
    remove_folder(this->folder);
}

void fleet::kill_all()
{
    for (auto* group : {&this->entries, &this->batch_hosts, &this->coordinators,
                        &this->engines, &this->services})
    {
        for (auto& one : *group)
            one.process.reset();
    }
    this->store.process.reset();
    this->hosts.process.reset();
}

node fleet::make_node(const std::string& name, const site& place)
{
    node made;
    made.name = name;
    made.place = place;
    made.address = free_address();
    made.metrics = free_address();
    made.log_file = this->folder + "/" + name + ".log";
    std::string settings = this->folder + "/" + name + ".toml";
    if (name.starts_with("coordinator"))
        made.command = {binary("hatch-coordinator"), "--settings", settings};
    else if (name.starts_with("entry"))
        made.command = {binary("hatch-entry"), "--settings", settings};
    else if (name.starts_with("batch"))
        made.command = {binary("hatch-batch"), "--settings", settings};
    else
    {
        std::string kind = name.substr(0, name.find_first_of("0123456789"));
        made.command = {binary("standin-" + kind), "--listen", made.address};
    }
    return made;
}

std::string fleet::node_table(const node& one) const
{
    return "[node]\nname = \"" + one.name + "\"\nzone = \"" + one.place.zone +
           "\"\nregion = \"" + one.place.region + "\"\n";
}

std::string fleet::write_file(const std::string& name,
                              const std::string& text) const
{
    std::string path = this->folder + "/" + name;
    std::ofstream(path) << text;
    return path;
}

void fleet::write_settings()
{
    std::string store_table =
        "[store]\naddress = \"" + this->store.address + "\"\n";
    std::string peers = quoted_list(this->coordinators);
    for (const auto& one : this->coordinators)
        this->write_file(
            one.name + ".toml",
            this->node_table(one) + "[coordinator]\nlisten = \"" + one.address +
                "\"\nmetrics = \"" + one.metrics + "\"\npeers = " + peers +
                "\n" + store_table + "[hosts]\naddress = \"" +
                this->hosts.address + "\"\n[slots]\norder = \"" +
                this->plan.queue_order + "\"\ninitial_concurrency = " +
                std::to_string(this->plan.initial_concurrency) +
                "\nmost_concurrency = " +
                std::to_string(this->plan.most_concurrency) + "\n");
    for (std::size_t index = 0; index < this->entries.size(); ++index)
    {
        const auto& one = this->entries[index];
        // The coordinator on the same host is asked first.
        std::string order = "[\"" + this->coordinators[index].address + "\", " +
                            peers.substr(1);
        this->write_file(one.name + ".toml",
                         this->node_table(one) + "[entry]\nlisten = \"" +
                             one.address + "\"\nmetrics = \"" + one.metrics +
                             "\"\ncoordinators = " + order + "\nstrategy = \"" +
                             this->plan.strategy +
                             "\"\nretry_percent = " + this->plan.retry_percent +
                             "\nhedge_percent = " + this->plan.hedge_percent +
                             "\nclaim_window = \"" + this->plan.claim_window +
                             "\"\n" + store_table);
    }
    for (const auto& one : this->batch_hosts)
        this->write_file(one.name + ".toml",
                         this->node_table(one) + "[batch]\nlisten = \"" +
                             one.address + "\"\nmetrics = \"" + one.metrics +
                             "\"\ncoordinators = " + peers + "\nfolder = \"" +
                             this->folder + "/" + one.name + "\"\n" +
                             store_table);
    this->ctl_settings = this->write_file(
        "ctl.toml", "[ctl]\ncoordinators = " + peers + "\n" + store_table);
}

void fleet::publish_hosts(const std::vector<std::string>& leaving,
                          const std::vector<std::string>& absent, int lag_ms)
{
    auto holds =
        [](const std::vector<std::string>& names, const std::string& name)
    { return std::find(names.begin(), names.end(), name) != names.end(); };
    json listed = json::array();
    for (const auto* group : {&this->engines, &this->services})
    {
        for (const auto& one : *group)
        {
            if (holds(absent, one.name))
                continue;
            bool engine = one.name.starts_with("engine");
            listed.push_back(
                {{"name", one.name},
                 {"address", one.address},
                 {"zone", one.place.zone},
                 {"region", one.place.region},
                 {"serves", kind_of(one, this->plan)},
                 {"kind", engine ? "engine" : "service"},
                 {"state", holds(leaving, one.name) ? "leaving" : "live"}});
            if (!engine)
            {
                listed.push_back(listed.back());
                listed.back()["serves"] = "timetable";
            }
        }
    }
    http::call call;
    call.method = "PUT";
    call.url = "http://" + this->hosts.address + "/admin";
    call.body = json({{"hosts", listed}, {"lag_ms", lag_ms}}).dump();
    http::perform(call);
}

void fleet::start()
{
    this->store.start();
    this->hosts.start();
    for (auto& one : this->engines)
        one.start();
    for (auto& one : this->services)
        one.start();
    auto answers = [](const node& one)
    { return get(one.address, "/admin").reached == http::progress::answered; };
    auto all_answer = [&](const std::vector<node>& nodes)
    { return std::all_of(nodes.begin(), nodes.end(), answers); };
    bool up = eventually(
        [&]
        {
            return answers(this->store) &&
                   get(this->hosts.address, "/v1/hosts").status == 200 &&
                   all_answer(this->engines) && all_answer(this->services);
        });
    if (!up)
        throw errors::failure("start", "stand-ins", "not up in time");
    for (auto& one : this->engines)
        admin(one, this->plan.engine_settings);
    this->publish_hosts();
    for (auto& one : this->coordinators)
        one.start();
    auto file = this->write_file("declarations.toml", this->plan.declarations);
    auto applied = this->ctl({"apply", file});
    if (applied.status != 0)
        throw errors::failure("apply", "store", applied.output);
    for (auto& one : this->batch_hosts)
        one.start();
    for (auto& one : this->entries)
        one.start();
    // Keepers settle a moment after the coordinators have met; entries are
    // ready once they have a configuration.
    bool ready = eventually(
        [&]
        {
            auto status = this->ctl({"status"}).output;
            bool alone = status.find("generation 0,") != std::string::npos;
            return !alone &&
                   std::all_of(
                       this->entries.begin(), this->entries.end(),
                       [](const node& one)
                       { return get(one.address, "/healthz").status == 200; });
        });
    if (!ready)
        throw errors::failure("start", "entries", "not ready in time");
}

fleet::ctl_result fleet::ctl(const std::vector<std::string>& arguments) const
{
    static std::atomic<int> number{0};
    std::string output =
        this->folder + "/ctl-" + std::to_string(number++) + ".out";
    std::vector<std::string> command = {binary("hatch-ctl"), "--settings",
                                        this->ctl_settings};
    command.insert(command.end(), arguments.begin(), arguments.end());
    child_process process(command, output);
    ctl_result result;
    constexpr milliseconds step{5};
    eventually([&] { return !process.running(); });
    result.status = process.stop(step);
    std::ifstream from(output);
    std::ostringstream text;
    text << from.rdbuf();
    result.output = text.str();
    return result;
}

void fleet::clear_data(const node& host) const
{
    std::filesystem::remove_all(this->folder + "/" + host.name);
}

json admin(const node& target, const json& change)
{
    auto reply = post(target.address, "/admin", change.dump());
    return json::parse(reply.body, nullptr, false);
}

json counters(const node& target)
{
    return json::parse(get(target.address, "/admin").body, nullptr, false);
}

bool eventually(const std::function<bool()>& holds, milliseconds limit)
{
    constexpr milliseconds poll{20};
    auto end = std::chrono::steady_clock::now() + limit;
    while (!holds())
    {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(poll);
    }
    return true;
}

http::reply get(const std::string& address, const std::string& path)
{
    http::call call;
    call.url = "http://" + address + path;
    call.total_limit = call_limit;
    return http::perform(call);
}

http::reply post(const std::string& address, const std::string& path,
                 const std::string& body,
                 const std::vector<http::header>& headers)
{
    http::call call;
    call.method = "POST";
    call.url = "http://" + address + path;
    call.body = body;
    call.total_limit = call_limit;
    for (const auto& line : headers)
        call.headers.add(line.name, line.value);
    return http::perform(call);
}

double metric(const node& target, const std::string& family,
              const std::string& label)
{
    auto reply = get(target.metrics, "/metrics");
    // A reading that failed must not pass for a counter of 0.
    if (reply.reached != http::progress::answered || reply.status != 200)
        throw errors::failure("read metrics", target.metrics,
                              "status " + std::to_string(reply.status) + ", " +
                                  reply.detail);
    std::istringstream text(reply.body);
    double sum = 0;
    for (std::string line; std::getline(text, line);)
    {
        bool counts =
            line.starts_with(family) && line.find(label) != std::string::npos;
        if (counts)
            sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}

} // namespace amaranthhatch::fleet
