// Drives one case: starts the project's programs, plays the platform's store,
// the workers and a client of batch jobs, and checks the rule LOST.
//
// The workers answer without a length: each answer ends with its connection.
// With TROUBLE=1 one of two workers breaks off one in 34 of its answers by
// a reset for 5 s, at each possible place in turn, first behind the last
// event.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

using nlohmann::json;
using clock_type = std::chrono::steady_clock;
using namespace std::chrono_literals;

namespace
{

const auto start_time = clock_type::now();

double seconds()
{
    return std::chrono::duration<double>(clock_type::now() - start_time)
        .count();
}

std::mutex record_mutex;
std::ofstream record_file;

template <typename... Part>
void note(const Part&... parts)
{
    std::lock_guard lock(record_mutex);
    char at[32];
    std::snprintf(at, sizeof at, "%8.3f ", seconds());
    record_file << at;
    ((record_file << parts), ...);
    record_file << std::endl;
}

// ---- HTTP

struct message
{
    std::string first;
    std::map<std::string, std::string> headers;
    std::string body;
    std::string header(std::string name) const
    {
        for (auto& each : name)
            each = static_cast<char>(std::tolower(each));
        auto found = this->headers.find(name);
        return found == this->headers.end() ? "" : found->second;
    }
};

bool read_message(int socket, std::string& buffer, message& out, bool to_end)
{
    auto fill = [&]
    {
        char block[16384];
        auto count = ::recv(socket, block, sizeof block, 0);
        if (count <= 0)
            return false;
        buffer.append(block, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end;
    while ((end = buffer.find("\r\n\r\n")) == buffer.npos)
        if (!fill())
            return false;
    out = {};
    auto line_end = buffer.find("\r\n");
    out.first = buffer.substr(0, line_end);
    while (line_end < end)
    {
        auto next = buffer.find("\r\n", line_end + 2);
        auto line = buffer.substr(line_end + 2, next - line_end - 2);
        line_end = next;
        auto colon = line.find(':');
        if (colon == line.npos)
            continue;
        auto name = line.substr(0, colon);
        for (auto& each : name)
            each = static_cast<char>(std::tolower(each));
        auto value = line.substr(colon + 1);
        while (!value.empty() && value.front() == ' ')
            value.erase(0, 1);
        out.headers[name] = value;
    }
    buffer.erase(0, end + 4);
    auto length = out.header("content-length");
    if (length.empty() && to_end)
    {
        while (fill())
            ;
        out.body.swap(buffer);
        return true;
    }
    auto wanted = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < wanted)
        if (!fill())
            return false;
    out.body = buffer.substr(0, wanted);
    buffer.erase(0, wanted);
    return true;
}

void send_text(int socket, const std::string& text)
{
    std::size_t done = 0;
    while (done < text.size())
    {
        auto count = ::send(socket, text.data() + done, text.size() - done,
                            MSG_NOSIGNAL);
        if (count <= 0)
            return;
        done += static_cast<std::size_t>(count);
    }
}

sockaddr_in address_of(int port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    return out;
}

void serve(int port, std::function<void(int)> handle)
{
    int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto own = address_of(port);
    if (::bind(listener, reinterpret_cast<sockaddr*>(&own), sizeof own) != 0 ||
        ::listen(listener, 256) != 0)
    {
        note("can't listen on port ", port);
        std::_Exit(2);
    }
    std::thread(
        [listener, handle = std::move(handle)]
        {
            for (;;)
            {
                int accepted = ::accept(listener, nullptr, nullptr);
                if (accepted < 0)
                    continue;
                int one = 1;
                ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one,
                             sizeof one);
                std::thread(
                    [accepted, &handle]
                    {
                        handle(accepted);
                        ::close(accepted);
                    })
                    .detach();
            }
        })
        .detach();
}

// Status, or 0 where no answer came.
int call(int port, const std::string& text, std::string& body)
{
    int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    timeval limit{5, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    auto peer = address_of(port);
    int status = 0;
    if (::connect(socket, reinterpret_cast<sockaddr*>(&peer), sizeof peer) == 0)
    {
        send_text(socket, text);
        std::string buffer;
        message got;
        if (read_message(socket, buffer, got, true) && got.first.size() > 12)
        {
            status = std::atoi(got.first.c_str() + 9);
            body = got.body;
        }
    }
    ::close(socket);
    return status;
}

// ---- the platform's store

std::string base64(const std::string& bytes)
{
    static const char letters[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; index++)
            group = group << 8 |
                    (at + index < bytes.size()
                         ? static_cast<unsigned char>(bytes[at + index])
                         : 0u);
        for (std::size_t index = 0; index < 4; index++)
            out += at + index <= bytes.size()
                       ? letters[group >> (18 - 6 * index) & 63]
                       : '=';
    }
    return out;
}

class platform_store
{
public:
    void put(const std::string& key, const std::string& text)
    {
        std::lock_guard lock(this->guard);
        this->write(key, base64(text), 0, ++this->revision);
        this->changed.notify_all();
    }

