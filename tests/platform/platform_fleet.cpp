#include "platform_fleet.hpp"

#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "base64.hpp"
#include "errors/failure.hpp"

namespace amaranthhatch::tests
{

using nlohmann::json;

namespace
{

// When the workers first start, in Unix milliseconds.
constexpr std::int64_t first_start_ms = 1'700'000'000'000;

const std::string zones[] = {"zone-a", "zone-b", "zone-c"};

std::string region_of(const std::string& zone)
{
    return zone == "zone-c" ? "far" : "near";
}

std::string port_of(const std::string& address)
{
    return address.substr(address.rfind(':') + 1);
}

json online_route(const std::string& name, const std::string& prefix,
                  bool resumable)
{
    return {{"name", name},          {"host", "app.example"},
            {"prefix", prefix},      {"kind", "streaming"},
            {"timeout_ms", 4000},    {"target_latency_ms", 1000},
            {"target_gap_ms", 300},  {"priority", 0},
            {"service", "pool"},     {"max_attempts", resumable ? 3 : 1},
            {"resumable", resumable}};
}

json first_configuration()
{
    json batch = {{"name", "jobs"},
                  {"host", "app.example"},
                  {"prefix", "/jobs/"},
                  {"kind", "batch"},
                  {"timeout_ms", 15000},
                  {"target_latency_ms", 400},
                  {"completion_target_ms", 18000},
                  {"retention_s", 60},
                  {"max_attempts", 2},
                  {"max_count", 1000},
                  {"priority", 2},
                  {"service", "pool"},
                  {"resumable", true}};
    return {{"version", 1},
            {"routes",
             {online_route("once", "/once/", false),
              online_route("again", "/again/", true), batch}},
            {"services", {{{"name", "pool"}, {"max_connections", 100}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 100000},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

} // namespace

platform_fleet::platform_fleet(int entry_count, int batch_count,
                               int worker_count, program_memory memory,
                               std::string bounds)
    : configuration(first_configuration()), bounds(std::move(bounds)),
      memory(memory)
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "hatch-XXXXXX").string();
    this->folder = mkdtemp(pattern.data());
    this->store = this->make("store", zones[0]);
    this->store.command = {fleet::binary("standin-platform-store"), "--listen",
                           this->store.address};
    auto add = [this](std::vector<fleet::node>& to, const std::string& kind,
                      const std::string& program, int count)
    {
        for (int at = 0; at < count; at++)
        {
            to.push_back(this->make(kind + std::to_string(at), zones[at % 3]));
            to.back().command = {fleet::binary(program), "--settings",
                                 this->folder + "/" + to.back().name + ".toml"};
        }
    };
    add(this->entries, "entry", "hatch-platform-entry", entry_count);
    add(this->batch_hosts, "batch", "hatch-platform-batch", batch_count);
    add(this->workers, "worker", "", worker_count);
    for (auto& one : this->workers)
        one.command = {fleet::binary("standin-platform-worker"), "--listen",
                       one.address};
    for (const auto& one : this->entries)
    {
        this->fronts.push_back(fleet::free_address());
        this->ready.push_back(fleet::free_address());
        this->write_settings(one, this->fronts.back(), this->ready.back(), "");
    }
    for (const auto& one : this->batch_hosts)
        this->write_settings(one, "", "", this->folder + "/data-" + one.name);
}

platform_fleet::~platform_fleet()
{
    for (auto* group : {&this->entries, &this->batch_hosts, &this->workers})
        for (auto& one : *group)
            one.process.reset();
    this->store.process.reset();
    fleet::remove_folder(this->folder);
}

fleet::node platform_fleet::make(const std::string& name,
                                 const std::string& zone)
{
    fleet::node made;
    made.name = name;
    made.place = {region_of(zone), zone};
    made.address = fleet::free_address();
    made.metrics = made.address;
    made.log_file = this->folder + "/" + name + ".log";
    return made;
}

void platform_fleet::write_settings(const fleet::node& node,
                                    const std::string& front,
                                    const std::string& ready_address,
                                    const std::string& data) const
{
    // A batch program takes the port behind the first one.
    int port = std::stoi(port_of(node.address)) - (data.empty() ? 0 : 1);
    std::ofstream out(this->folder + "/" + node.name + ".toml");
    out << "node_name = \"" << node.name << "\"\nip = \"127.0.0.1\"\nzone = \""
        << node.place.zone << "\"\nregion = \"" << node.place.region
        << "\"\ninternal_ports = [" << port << ", " << port + 15
        << "]\nheartbeat_ms = 300\n";
    if (!data.empty())
        out << "data_dir = \"" << data << "\"\n";
    out << "[zones]\nzone-a = \"near\"\nzone-b = \"near\"\nzone-c = \"far\"\n";
    if (!front.empty())
        out << "[listen]\nfront = \"" << front << "\"\nready_addr = \""
            << ready_address << "\"\n";
    out << "[limits]\ndisk_mb = 100\n";
    int memory_mb =
        data.empty() ? this->memory.entry_mb : this->memory.batch_mb;
    if (memory_mb > 0)
        out << "memory_mb = " << memory_mb << "\n";
    if (this->memory.max_fds > 0)
        out << "max_fds = " << this->memory.max_fds << "\n";
    out << "[tolerate]\nmachines = 1\n"
        << "[bounds]\ndrain_ms = 1500\ngrace_s = 8\nconfig_apply_ms = 2500\n"
        << "retry_after_s = 0\nstatus_s = 120\nquota_overshoot = 0.1\n"
        << this->bounds << "[platform]\naddress = \"" << this->store.address
        << "\"\n";
}

void platform_fleet::configure(const std::function<void(json&)>& change)
{
    if (change)
        change(this->configuration);
    fleet::admin(this->store,
                 {{"set", {{"op/config", this->configuration.dump()}}}});
    this->configuration["version"] =
        this->configuration["version"].get<int>() + 3;
}

void platform_fleet::register_worker(std::size_t worker,
                                     const std::string& state)
{
    const auto& one = this->workers[worker];
    json entry = {{"service", "pool"},
                  {"address", one.address},
                  {"zone", one.place.zone},
                  {"slots", 4},
                  {"state", state},
                  {"sequence", 1},
                  {"cold_remaining_ms", 0},
                  {"born", first_start_ms + this->starts[worker]}};
    auto id = "i-" + std::to_string(worker + 1);
    fleet::admin(one, {{"id", id}});
    fleet::admin(this->store, {{"set", {{"servers/" + id, entry.dump()}}}});
}

void platform_fleet::register_restarted_worker(std::size_t worker)
{
    this->starts[worker]++;
    this->register_worker(worker, "ready");
}

void platform_fleet::drop_worker(std::size_t worker)
{
    fleet::admin(this->store,
                 {{"remove", {"servers/i-" + std::to_string(worker + 1)}}});
}

void platform_fleet::start()
{
    this->store.start();
    for (auto& one : this->workers)
        one.start();
    bool up = fleet::eventually(
        [this]
        {
            bool all = fleet::get(this->store.address, "/admin").status == 200;
            for (const auto& one : this->workers)
                all = all && fleet::get(one.address, "/admin").status == 200;
            return all;
        });
    if (!up)
        throw errors::failure("start", "stand-ins", "not up in time");
    this->configure();
    for (std::size_t at = 0; at < this->workers.size(); at++)
        this->register_worker(at, "ready");
    for (auto& one : this->batch_hosts)
        one.start();
    for (auto& one : this->entries)
        one.start();
    bool ready_all = fleet::eventually(
        [this]
        {
            for (const auto& address : this->ready)
                if (fleet::get(address, "/readyz").status != 200)
                    return false;
            if (this->batch_hosts.empty())
                return true;
            auto values = fleet::counters(this->store).at("values");
            return values.contains("hatch/placement");
        });
    if (!ready_all)
        throw errors::failure("start", "entries", "not ready in time");
}

void platform_fleet::wipe(std::size_t host)
{
    std::filesystem::remove_all(this->folder + "/data-" +
                                this->batch_hosts[host].name);
}

http::reply platform_fleet::call(std::size_t entry, const std::string& method,
                                 const std::string& path, const std::string& id,
                                 const std::string& body,
                                 const std::vector<http::header>& headers) const
{
    http::call asked;
    asked.method = method;
    asked.url = "http://" + this->fronts[entry] + path;
    asked.headers.add("Host", "app.example");
    asked.headers.add("Request-Id", id);
    for (const auto& line : headers)
        asked.headers.add(line.name, line.value);
    asked.body = body;
    asked.total_limit = std::chrono::seconds(20);
    return http::perform(asked);
}

std::string platform_fleet::stream_text(const std::string& id, int events)
{
    std::string text;
    for (int at = 1; at <= events; at++)
    {
        auto number = std::to_string(at);
        text += "id: " + number + "\ndata: " + id + "-" + number + "\n\n";
    }
    return text;
}

std::string platform_fleet::job_body(const std::string& job,
                                     const std::vector<std::string>& bodies,
                                     const std::string& prompt)
{
    json items = json::array();
    for (const auto& body : bodies)
    {
        auto id = job + "-" + std::to_string(items.size());
        std::ostringstream own;
        own << std::hex << std::hash<std::string>()(id);
        json headers = {{"Model", "m"}};
        if (!prompt.empty())
            headers["Prompt-Prefix"] = prompt + "," + own.str() + ":40";
        items.push_back({{"id", id},
                         {"path", "/jobs/run"},
                         {"headers", headers},
                         {"body", platform::encode_base64(body)},
                         {"tokens", 10}});
    }
    return json{{"items", items}}.dump();
}

json platform_fleet::results(std::size_t entry, const std::string& job,
                             const std::vector<http::header>& headers) const
{
    auto reply =
        this->call(entry, "GET", "/lots/" + job + "?after=0", "", "", headers);
    return reply.status == 200 ? json::parse(reply.body) : json();
}

std::string platform_fleet::log_of(const fleet::node& node) const
{
    std::ifstream in(node.log_file);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace amaranthhatch::tests
