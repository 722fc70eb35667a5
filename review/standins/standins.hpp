// Small stand-ins of the platform for the cases of this review: the metadata
// store, workers, clients and the start of the project's own programs. They
// speak what PROTOCOL.md says and nothing else. One header, so that each case
// is one program.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace review
{

using nlohmann::json;
using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline steady::time_point& began()
{
    static steady::time_point at = steady::now();
    return at;
}

inline double seconds()
{
    return std::chrono::duration<double>(steady::now() - began()).count();
}

inline void pause(int milliseconds)
{
    std::this_thread::sleep_for(ms(milliseconds));
}

/// What was sent, answered and run, line by line.
class record
{
public:
    void open(const std::string& path) { this->out.open(path); }

    template <typename... Parts>
    void line(const Parts&... parts)
    {
        std::ostringstream text;
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f ", seconds());
        text << time;
        (text << ... << parts);
        std::lock_guard lock(this->guard);
        this->out << text.str() << std::endl;
    }

private:
    std::mutex guard;
    std::ofstream out;
};

inline record& log()
{
    static record one;
    return one;
}

// ---------------------------------------------------------------- sockets

struct address
{
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in socket_address(const std::string& ip, int port)
{
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    return at;
}

inline int listen_at(const std::string& ip, int port)
{
    int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(file, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto at = socket_address(ip, port);
    if (::bind(file, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(file, 256) != 0)
    {
        ::close(file);
        return -1;
    }
    return file;
}

inline int port_of(int file)
{
    sockaddr_in at{};
    socklen_t size = sizeof at;
    getsockname(file, reinterpret_cast<sockaddr*>(&at), &size);
    return ntohs(at.sin_port);
}

/// A first port such that this one and the next ones are free on the address.
inline int free_ports(const std::string& ip, int count)
{
    for (int attempt = 0; attempt < 200; attempt++)
    {
        int first = listen_at(ip, 0);
        int port = port_of(first);
        std::vector<int> held{first};
        bool all = port + count < 65000;
        for (int at = 1; all && at < count; at++)
        {
            held.push_back(listen_at(ip, port + at));
            all = held.back() >= 0;
        }
        for (int file : held)
            if (file >= 0)
                ::close(file);
        if (all)
            return port;
    }
    return -1;
}

inline int connect_to(const address& to, int limit_ms = 1000)
{
    int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto at = socket_address(to.ip, to.port);
    int code = ::connect(file, reinterpret_cast<sockaddr*>(&at), sizeof at);
    if (code != 0)
    {
        pollfd wait{file, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (::poll(&wait, 1, limit_ms) != 1 ||
            getsockopt(file, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
            error != 0)
        {
            ::close(file);
            return -1;
        }
    }
    fcntl(file, F_SETFL, fcntl(file, F_GETFL) & ~O_NONBLOCK);
    int on = 1;
    setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return file;
}

inline bool send_all(int file, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        auto count = ::send(file, bytes.data() + sent, bytes.size() - sent,
                            MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// ------------------------------------------------------------------- HTTP

using headers = std::vector<std::pair<std::string, std::string>>;

inline std::string lower(std::string text)
{
    for (auto& character : text)
        character = static_cast<char>(std::tolower(character));
    return text;
}

struct message
{
    /// The request line or the status line.
    std::string first;
    headers fields;
    std::string body;
    /// An answer: false where its end didn't come.
    bool whole = false;

    std::string get(const std::string& name) const
    {
        for (const auto& [key, value] : this->fields)
            if (lower(key) == lower(name))
                return value;
        return {};
    }
    int status() const
    {
        return this->first.size() > 12 ? std::atoi(this->first.c_str() + 9) : 0;
    }
    std::string method() const
    {
        return this->first.substr(0, this->first.find(' '));
    }
    std::string target() const
    {
        auto from = this->first.find(' ') + 1;
        return this->first.substr(from, this->first.find(' ', from) - from);
    }
    std::string path() const
    {
        auto all = this->target();
        return all.substr(0, all.find('?'));
    }
    std::string query(const std::string& name) const
    {
        auto all = this->target();
        auto mark = all.find('?');
        if (mark == all.npos)
            return {};
        std::stringstream parts(all.substr(mark + 1));
        std::string part;
        while (std::getline(parts, part, '&'))
            if (part.rfind(name + "=", 0) == 0)
                return unescape(part.substr(name.size() + 1));
        return {};
    }
    static std::string unescape(const std::string& text)
    {
        std::string out;
        for (std::size_t at = 0; at < text.size(); at++)
            if (text[at] == '%' && at + 2 < text.size())
            {
                out += static_cast<char>(
                    std::stoi(text.substr(at + 1, 2), nullptr, 16));
                at += 2;
            }
            else
                out += text[at];
        return out;
    }
};

/// Reads messages from a connection.
class reader
{
public:
    explicit reader(int file) : file(file) {}

    /// False when the connection ends or the time is over first.
    bool read_head(message& into, int limit_ms = -1)
    {
        auto until = steady::now() + ms(limit_ms < 0 ? 3600000 : limit_ms);
        std::size_t end;
        while ((end = this->bytes.find("\r\n\r\n")) == std::string::npos)
            if (!this->more(until))
                return false;
        std::stringstream lines(this->bytes.substr(0, end));
        this->bytes.erase(0, end + 4);
        std::string text;
        into = {};
        while (std::getline(lines, text))
        {
            if (!text.empty() && text.back() == '\r')
                text.pop_back();
            if (into.first.empty())
            {
                into.first = text;
                continue;
            }
            auto colon = text.find(':');
            auto value = text.substr(std::min(text.size(), colon + 1));
            value.erase(0, value.find_first_not_of(" \t"));
            into.fields.emplace_back(text.substr(0, colon), value);
        }
        return !into.first.empty();
    }

    /// Reads the body that the head announces.
    bool read_body(message& into, bool answer, int limit_ms = -1)
    {
        auto until = steady::now() + ms(limit_ms < 0 ? 3600000 : limit_ms);
        if (lower(into.get("Transfer-Encoding")) == "chunked")
            return into.whole = this->read_chunks(into, until);
        auto length = into.get("Content-Length");
        if (length.empty())
        {
            if (!answer)
                return into.whole = true;
            while (this->more(until))
                ;
            into.body += this->bytes;
            this->bytes.clear();
            return into.whole = this->ended;
        }
        if (length.find_first_not_of("0123456789") != length.npos)
            return false;
        auto size = static_cast<std::size_t>(std::stoull(length));
        while (this->bytes.size() < size)
            if (!this->more(until))
            {
                into.body = this->bytes;
                return false;
            }
        into.body = this->bytes.substr(0, size);
        this->bytes.erase(0, size);
        return into.whole = true;
    }

    bool at_end() const { return this->ended; }

private:
    bool read_chunks(message& into, steady::time_point until)
    {
        for (;;)
        {
            std::size_t end;
            while ((end = this->bytes.find("\r\n")) == std::string::npos)
                if (!this->more(until))
                    return false;
            auto digits = this->bytes.substr(0, end);
            if (digits.empty() || digits.find_first_not_of(
                                      "0123456789abcdefABCDEF") != digits.npos)
                return false;
            auto size = std::stoull(digits, nullptr, 16);
            while (this->bytes.size() < end + 2 + size + 2)
                if (!this->more(until))
                    return false;
            into.body += this->bytes.substr(end + 2, size);
            this->bytes.erase(0, end + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }

    bool more(steady::time_point until)
    {
        auto left =
            std::chrono::duration_cast<ms>(until - steady::now()).count();
        pollfd wait{this->file, POLLIN, 0};
        if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) != 1)
            return false;
        char block[16384];
        auto count = ::recv(this->file, block, sizeof block, 0);
        this->ended = count == 0;
        if (count <= 0)
            return false;
        this->bytes.append(block, static_cast<std::size_t>(count));
        return true;
    }

    int file;
    std::string bytes;
    bool ended = false;
};

inline std::string request_text(const std::string& method,
                                const std::string& target,
                                const headers& fields, const std::string& body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : fields)
        text += name + ": " + value + "\r\n";
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

inline std::string answer_text(int status, const std::string& phrase,
                               const headers& fields, const std::string& body)
{
    std::string text =
        "HTTP/1.1 " + std::to_string(status) + " " + phrase + "\r\n";
    for (const auto& [name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// One call on a new connection; status 0: no whole answer came.
inline message call(const address& to, const std::string& method,
                    const std::string& target, headers fields,
                    const std::string& body, int limit_ms = 8000)
{
    message answer;
    int file = connect_to(to);
    if (file < 0)
        return answer;
    fields.emplace_back("Connection", "close");
    reader in(file);
    if (send_all(file, request_text(method, target, fields, body)) &&
        in.read_head(answer, limit_ms))
        in.read_body(answer, true, limit_ms);
    ::close(file);
    if (!answer.whole || answer.first.rfind("HTTP/1.1 ", 0) != 0)
        answer.first.clear();
    return answer;
}

/// A server with a thread for each connection.
class server
{
public:
    using handler = std::function<bool(int file, const message& asked)>;

    server(std::string ip, int port, handler handle)
        : at{std::move(ip), port}, handle(std::move(handle))
    {
        this->open();
    }
    ~server() { this->crash(); }

    const address& where() const { return this->at; }

    void open()
    {
        this->listening = listen_at(this->at.ip, this->at.port);
        if (this->listening < 0)
            throw std::runtime_error("can't listen at " + this->at.text());
        this->at.port = port_of(this->listening);
        this->accepting = std::thread([this] { this->accept_all(); });
    }

    /// Ends as the process of a server does that is killed.
    void crash()
    {
        if (this->listening < 0)
            return;
        this->down = true;
        ::shutdown(this->listening, SHUT_RDWR);
        this->accepting.join();
        ::close(this->listening);
        this->listening = -1;
        this->cut_connections();
        while (this->running > 0)
            pause(5);
        this->down = false;
    }

    void cut_connections()
    {
        std::lock_guard lock(this->guard);
        for (int file : this->files)
            ::shutdown(file, SHUT_RDWR);
    }

    std::atomic<bool> down{false};

private:
    void accept_all()
    {
        for (;;)
        {
            int file = ::accept4(this->listening, nullptr, nullptr,
                                 SOCK_CLOEXEC);
            if (file < 0)
            {
                if (this->down || errno == EINVAL || errno == EBADF)
                    return;
                continue;
            }
            int on = 1;
            setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::lock_guard lock(this->guard);
            this->files.insert(file);
            this->running++;
            std::thread([this, file] { this->serve(file); }).detach();
        }
    }

    void serve(int file)
    {
        reader in(file);
        message asked;
        while (!this->down && in.read_head(asked) &&
               in.read_body(asked, false) && this->handle(file, asked))
            ;
        {
            std::lock_guard lock(this->guard);
            this->files.erase(file);
            ::close(file);
        }
        this->running--;
    }

    address at;
    handler handle;
    int listening = -1;
    std::thread accepting;
    std::mutex guard;
    std::set<int> files;
    std::atomic<int> running{0};
};

// ----------------------------------------------------------------- base64

inline std::string encode64(const std::string& bytes)
{
    static const char* signs =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += 3)
    {
        unsigned value = static_cast<unsigned char>(bytes[at]) << 16;
        if (at + 1 < bytes.size())
            value |= static_cast<unsigned char>(bytes[at + 1]) << 8;
        if (at + 2 < bytes.size())
            value |= static_cast<unsigned char>(bytes[at + 2]);
        out += signs[value >> 18];
        out += signs[value >> 12 & 63];
        out += at + 1 < bytes.size() ? signs[value >> 6 & 63] : '=';
        out += at + 2 < bytes.size() ? signs[value & 63] : '=';
    }
    return out;
}

inline std::string decode64(const std::string& text)
{
    std::string out;
    unsigned value = 0;
    int bits = 0;
    for (char sign : text)
    {
        int digit = sign >= 'A' && sign <= 'Z'   ? sign - 'A'
                    : sign >= 'a' && sign <= 'z' ? sign - 'a' + 26
                    : sign >= '0' && sign <= '9' ? sign - '0' + 52
                    : sign == '+'                ? 62
                    : sign == '/'                ? 63
                                                 : -1;
        if (digit < 0)
            break;
        value = value << 6 | static_cast<unsigned>(digit);
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            out += static_cast<char>(value >> bits & 255);
        }
    }
    return out;
}

// ------------------------------------------------------- the platform's store

/// Linearizable, loses nothing. Each machine reaches it at an address of its
/// own, so that it can turn single machines away.
class platform_store
{
public:
    /// An address at which one machine reaches the store.
    address door(const std::string& machine)
    {
        auto one = std::make_unique<door_state>();
        auto* state = one.get();
        one->machine = machine;
        one->listener = std::make_unique<server>(
            "127.0.0.1", 0, [this, state](int file, const message& asked)
            { return this->handle(*state, file, asked); });
        std::lock_guard lock(this->guard);
        auto at = one->listener->where();
        this->doors[machine] = std::move(one);
        return at;
    }

    /// Answers 503 to all calls of a machine ("busy": nothing was done); the
    /// watches that wait are cut.
    void turn_away(const std::string& machine, bool away)
    {
        server* listener = nullptr;
        {
            std::lock_guard lock(this->guard);
            this->doors.at(machine)->away = away;
            listener = this->doors.at(machine)->listener.get();
            this->changed.notify_all();
        }
        if (away)
            listener->cut_connections();
    }

    /// For some seconds the answer to each third write is lost: that write is
    /// done late, if its condition still holds then, and its connection says
    /// nothing further.
    void lose_writes(double for_s)
    {
        std::lock_guard lock(this->guard);
        this->loses_until = seconds() + for_s;
        this->writes_seen = 0;
    }

    /// The value of a key; empty if there is none.
    std::string value(const std::string& key)
    {
        std::lock_guard lock(this->guard);
        auto found = this->entries.find(key);
        return found == this->entries.end() || found->second.removed
                   ? std::string()
                   : found->second.value;
    }

    /// The operator and the workers write here; it returns when acknowledged.
    void set(const std::string& key, const std::string& value)
    {
        std::lock_guard lock(this->guard);
        this->revision++;
        this->put(key, value, 0);
        this->changed.notify_all();
    }
    void remove(const std::string& key)
    {
        std::lock_guard lock(this->guard);
        this->revision++;
        this->drop(key);
        this->changed.notify_all();
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
    struct lease_state
    {
        ms time{};
        steady::time_point until;
    };
    struct door_state
    {
        std::unique_ptr<server> listener;
        bool away = false;
        std::string machine;
    };

    void put(const std::string& key, const std::string& value,
             std::uint64_t lease)
    {
        auto& one = this->entries[key];
        bool fresh = one.revision == 0 || one.removed;
        one = {value, this->revision, fresh ? this->revision : one.created,
               lease, false};
    }
    void drop(const std::string& key)
    {
        auto found = this->entries.find(key);
        if (found != this->entries.end() && !found->second.removed)
            found->second = {{}, this->revision, 0, 0, true};
    }
    void expire()
    {
        auto now = steady::now();
        for (auto at = this->leases.begin(); at != this->leases.end();)
        {
            if (now <= at->second.until)
            {
                ++at;
                continue;
            }
            this->end_lease(at->first);
            at = this->leases.erase(at);
        }
    }
    void end_lease(std::uint64_t lease)
    {
        this->revision++;
        for (auto& [key, one] : this->entries)
            if (one.lease == lease && !one.removed)
                this->drop(key);
        this->changed.notify_all();
    }
    json item(const std::string& key, const entry& one) const
    {
        if (one.removed)
            return {{"key", key}, {"revision", one.revision},
                    {"tombstone", true}};
        return {{"key", key},
                {"value", encode64(one.value)},
                {"revision", one.revision},
                {"created", one.created},
                {"lease", one.lease}};
    }

    static bool send(int file, int status, const json& body)
    {
        return send_all(file,
                        answer_text(status, "Status",
                                    {{"Content-Type", "application/json"}},
                                    body.dump()));
    }

    bool handle(door_state& door, int file, const message& asked)
    {
        std::unique_lock lock(this->guard);
        this->expire();
        if (door.away)
        {
            lock.unlock();
            return send(file, 503, {{"error", "busy"}});
        }
        bool loses = asked.path() == "/kv-txn" &&
                     seconds() < this->loses_until &&
                     ++this->writes_seen % 3 == 2;
        if (loses)
        {
            lock.unlock();
            log().line("the store loses the answer to a write of ",
                       door.machine);
            pause(2500);
            lock.lock();
            auto late = this->commit(json::parse(asked.body));
            log().line("the store does that write of ", door.machine,
                       " only now: ", late.first);
            return false;
        }
        auto [status, body] = this->answer(door, asked, lock);
        if (lock.owns_lock())
            lock.unlock();
        return status != 0 && send(file, status, body);
    }

    std::pair<int, json> answer(const door_state& door, const message& asked,
                                std::unique_lock<std::mutex>& lock)
    {
        auto path = asked.path();
        if (path == "/kv-key")
        {
            auto found = this->entries.find(asked.query("key"));
            if (found == this->entries.end() || found->second.removed)
                return {404, {{"current_rev", this->revision}}};
            auto out = this->item(found->first, found->second);
            out["current_rev"] = this->revision;
            return {200, out};
        }
        if (path == "/kv-range")
            return {200, this->range(asked)};
        if (path == "/kv-watch")
            return this->watch(door, asked, lock);
        if (path == "/kv-txn")
        {
            auto done = this->commit(json::parse(asked.body));
            log().line("the store answers a write of ", door.machine, ": ",
                       done.first);
            return done;
        }
        if (path == "/kv-lease")
        {
            ms time(json::parse(asked.body).at("ttl_ms").get<int>());
            auto id = ++this->last_lease;
            this->leases[id] = {time, steady::now() + time};
            return {200, {{"lease", id}, {"ttl_ms", time.count()}}};
        }
        auto number = std::strtoull(
            path.c_str() + path.rfind('/') + 1, nullptr, 10);
        auto found = this->leases.find(number);
        if (path.rfind("/kv-keep/", 0) == 0)
        {
            if (found == this->leases.end())
                return {404, json::object()};
            found->second.until = steady::now() + found->second.time;
            return {200, {{"ttl_ms", found->second.time.count()}}};
        }
        if (path.rfind("/kv-lease-end/", 0) == 0)
        {
            if (found == this->leases.end())
                return {404, json::object()};
            this->end_lease(number);
            this->leases.erase(number);
            return {200, json::object()};
        }
        return {400, {{"error", "no such call"}}};
    }

    json range(const message& asked) const
    {
        constexpr std::size_t page = 500;
        auto prefix = asked.query("prefix");
        auto after = asked.query("after");
        json items = json::array();
        bool more = false;
        for (auto at = this->entries.lower_bound(prefix);
             at != this->entries.end() && at->first.rfind(prefix, 0) == 0; ++at)
        {
            if (at->second.removed || (!after.empty() && at->first <= after))
                continue;
            more = items.size() == page;
            if (more)
                break;
            items.push_back(this->item(at->first, at->second));
        }
        return {{"items", items},
                {"has_more", more},
                {"current_rev", this->revision}};
    }

    std::pair<int, json> watch(const door_state& door, const message& asked,
                               std::unique_lock<std::mutex>& lock)
    {
        auto prefix = asked.query("prefix");
        auto after = std::stoull(asked.query("after"));
        ms wait(std::stoi(asked.query("wait_ms")));
        json events;
        this->changed.wait_for(
            lock, wait,
            [&]
            {
                events = json::array();
                for (auto at = this->entries.lower_bound(prefix);
                     at != this->entries.end() &&
                     at->first.rfind(prefix, 0) == 0;
                     ++at)
                    if (at->second.revision > after)
                        events.push_back(this->item(at->first, at->second));
                return door.away || !events.empty() || this->ending;
            });
        if (door.away || this->ending)
            return {0, {}};
        return {200, {{"events", events}, {"current_rev", this->revision}}};
    }

    std::pair<int, json> commit(const json& change)
    {
        json standing = json::array();
        bool holds = true;
        for (const auto& each : change.value("expected", json::array()))
        {
            auto key = each.at("key").get<std::string>();
            auto found = this->entries.find(key);
            bool there = found != this->entries.end() && !found->second.removed;
            auto now = there ? found->second.revision : 0;
            holds = holds && now == each.at("revision").get<std::uint64_t>();
            if (there)
                standing.push_back(this->item(key, found->second));
        }
        if (!holds)
            return {412, {{"items", standing}}};
        for (const auto& each : change.value("set_keys", json::array()))
        {
            auto lease = each.value("lease", std::uint64_t{0});
            if (lease != 0 && !this->leases.contains(lease))
                return {404, json::object()};
            auto key = each.at("key").get<std::string>();
            if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0)
                return {403, json::object()};
        }
        this->revision++;
        for (const auto& each : change.value("set_keys", json::array()))
            this->put(each.at("key").get<std::string>(),
                      decode64(each.at("value").get<std::string>()),
                      each.value("lease", std::uint64_t{0}));
        for (const auto& key : change.value("remove", json::array()))
            this->drop(key.get<std::string>());
        this->changed.notify_all();
        return {200, {{"revision", this->revision}}};
    }

public:
    void end()
    {
        {
            std::lock_guard lock(this->guard);
            this->ending = true;
            this->changed.notify_all();
        }
        for (auto& [name, one] : this->doors)
            one->listener->crash();
    }

private:
    std::mutex guard;
    std::condition_variable changed;
    std::map<std::string, entry> entries;
    std::map<std::uint64_t, lease_state> leases;
    std::map<std::string, std::unique_ptr<door_state>> doors;
    std::uint64_t revision = 1;
    std::uint64_t last_lease = 0;
    double loses_until = 0;
    int writes_seen = 0;
    bool ending = false;
};

// ------------------------------------------------------------------ workers

/// A sound worker: it answers a request for tokens with a stream of events.
class worker
{
public:
    struct run
    {
        std::string id;
        std::string target;
        std::string body;
        std::string resumed_after;
        double from = 0;
        double to = 0;
        bool whole = false;
        int events = 0;
    };

    worker(platform_store& store, std::string id, std::string service,
           std::string zone, int slots, int events, int event_ms)
        : store(store), id(std::move(id)), service(std::move(service)),
          zone(std::move(zone)), slots(slots), events(events),
          event_ms(event_ms)
    {
        this->born = std::chrono::duration_cast<ms>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
        this->front = std::make_unique<server>(
            "127.0.0.1", 0, [this](int file, const message& asked)
            { return this->handle(file, asked); });
        this->beating = std::thread([this] { this->beat(); });
    }

    ~worker() { this->crash(); }

    /// Crashes for good: it says nothing, and its entry goes after three
    /// heartbeat intervals of silence.
    void crash()
    {
        if (this->crashed.exchange(true))
            return;
        if (!this->over)
            log().line("worker ", this->id, " of ", this->service, " crashes");
        this->front->crash();
        this->beating.join();
    }

    std::vector<run> all_runs()
    {
        std::lock_guard lock(this->guard);
        return this->runs;
    }

    const std::string& name() const { return this->id; }

    static std::string event_text(const std::string& id, int number)
    {
        return id + "-" + std::to_string(number);
    }
    /// The text of an item's whole output.
    std::string whole_text(const std::string& request) const
    {
        std::string text;
        for (int at = 1; at <= this->events; at++)
            text += (at == 1 ? "" : "\n") + event_text(request, at);
        return text;
    }

    /// Called at the start of each run with the number of the run (from 0) of
    /// that request: how many events until the worker breaks off, or -1.
    std::function<int(const message& asked, int number)> breaks_after;
    /// Keeps the connection alive with a comment while it reads the prompt.
    std::atomic<bool> sends_comments{false};

private:
    void beat()
    {
        constexpr int heartbeat_ms = 1200;
        int sequence = 0;
        double silent_since = 0;
        for (;;)
        {
            if (!this->crashed)
            {
                json entry = {{"service", this->service},
                              {"address", this->front->where().text()},
                              {"zone", this->zone},
                              {"version", "v1"},
                              {"slots", this->slots},
                              {"state", "ready"},
                              {"cold_remaining_ms", 0},
                              {"stage", "both"},
                              {"models", json::array({{{"name", "m"},
                                                       {"version", 1},
                                                       {"adapters",
                                                        json::array()}}})},
                              {"sequence", ++sequence},
                              {"born", this->born}};
                this->store.set("servers/" + this->id, entry.dump());
                for (int at = 0; at < heartbeat_ms / 20 && !this->crashed; at++)
                    pause(20);
                silent_since = seconds();
                continue;
            }
            if (seconds() - silent_since > 3 * heartbeat_ms / 1000.0 ||
                this->over)
            {
                this->store.remove("servers/" + this->id);
                return;
            }
            pause(20);
        }
    }

    bool handle(int file, const message& asked)
    {
        auto request = asked.get("Request-Id");
        headers fields{{"Request-Id", request}};
        auto path = asked.path();
        if (path == "/healthz" || path == "/report")
            return send_all(file, answer_text(200, "OK",
                                              {{"Instance-Id", this->id}},
                                              "{}"));
        auto target = asked.get("Target-Instance");
        if (!target.empty() && target != this->id)
        {
            fields.emplace_back("Instance-Id", this->id);
            return send_all(
                file, answer_text(421, "Misdirected Request", fields, ""));
        }
        if (request.empty())
        {
            fields.emplace_back("Not-Executed", "1");
            return send_all(file, answer_text(400, "Bad Request", fields, ""));
        }
        {
            std::unique_lock lock(this->guard);
            if (this->busy >= this->slots + 24)
            {
                fields.emplace_back("Not-Executed", "1");
                return send_all(file, answer_text(503, "Service Unavailable",
                                                  fields, ""));
            }
            this->busy++;
        }
        bool keeps = this->stream(file, asked, request, fields);
        {
            std::lock_guard lock(this->guard);
            this->busy--;
            this->free.notify_all();
        }
        return keeps;
    }

    static bool left(int file)
    {
        char byte;
        auto count = ::recv(file, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN);
    }

    bool stream(int file, const message& asked, const std::string& request,
                headers fields)
    {
        int number = 0;
        std::size_t place = 0;
        {
            std::unique_lock lock(this->guard);
            // The queue, then a slot.
            while (this->working >= this->slots)
            {
                if (this->crashed || left(file))
                    return false;
                this->free.wait_for(lock, ms(20));
            }
            this->working++;
            for (const auto& each : this->runs)
                number += each.id == request ? 1 : 0;
            place = this->runs.size();
            this->runs.push_back({request, asked.target(), asked.body,
                                  asked.get("Last-Event-Id"), seconds(), 0,
                                  false, 0});
        }
        log().line("worker ", this->id, " runs ", request, " ",
                   asked.method(), " ", asked.target(), " after event '",
                   asked.get("Last-Event-Id"), "'");
        int last = this->breaks_after ? this->breaks_after(asked, number) : -1;
        fields.emplace_back("Response-Signature", "signed." + request);
        fields.emplace_back("Content-Type", "text/event-stream");
        std::string head = "HTTP/1.1 200 OK\r\n";
        for (const auto& [name, value] : fields)
            head += name + ": " + value + "\r\n";
        head += "Transfer-Encoding: chunked\r\n\r\n";
        int first = std::atoi(asked.get("Last-Event-Id").c_str()) + 1;
        bool good = true;
        int sent = 0;
        if (this->sends_comments)
        {
            // ": keep-alive" and an empty line.
            good = send_all(file, head + "e\r\n: keep-alive\n\n\r\n");
            head.clear();
        }
        for (int at = first; good && at <= this->events; at++)
        {
            pause(this->event_ms);
            if (last == sent)
            {
                // A worker may stop in the middle of an event.
                send_all(file, (sent == 0 ? head : "") + "8\r\nid: " +
                                   std::to_string(at % 10) + "\nda\r\n");
                log().line("worker ", this->id, " breaks off ", request);
                good = false;
                break;
            }
            auto text = "id: " + std::to_string(at) +
                        "\ndata: " + event_text(request, at) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            good = !this->crashed && !left(file) &&
                   send_all(file,
                            (sent == 0 ? head : "") + size + text + "\r\n");
            sent += good ? 1 : 0;
        }
        if (good)
            good = send_all(file, (sent == 0 ? head : "") +
                                      std::string("0\r\n\r\n"));
        std::lock_guard lock(this->guard);
        auto& one = this->runs[place];
        one.to = seconds();
        one.whole = good;
        one.events = sent;
        this->working--;
        this->free.notify_all();
        log().line("worker ", this->id, " ends ", request,
                   good ? " whole" : " not whole", " after ", sent, " events");
        return good;
    }

    platform_store& store;
    std::string id;
    std::string service;
    std::string zone;
    int slots;
    int events;
    int event_ms;
    std::int64_t born = 0;
    std::mutex guard;
    std::condition_variable free;
    int busy = 0;
    int working = 0;
    std::vector<run> runs;
    std::atomic<bool> crashed{false};

public:
    /// The case is over: the entry needn't wait for its time.
    std::atomic<bool> over{false};

private:
    std::unique_ptr<server> front;
    std::thread beating;
};

// --------------------------------------------------------------- the system

/// A process of the project's own programs.
struct process
{
    std::string name;
    std::vector<std::string> command;
    std::string settings;
    std::string output;
    pid_t pid = -1;
    int starts = 0;

    void start()
    {
        this->starts++;
        this->pid = ::fork();
        if (this->pid != 0)
            return;
        // It ends with the case, whatever happens to that.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int out = ::open(this->output.c_str(),
                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        setenv("AMARANTHHATCH_NODE_FILE", this->settings.c_str(), 1);
        std::vector<char*> words;
        for (auto& word : this->command)
            words.push_back(word.data());
        words.push_back(nullptr);
        execv(words[0], words.data());
        _exit(127);
    }
    /// How it ended by itself; empty while it runs.
    std::string ended()
    {
        int status = 0;
        if (this->pid <= 0 || waitpid(this->pid, &status, WNOHANG) != this->pid)
            return {};
        this->pid = -1;
        return WIFSIGNALED(status)
                   ? "signal " + std::to_string(WTERMSIG(status))
                   : "status " + std::to_string(WEXITSTATUS(status));
    }
    void kill()
    {
        if (this->pid <= 0)
            return;
        ::kill(this->pid, SIGKILL);
        ::kill(this->pid, SIGCONT);
        waitpid(this->pid, nullptr, 0);
        this->pid = -1;
    }
};

struct machine
{
    process run;
    std::string name;
    std::string zone;
    address front;
    address ready;
};

/// A small deployment: frontend and storage machines, one of each in a zone,
/// with the bounds of kolkhi-hatch.
class deployment
{
public:
    platform_store store;
    std::vector<std::unique_ptr<machine>> fronts;
    std::vector<std::unique_ptr<machine>> disks;
    std::string folder;

    deployment(int front_count, int disk_count)
    {
        auto pattern =
            (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        this->folder = mkdtemp(pattern.data());
        for (int at = 0; at < front_count; at++)
            this->fronts.push_back(this->make("frontend", at));
        for (int at = 0; at < disk_count; at++)
            this->disks.push_back(this->make("storage", at));
        for (const auto& one : this->fronts)
            this->write(*one);
        for (const auto& one : this->disks)
            this->write(*one);
    }

    ~deployment()
    {
        for (auto* group : {&this->fronts, &this->disks})
            for (auto& one : *group)
                one->run.kill();
        this->store.end();
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(this->folder, ignored);
        else
            std::cerr << this->folder << "\n";
    }

    /// Starts all machines; traffic may start 10 s later. False: not ready.
    bool start()
    {
        auto from = seconds();
        for (auto* group : {&this->fronts, &this->disks})
            for (auto& one : *group)
                one->run.start();
        bool all = false;
        while (!all && seconds() - from < 20)
        {
            pause(100);
            all = true;
            for (auto& one : this->fronts)
                all = all && call(one->ready, "GET", "/readyz",
                                  {{"Host", "r"}}, "", 500)
                                     .status() == 200;
        }
        while (seconds() - from < 10)
            pause(50);
        log().line(all ? "all frontend machines are ready"
                       : "not all frontend machines are ready");
        return all;
    }

    /// Starts spare storage machines, one in each zone.
    void add_disks()
    {
        for (int at = 0; at < 3; at++)
        {
            this->disks.push_back(
                this->make("storage", static_cast<int>(this->disks.size())));
            this->write(*this->disks.back(), false);
            this->disks.back()->run.start();
            log().line(this->disks.back()->name, " is added");
        }
    }

    void configure(const json& configuration)
    {
        this->store.set("op/config", configuration.dump());
        log().line("the store acknowledges version ",
                   configuration.at("version").get<int>(),
                   " of the configuration");
    }

private:
    static constexpr const char* zones[] = {"tbilisi-lots", "batumi-lots",
                                            "mtskheta-lots"};

    std::unique_ptr<machine> make(const std::string& kind, int number)
    {
        auto one = std::make_unique<machine>();
        one->zone = zones[number % 3];
        one->name = kind + "-" + one->zone + "-" + std::to_string(number / 3 + 1);
        one->run.name = one->name;
        one->run.command = {kind == "frontend"
                                ? "target/bin/hatch-platform-entry"
                                : "target/bin/hatch-platform-batch"};
        one->run.settings = this->folder + "/" + one->name + ".toml";
        one->run.output = this->folder + "/" + one->name + ".log";
        return one;
    }

    void write(machine& one, bool bootstrap = true)
    {
        bool front = one.name.rfind("frontend", 0) == 0;
        // An address of its own for each machine, all of them loopback.
        std::string ip =
            "127.0." + std::to_string(front ? 71 : 72) + "." +
            std::to_string(++this->last_host);
        int internal = free_ports(ip, 16);
        std::ofstream out(one.run.settings);
        out << "node_name = \"" << one.name << "\"\nrole = \""
            << (front ? "entry" : "batch") << "\"\nmachine_class = \""
            << (front ? "frontend" : "storage") << "\"\nserves = ["
            << (front ? "\"frontend\",\"control_plane\"" : "\"storage\"")
            << "]\nip = \"" << ip << "\"\nzone = \"" << one.zone
            << "\"\nregion = \""
            << (one.zone == "batumi-lots" ? "adjara" : "kartli")
            << "\"\ninternal_ports = [" << internal << "," << internal + 15
            << "]\nseeds = [\"" << this->seed
            << "\"]\nbootstrap = " << (bootstrap ? "true" : "false")
            << "\nloss_counts = "
            << (front ? "false" : "true") << "\n";
        if (!front)
        {
            auto data = this->folder + "/data-" + one.name;
            std::filesystem::create_directories(data);
            out << "data_dir = \"" << data << "\"\n";
        }
        out << "discovery = \"platform\"\nentry = \"vip\"\n"
               "heartbeat_ms = 1200\ncontracts = [\"base\",\"drain\","
               "\"config\",\"cost\",\"recover\",\"batch\",\"stream\","
               "\"engine\",\"platform\"]\n[zones]\ntbilisi-lots = \"kartli\"\n"
               "batumi-lots = \"adjara\"\nmtskheta-lots = \"kartli\"\n"
               "[listen]\n";
        if (front)
        {
            int port = free_ports(ip, 3);
            one.front = {ip, port};
            one.ready = {ip, port + 1};
            out << "front = \"" << one.front.text() << "\"\nready_addr = \""
                << one.ready.text() << "\"\ncontrol = \"" << ip << ":"
                << port + 2 << "\"\n";
            if (this->seed.empty())
                this->seed = ip + ":" + std::to_string(port + 2);
        }
        out << "[limits]\ncpu_share = " << (front ? "0.25" : "0.5")
            << "\ncores = 1\nmemory_mb = " << (front ? 260 : 300)
            << "\nmax_fds = " << (front ? 4100 : 8200)
            << "\nlink_mbps = 1000.0\ndisk_mb = " << (front ? 0 : 220)
            << "\n[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\n"
               "seed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 4000\n"
               "ack_ms = 5000\ncatch_up_s = 4.9\ndrain_ms = 2500\n"
               "grace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2500\n"
               "rollback_slack_ms = 250\nmax_skew_ms = 6000\n"
               "recovery_s = 12\npass_ms = 300\nretry_after_s = 0\n"
               "finish_s = 18\nstatus_s = 120\ncancel_ms = 3000\n"
               "settle_ms = 1000\nquota_overshoot = 0.1\n[platform]\n"
               "address = \""
            << this->store.door(one.name).text()
            << "\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\n"
               "history_s = 20\nvalue_bytes = 1048576\nmin_ttl_ms = 1000\n";
    }

    int last_host = 0;
    std::string seed;
};

// ------------------------------------------------------------ configuration

inline json stream_route(const std::string& name, const std::string& prefix,
                         const std::string& service, bool resumable)
{
    return {{"name", name},
            {"host", "novo13.example"},
            {"prefix", prefix},
            {"kind", "streaming"},
            {"timeout_ms", 5000},
            {"target_latency_ms", 300},
            {"priority", 0},
            {"service", service},
            {"max_attempts", resumable ? 2 : 1},
            {"sticky_sessions", true},
            {"resumable", resumable},
            {"target_gap_ms", 250}};
}

inline json batch_route(const std::string& name, const std::string& prefix,
                        const std::string& service)
{
    return {{"name", name},
            {"host", "novo13.example"},
            {"prefix", prefix},
            {"kind", "batch"},
            {"timeout_ms", 15000},
            {"target_latency_ms", 400},
            {"priority", 2},
            {"service", service},
            {"max_attempts", 3},
            {"max_count", 2100000},
            {"completion_target_ms", 18000},
            {"retention_s", 60},
            {"sticky_sessions", true},
            {"resumable", true},
            {"target_gap_ms", 250}};
}

inline json service_entry(const std::string& name)
{
    return {{"name", name},
            {"health_path", "/healthz"},
            {"max_connections", 300},
            {"protocol", "h1"},
            {"tls", false},
            {"engine",
             {{"slots", 8},
              {"kv_capacity_tokens", 115242},
              {"kv_token_bytes", 18432},
              {"link_mbps", 370000.0},
              {"stride", 7},
              {"models", json::array({{{"name", "m"}}})}}}};
}

inline json configuration(int version, json routes,
                          const std::vector<std::string>& services)
{
    json list = json::array();
    for (const auto& name : services)
        list.push_back(service_entry(name));
    return {{"version", version},
            {"routes", std::move(routes)},
            {"services", std::move(list)},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

// ---------------------------------------------------------------- batch jobs

inline std::string hexadecimal(std::uint64_t value)
{
    char text[20];
    std::snprintf(text, sizeof text, "%016lx", static_cast<unsigned long>(value));
    return text;
}

struct batch_job
{
    std::string id;
    std::string prefix;
    std::vector<std::string> items;
    int status = 0;
    double accepted_at = 0;

    std::string body() const
    {
        json list = json::array();
        for (const auto& item : this->items)
            list.push_back({{"id", item},
                            {"path", this->prefix + "3/" + item.substr(12)},
                            {"headers",
                             {{"Model", "m"},
                              {"Token-Counts", "350,400"},
                              {"Prompt-Prefix", "9c2e41:100," + item + ":250"}}},
                            {"body", encode64("prompt of " + item)},
                            {"tokens", 750}});
        return json{{"items", list}}.dump();
    }
};

inline batch_job make_job(const std::string& prefix, int items)
{
    static std::uint64_t next = 0x7c41e09b52d6a300ULL;
    batch_job job;
    job.prefix = prefix;
    job.id = hexadecimal(next += 0x10001);
    for (int at = 0; at < items; at++)
        job.items.push_back(hexadecimal((next * 0x9e3779b97f4a7c15ULL) + at));
    return job;
}

/// Submits once, as a client does, at one machine.
inline void submit(batch_job& job, const address& front)
{
    auto answer = call(front, "POST", job.prefix + job.id.substr(10),
                       {{"Host", "novo13.example"},
                        {"Request-Id", job.id},
                        {"Content-Type", "application/json"}},
                       job.body());
    job.status = answer.status();
    if (job.status == 202)
        job.accepted_at = seconds();
    log().line("batch job ", job.id, " of ", job.items.size(), " items on ",
               job.prefix, " sent to ", front.text(), ": answered ",
               job.status);
}

/// All results of a job; nothing where no machine answers 200.
inline std::optional<json> read_results(const batch_job& job,
                                        const std::vector<address>& fronts)
{
    json all = json::array();
    std::size_t after = 0;
    for (std::size_t attempt = 0; attempt < 20; attempt++)
    {
        auto answer = call(fronts[attempt % fronts.size()], "GET",
                           "/lots/" + job.id +
                               "?after=" + std::to_string(after),
                           {{"Host", "novo13.example"}}, "");
        if (answer.status() != 200)
        {
            pause(200);
            continue;
        }
        auto page = json::parse(answer.body);
        for (const auto& each : page.at("results"))
            all.push_back(each);
        after = page.at("next_token").get<std::size_t>();
        if (page.at("results").empty() || all.size() >= job.items.size())
            return all;
    }
    return std::nullopt;
}

inline bool with_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// Runs a case: 0 the rule held, 1 it was broken, 2 the case couldn't run.
inline int run_case(int count, char** words, const std::function<int()>& body)
{
    ::signal(SIGPIPE, SIG_IGN);
    began();
    log().open(std::string(count > 1 ? words[1] : ".") + "/record.txt");
    log().line(with_trouble() ? "with the disruption"
                              : "without the disruption (TROUBLE=0)");
    int code = 2;
    try
    {
        code = body();
    }
    catch (const std::exception& error)
    {
        log().line("the case couldn't run: ", error.what());
    }
    log().line("exit status ", code);
    return code;
}

} // namespace review