    void handle(int socket)
    {
        std::string buffer;
        message asked;
        while (read_message(socket, buffer, asked, false))
        {
            auto [status, body] = this->answer(asked);
            auto text = body.dump();
            send_text(socket,
                      "HTTP/1.1 " + std::to_string(status) +
                          " X\r\nContent-Type: application/json\r\n"
                          "Content-Length: " +
                          std::to_string(text.size()) + "\r\n\r\n" + text);
        }
    }

private:
    struct entry
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
        bool removed = false;
    };

    void write(const std::string& key, const std::string& value,
               std::uint64_t lease, std::uint64_t at)
    {
        auto& one = this->entries[key];
        bool fresh = one.revision == 0 || one.removed;
        one = {value, at, fresh ? at : one.created, lease, false};
    }

    json item(const std::string& key, const entry& one) const
    {
        if (one.removed)
            return {
                {"key", key}, {"revision", one.revision}, {"tombstone", true}};
        return {{"key", key},
                {"value", one.value},
                {"revision", one.revision},
                {"created", one.created},
                {"lease", one.lease}};
    }

    static std::string query(const std::string& target, const std::string& name)
    {
        auto at = target.find(name + "=");
        if (at == target.npos)
            return "";
        auto value = target.substr(at + name.size() + 1);
        value = value.substr(0, value.find('&'));
        std::string out;
        for (std::size_t index = 0; index < value.size(); index++)
            if (value[index] == '%')
            {
                out += static_cast<char>(
                    std::stoi(value.substr(index + 1, 2), nullptr, 16));
                index += 2;
            }
            else
                out += value[index];
        return out;
    }

    void expire()
    {
        auto now = clock_type::now();
        for (auto at = this->leases.begin(); at != this->leases.end();)
        {
            if (now <= at->second.second)
            {
                ++at;
                continue;
            }
            this->end(at->first);
            at = this->leases.erase(at);
        }
    }

    void end(std::uint64_t lease)
    {
        auto at = ++this->revision;
        for (auto& [key, one] : this->entries)
            if (one.lease == lease && !one.removed)
                one = {"", at, 0, 0, true};
        this->changed.notify_all();
    }

    std::pair<int, json> answer(const message& asked)
    {
        auto space = asked.first.find(' ');
        auto target = asked.first.substr(space + 1);
        target = target.substr(0, target.find(' '));
        auto path = target.substr(0, target.find('?'));
        std::unique_lock lock(this->guard);
        this->expire();
        if (path == "/kv-key")
        {
            auto found = this->entries.find(query(target, "key"));
            if (found == this->entries.end() || found->second.removed)
                return {404, {{"current_rev", this->revision}}};
            auto out = this->item(found->first, found->second);
            out["current_rev"] = this->revision;
            return {200, out};
        }
        auto prefix = query(target, "prefix");
        if (path == "/kv-range")
        {
            auto after = query(target, "after");
            json items = json::array();
            for (const auto& [key, one] : this->entries)
                if (key.starts_with(prefix) && !one.removed &&
                    (after.empty() || key > after))
                    items.push_back(this->item(key, one));
            return {200,
                    {{"items", items},
                     {"has_more", false},
                     {"current_rev", this->revision}}};
        }
        if (path == "/kv-watch")
        {
            auto after = std::stoull(query(target, "after"));
            auto until =
                clock_type::now() +
                std::chrono::milliseconds(std::stoi(query(target, "wait_ms")));
            for (;;)
            {
                json events = json::array();
                for (const auto& [key, one] : this->entries)
                    if (key.starts_with(prefix) && one.revision > after)
                        events.push_back(this->item(key, one));
                if (!events.empty() || clock_type::now() >= until)
                    return {
                        200,
                        {{"events", events}, {"current_rev", this->revision}}};
                this->changed.wait_until(lock, until);
            }
        }
        if (path == "/kv-txn")
        {
            auto change = json::parse(asked.body);
            json current = json::array();
            bool holds = true;
            for (const auto& each : change["expected"])
            {
                auto key = each["key"].get<std::string>();
                auto found = this->entries.find(key);
                bool there =
                    found != this->entries.end() && !found->second.removed;
                holds = holds && (there ? found->second.revision : 0) ==
                                     each["revision"].get<std::uint64_t>();
                if (there)
                    current.push_back(this->item(key, found->second));
            }
            if (!holds)
                return {412, {{"items", current}}};
            for (const auto& each : change["set_keys"])
            {
                auto lease = each.value("lease", std::uint64_t{0});
                if (lease != 0 && !this->leases.contains(lease))
                    return {404, json::object()};
            }
            auto at = ++this->revision;
            for (const auto& each : change["set_keys"])
                this->write(each["key"], each["value"],
                            each.value("lease", std::uint64_t{0}), at);
            for (const auto& key : change["remove"])
            {
                auto found = this->entries.find(key.get<std::string>());
                if (found != this->entries.end() && !found->second.removed)
                    found->second = {"", at, 0, 0, true};
            }
            this->changed.notify_all();
            return {200, {{"revision", at}}};
        }
        if (path == "/kv-lease")
        {
            std::chrono::milliseconds time(
                json::parse(asked.body)["ttl_ms"].get<int>());
            auto id = ++this->last_lease;
            this->leases[id] = {time, clock_type::now() + time};
            return {200, {{"lease", id}, {"ttl_ms", time.count()}}};
        }
        auto last = path.rfind('/');
        auto id = std::strtoull(path.c_str() + last + 1, nullptr, 10);
        auto found = this->leases.find(id);
        if (found == this->leases.end())
            return {404, json::object()};
        if (path.starts_with("/kv-keep/"))
        {
            found->second.second = clock_type::now() + found->second.first;
            return {200, {{"ttl_ms", found->second.first.count()}}};
        }
        this->end(id);
        this->leases.erase(id);
        return {200, json::object()};
    }

    std::mutex guard;
    std::condition_variable changed;
    std::map<std::string, entry> entries;
    std::map<std::uint64_t,
             std::pair<std::chrono::milliseconds, clock_type::time_point>>
        leases;
    std::uint64_t revision = 1;
    std::uint64_t last_lease = 0;
};

// ---- workers

constexpr int events_of_item = 2;
constexpr double trouble_s = 5;
constexpr int one_in = 34;

struct item_state
{
    double last_run = -100;  // begin or end of its last run
    double broken_at = -100; // last break-off or refusal
    bool running = false;
};

std::mutex items_mutex;
std::map<std::string, item_state> items;
std::atomic<double> last_finished{-100};
std::atomic<bool> trouble_on{false};
std::atomic<int> running_runs{0};

std::string output_of(const std::string& item, int event)
{
    return "part " + std::to_string(event) + " of " + item;
}

class worker
{
public:
    worker(std::string id, bool breaks) : id(std::move(id)), breaks(breaks) {}

    void handle(int socket)
    {
        std::string buffer;
        message asked;
        if (!read_message(socket, buffer, asked, false))
            return;
        if (!asked.first.starts_with("POST "))
            return send_text(socket, "HTTP/1.1 404 X\r\nContent-Length: 0\r\n"
                                     "Connection: close\r\n\r\n");
        auto item = asked.header("Request-Id");
        if (asked.header("Target-Instance") != this->id)
            return send_text(socket, "HTTP/1.1 421 X\r\nContent-Length: 0\r\n"
                                     "Connection: close\r\n\r\n");
        auto after = std::atoi(asked.header("Last-Event-Id").c_str());
        int break_at = -1;
        if (trouble_on && this->breaks && ++this->answers % one_in == 0)
            // Behind the last event, between the events, before the first.
            break_at = events_of_item - this->broken++ % (events_of_item + 1);
        this->record(item, true);
        running_runs++;
        note(this->id, " runs ", item, " after event ", after);
        send_text(socket, "HTTP/1.1 200 OK\r\nRequest-Id: " + item +
                              "\r\nResponse-Signature: 1." + item +
                              "\r\nContent-Type: text/event-stream\r\n"
                              "Connection: close\r\n\r\n");
        bool reset = break_at >= 0 && break_at <= after;
        for (int event = after + 1; event <= events_of_item && !reset; event++)
        {
            std::this_thread::sleep_for(40ms);
            send_text(socket, "id: " + std::to_string(event) + "\ndata: " +
                                  output_of(item, event) + "\n\n");
            reset = event == break_at;
        }
        if (reset)
        {
            // Lets the bytes arrive first, as the reset may drop them else.
            std::this_thread::sleep_for(40ms);
            linger now{1, 0};
            ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            note(this->id, " breaks off ", item, " after event ", break_at);
        }
        else
        {
            note(this->id, " ends its answer for ", item);
            last_finished = seconds();
        }
        running_runs--;
        this->record(item, false, reset);
    }

private:
    void record(const std::string& item, bool running, bool broken = false)
    {
        std::lock_guard lock(items_mutex);
        auto& state = items[item];
        state.running = running;
        state.last_run = seconds();
        if (broken)
            state.broken_at = seconds();
    }

    std::string id;
    bool breaks;
    std::atomic<int> answers{0};
    std::atomic<int> broken{0};
};

// ---- processes

std::vector<pid_t> processes;

void stop_all()
{
    for (auto each : processes)
        ::kill(each, SIGTERM);
    for (int wait = 0; wait < 40; wait++)
    {
        bool left = false;
        for (auto& each : processes)
            if (each > 0 && ::waitpid(each, nullptr, WNOHANG) == each)
                each = -1;
            else
                left = left || each > 0;
        if (!left)
            return;
        std::this_thread::sleep_for(100ms);
    }
    for (auto each : processes)
        if (each > 0)
        {
            ::kill(each, SIGKILL);
            ::waitpid(each, nullptr, 0);
        }
}

void start(const std::string& program, const std::string& settings,
           const std::string& log)
{
    auto child = ::fork();
    if (child == 0)
    {
        int file = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        ::dup2(file, 1);
        ::dup2(file, 2);
        ::execl(program.c_str(), program.c_str(), "--settings",
                settings.c_str(), nullptr);
        std::_Exit(127);
    }
    processes.push_back(child);
}

// Detached threads may still use the globals, so nothing is destroyed.
[[noreturn]] void finish_process(int status)
{
    stop_all();
    std::_Exit(status);
}

bool port_free(int port)
{
    for (int type : {SOCK_STREAM, SOCK_DGRAM})
    {
        int socket = ::socket(AF_INET, type, 0);
        auto own = address_of(port);
        bool bound = ::bind(socket, reinterpret_cast<sockaddr*>(&own),
                            sizeof own) == 0;
        ::close(socket);
        if (!bound)
            return false;
    }
    return true;
}

int free_ports(int count)
{
    std::srand(static_cast<unsigned>(::getpid()));
    for (int attempt = 0; attempt < 200; attempt++)
    {
        int first = 11000 + std::rand() % 18000;
        bool all = true;
        for (int port = first; port < first + count && all; port++)
            all = port_free(port);
        if (all)
            return first;
    }
    note("no free ports");
    std::_Exit(2);
}

std::string settings_text(const std::string& name, const std::string& zone,
                          bool storage, int base, int store_port,
                          const std::string& folder)
{
    auto at = [](int port)
    { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
    std::string out = "node_name = \"" + name + "\"\nzone = \"" + zone +
                      "\"\nregion = \"r\"\nip = \"127.0.0.1\"\n"
                      "internal_ports = [" +
                      std::to_string(base) + "," + std::to_string(base + 3) +
                      "]\nheartbeat_ms = 1200\n";
    if (storage)
        out += "data_dir = \"" + folder + "/data-" + name + "\"\n";
    out += "[zones]\nz1 = \"r\"\nz2 = \"r\"\nz3 = \"r\"\n[listen]\n";
    if (!storage)
        out += "front = " + at(base + 4) + "\nready_addr = " + at(base + 5) +
               "\ncontrol = " + at(base + 6) + "\n";
    out += std::string("[limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = ") +
           (storage ? "300" : "260") + "\nmax_fds = 4100\ndisk_mb = " +
           (storage ? "220" : "0") +
           "\n[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\n"
           "drain_ms = 2500\ngrace_s = 8\nstatus_s = 120\nretry_after_s = 0\n"
           "finish_s = 18\n[platform]\naddress = " +
           at(store_port) + "\n";
    return out;
}

// ---- the client

struct job
{
    std::string id;
    std::vector<std::string> item_ids;
    std::map<std::string, std::string> listed;
    bool accepted = false;
};

bool submit(job& one, int front)
{
    json body{{"items", json::array()}};
    for (const auto& id : one.item_ids)
        body["items"].push_back({{"id", id},
                                 {"path", "/b/" + id},
                                 {"headers",
                                  {{"Model", "m"},
                                   {"Token-Counts", "350,20"},
                                   {"Prompt-Prefix",
                                    "5c1e07a" + id.substr(id.size() - 1) +
                                        ":100," + id.substr(id.size() - 8) +
                                        ":250"}}},
                                 {"body", base64("body of " + id)},
                                 {"tokens", 370}});
    auto text = body.dump();
    std::string answer;
    auto status =
        call(front,
             "POST /b/job HTTP/1.1\r\nHost: b.example\r\nRequest-Id: " +
                 one.id + "\r\nContent-Type: application/json\r\n"
                          "Content-Length: " +
                 std::to_string(text.size()) + "\r\nConnection: close\r\n\r\n" +
                 text,
             answer);
    note("client submits ", one.id, " of ", one.item_ids.size(), " items: ",
         status);
    one.accepted = status == 202;
    return one.accepted;
}

void read_results(job& one, int front)
{
    std::string answer;
    auto status = call(front,
                       "GET /lots/" + one.id + "?after=" +
                           std::to_string(one.listed.size()) +
                           " HTTP/1.1\r\nHost: b.example\r\n"
                           "Connection: close\r\n\r\n",
                       answer);
    if (status != 200)
        return note("client reads ", one.id, ": ", status);
    auto page = json::parse(answer);
    for (const auto& each : page["results"])
    {
        one.listed[each["id"]] = each["state"];
        note("client is told ", each["id"].get<std::string>(), " ",
             each["state"].get<std::string>());
    }
}

job make_job(const std::string& name, int count)
{
    job out{name, {}, {}, false};
    for (int item = 0; item < count; item++)
    {
        char id[32];
        std::snprintf(id, sizeof id, "%s%04d", name.substr(0, 8).c_str(), item);
        out.item_ids.emplace_back(id);
    }
    return out;
}

} // namespace

int main(int argument_count, char** arguments)
{
    if (argument_count != 5)
        return 2;
    std::string programs = arguments[1];
    std::string folder = arguments[2];
    bool trouble = std::string(arguments[4]) != "0";
    record_file.open(arguments[3]);
    ::signal(SIGPIPE, SIG_IGN);
    int base = free_ports(64);
    int store_port = base;
    platform_store store;
    serve(store_port, [&](int socket) { store.handle(socket); });
    worker first("i-0a", true);
    worker second("i-0b", false);
    serve(base + 1, [&](int socket) { first.handle(socket); });
    serve(base + 2, [&](int socket) { second.handle(socket); });
    const char* zones[] = {"z1", "z2", "z3"};
    std::vector<int> fronts;
    for (int node = 0; node < 5; node++)
    {
        bool storage = node < 3;
        auto name = (storage ? "storage-" : "frontend-") + std::to_string(node);
        int own = base + 10 + node * 10;
        auto path = folder + "/" + name + ".toml";
        std::ofstream(path) << settings_text(name, zones[node % 3], storage,
                                             own, store_port, folder);
        if (!storage)
            fronts.push_back(own + 4);
        start(programs +
                  (storage ? "/hatch-platform-batch" : "/hatch-platform-entry"),
              path, folder + "/" + name + ".log");
    }
    json route{{"name", "r-b"},          {"host", "b.example"},
               {"prefix", "/b/"},        {"kind", "batch"},
               {"timeout_ms", 15000},    {"target_latency_ms", 400},
               {"priority", 2},          {"service", "llm"},
               {"max_attempts", 3},      {"completion_target_ms", 18000},
               {"retention_s", 60},      {"max_count", 2100000},
               {"sticky_sessions", true}};
    store.put("op/config",
              json{{"version", 1},
                   {"routes", {route}},
                   {"services",
                    {{{"name", "llm"}, {"max_connections", 300},
                      {"health_path", "/healthz"}, {"protocol", "h1"},
                      {"tls", false}, {"engine", {{"slots", 8}}}}}},
                   {"limits",
                    {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304},
                     {"header_timeout_ms", 3000},
                     {"idle_timeout_ms", 15000}}}}
                  .dump());
    for (int number = 0; number < 2; number++)
        store.put(number == 0 ? "servers/i-0a" : "servers/i-0b",
                  json{{"service", "llm"},
                       {"address",
                        "127.0.0.1:" + std::to_string(base + 1 + number)},
                       {"zone", "z1"},
                       {"version", "v1"},
                       {"slots", 8},
                       {"state", "ready"},
                       {"cold_remaining_ms", 0},
                       {"stage", "both"},
                       {"models",
                        {{{"name", "m"}, {"version", 1},
                          {"adapters", json::array()}}}},
                       {"sequence", 1}}
                      .dump());

    std::vector<job> jobs{make_job("0000000a00000000", 100),
                          make_job("0000000b00000000", 100),
                          make_job("0000000c00000000", 4)};
    // Traffic starts 10 s after the machines do.
    std::this_thread::sleep_for(10s);
    auto accept = [&](job& one)
    {
        for (int attempt = 0; attempt < 20; attempt++)
        {
            if (submit(one, fronts[attempt % fronts.size()]))
                return true;
            std::this_thread::sleep_for(300ms);
        }
        return false;
    };
    trouble_on = trouble;
    auto trouble_began = seconds();
    note(trouble ? "trouble begins: i-0a breaks off one answer in 34"
                 : "no trouble");
    if (!accept(jobs[0]) || !accept(jobs[1]))
        finish_process(2);
    double end_of_traffic = 0;
    double finish = 0;
    bool broken = false;
    for (;;)
    {
        std::this_thread::sleep_for(250ms);
        auto now = seconds();
        if (trouble_on && now > trouble_began + trouble_s)
        {
            trouble_on = false;
            note("trouble ends");
        }
        if (end_of_traffic == 0 && now > trouble_began + 4.5)
        {
            if (!accept(jobs[2]))
                finish_process(2);
            end_of_traffic = seconds();
            finish = end_of_traffic + 18;
        }
        bool all = true;
        for (auto& one : jobs)
            if (one.accepted && one.listed.size() < one.item_ids.size())
                read_results(one, fronts[0]);
        for (auto& one : jobs)
            all = all && one.listed.size() == one.item_ids.size();
        if (all)
            break;
        if (finish == 0 || now < finish)
            continue;
        // The rule's excuses: in the last 5 s no worker had the item and the
        // workers were under half full, in the last 3 s no item was finished,
        // and the item didn't fail at a worker in the last 20 s.
        std::lock_guard lock(items_mutex);
        for (const auto& one : jobs)
            for (const auto& id : one.item_ids)
            {
                const auto& state = items[id];
                bool counts = !one.listed.contains(id) && !state.running &&
                              now - state.last_run > 5 &&
                              now - state.broken_at > 20 &&
                              now - last_finished > 3 && running_runs == 0;
                if (!counts)
                    continue;
                broken = true;
                note("LOST: item ", id, " of job ", one.id,
                     " is neither done nor dead_lettered ", now - finish,
                     " s after finish_s; no worker had it for ",
                     now - state.last_run, " s");
            }
        if (broken || now > finish + 25)
            break;
    }
    std::size_t listed = 0;
    for (const auto& one : jobs)
        listed += one.listed.size();
    note(broken ? "the rule was broken" : "the rule held", ", ", listed,
         " of 204 items listed");
    finish_process(broken ? 1 : 0);
}
