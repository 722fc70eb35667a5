#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include "base64.hpp"
#include "standin_host.hpp"

using namespace amaranthhatch;
using nlohmann::json;
using std::chrono::steady_clock;

namespace
{

struct stored
{
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
    bool removed = false;
};

struct lease_state
{
    std::chrono::milliseconds time{};
    steady_clock::time_point until;
};

/// @brief The platform's metadata store: transactions, watches and leases.
///
/// POST /admin takes {"outage", "lose_answers", "forget_history",
/// "set": {key: value}, "remove": [key]}; GET /admin gives counts of calls.
class platform_store
{
public:
    http::response handle(const http::request& asked)
    {
        if (asked.path == "/admin")
            return this->administer(asked);
        std::unique_lock lock(this->guard);
        ++this->calls[asked.path.substr(0, asked.path.find('/', 1))];
        this->expire();
        if (this->outage)
            return standins::json_response(503, {{"error", "outage"}});
        if (asked.path == "/kv-key")
            return this->read(asked);
        if (asked.path == "/kv-range")
            return this->range(asked);
        if (asked.path == "/kv-watch")
            return this->watch(asked, lock);
        if (asked.path == "/kv-txn")
            return this->commit(asked);
        if (asked.path == "/kv-lease")
            return this->grant(asked);
        if (auto id = standins::path_below(asked.path, "/kv-keep/");
            !id.empty())
            return this->keep(std::string(id));
        if (auto id = standins::path_below(asked.path, "/kv-lease-end/");
            !id.empty())
            return this->end_lease(std::string(id));
        return standins::json_response(400, {{"error", "no such call"}});
    }

private:
    static json item(const std::string& key, const stored& one)
    {
        if (one.removed)
            return {
                {"key", key}, {"revision", one.revision}, {"tombstone", true}};
        return {{"key", key},
                {"value", platform::encode_base64(one.value)},
                {"revision", one.revision},
                {"created", one.created},
                {"lease", one.lease}};
    }

    void put(const std::string& key, const std::string& value,
             std::uint64_t lease)
    {
        auto& one = this->entries[key];
        bool fresh = one.revision == 0 || one.removed;
        one = {value, this->revision, fresh ? this->revision : one.created,
               lease, false};
    }

    void remove(const std::string& key)
    {
        auto found = this->entries.find(key);
        if (found != this->entries.end() && !found->second.removed)
            found->second = {{}, this->revision, 0, 0, true};
    }

    void expire()
    {
        auto now = steady_clock::now();
        for (auto at = this->leases.begin(); at != this->leases.end();)
        {
            bool over = now > at->second.until;
            if (over)
                this->drop_keys(at->first);
            at = over ? this->leases.erase(at) : std::next(at);
        }
    }

    void drop_keys(std::uint64_t lease)
    {
        ++this->revision;
        for (auto& [key, one] : this->entries)
            if (one.lease == lease && !one.removed)
                this->remove(key);
        this->changed.notify_all();
    }

    http::response administer(const http::request& asked)
    {
        std::lock_guard lock(this->guard);
        if (asked.method == "POST")
        {
            json change = json::parse(asked.body);
            this->outage = change.value("outage", this->outage);
            this->lose_answers =
                change.value("lose_answers", this->lose_answers);
            if (change.value("forget_history", false))
                this->oldest = this->revision;
            json set = change.value("set", json::object());
            for (const auto& [key, value] : set.items())
            {
                ++this->revision;
                this->put(key, value.get<std::string>(), 0);
            }
            json removed = change.value("remove", json::array());
            for (const auto& key : removed)
            {
                ++this->revision;
                this->remove(key.get<std::string>());
            }
            this->changed.notify_all();
        }
        json values = json::object();
        for (const auto& [key, one] : this->entries)
            if (!one.removed)
                values[key] = one.value;
        return standins::json_response(
            200, {{"calls", this->calls}, {"values", values}});
    }

    http::response read(const http::request& asked)
    {
        std::string key(http::query_value(asked.query, "key"));
        auto found = this->entries.find(key);
        if (found == this->entries.end() || found->second.removed)
            return standins::json_response(404,
                                           {{"current_rev", this->revision}});
        auto out = item(key, found->second);
        out["current_rev"] = this->revision;
        return standins::json_response(200, out);
    }

    http::response range(const http::request& asked)
    {
        constexpr std::size_t page = 3;
        std::string prefix(http::query_value(asked.query, "prefix"));
        std::string after(http::query_value(asked.query, "after"));
        json items = json::array();
        bool more = false;
        for (auto at = this->entries.lower_bound(prefix);
             at != this->entries.end() && at->first.starts_with(prefix); ++at)
        {
            if (at->second.removed || (!after.empty() && at->first <= after))
                continue;
            more = items.size() == page;
            if (more)
                break;
            items.push_back(item(at->first, at->second));
        }
        return standins::json_response(200, {{"items", items},
                                             {"has_more", more},
                                             {"current_rev", this->revision}});
    }

    http::response watch(const http::request& asked,
                         std::unique_lock<std::mutex>& lock)
    {
        std::string prefix(http::query_value(asked.query, "prefix"));
        auto after =
            std::stoull(std::string(http::query_value(asked.query, "after")));
        auto wait =
            std::stoi(std::string(http::query_value(asked.query, "wait_ms")));
        if (after < this->oldest)
            return standins::json_response(410, {{"error", "compacted"}});
        json events;
        this->changed.wait_for(lock, std::chrono::milliseconds(wait),
                               [&]
                               {
                                   events = this->events(prefix, after);
                                   return this->outage || !events.empty();
                               });
        if (this->outage)
            return standins::json_response(503, {{"error", "outage"}});
        return standins::json_response(
            200, {{"events", events}, {"current_rev", this->revision}});
    }

    json events(const std::string& prefix, std::uint64_t after) const
    {
        json out = json::array();
        for (auto at = this->entries.lower_bound(prefix);
             at != this->entries.end() && at->first.starts_with(prefix); ++at)
            if (at->second.revision > after)
                out.push_back(item(at->first, at->second));
        return out;
    }

    http::response commit(const http::request& asked)
    {
        json change = json::parse(asked.body);
        json standing = json::array();
        bool holds = true;
        json expected = change.value("expected", json::array());
        for (const auto& each : expected)
        {
            auto key = each.at("key").get<std::string>();
            auto found = this->entries.find(key);
            bool there = found != this->entries.end() && !found->second.removed;
            auto revision = there ? found->second.revision : 0;
            holds =
                holds && revision == each.at("revision").get<std::uint64_t>();
            if (there)
                standing.push_back(item(key, found->second));
        }
        if (!holds)
            return standins::json_response(412, {{"items", standing}});
        json written = change.value("set_keys", json::array());
        json removed = change.value("remove", json::array());
        for (const auto& each : written)
        {
            auto lease = each.value("lease", std::uint64_t{0});
            if (lease != 0 && !this->leases.contains(lease))
                return standins::json_response(404, {{"error", "no lease"}});
            auto key = each.at("key").get<std::string>();
            if (key.starts_with("op/") || key.starts_with("servers/"))
                return standins::json_response(403, {{"error", "reserved"}});
        }
        ++this->revision;
        for (const auto& each : written)
            this->put(
                each.at("key").get<std::string>(),
                platform::decode_base64(each.at("value").get<std::string>()),
                each.value("lease", std::uint64_t{0}));
        for (const auto& key : removed)
            this->remove(key.get<std::string>());
        this->changed.notify_all();
        auto answer =
            standins::json_response(200, {{"revision", this->revision}});
        if (this->lose_answers > 0)
        {
            --this->lose_answers;
            answer.stream = std::make_unique<lost_answer>();
        }
        return answer;
    }

    http::response grant(const http::request& asked)
    {
        std::chrono::milliseconds time(
            json::parse(asked.body).at("ttl_ms").get<int>());
        auto id = ++this->last_lease;
        this->leases[id] = {time, steady_clock::now() + time};
        return standins::json_response(
            200, {{"lease", id}, {"ttl_ms", time.count()}});
    }

    http::response keep(const std::string& id)
    {
        auto found = this->leases.find(std::stoull(id));
        if (found == this->leases.end())
            return standins::json_response(404, {{"error", "no lease"}});
        found->second.until = steady_clock::now() + found->second.time;
        return standins::json_response(
            200, {{"ttl_ms", found->second.time.count()}});
    }

    http::response end_lease(const std::string& id)
    {
        auto number = std::stoull(id);
        if (this->leases.erase(number) == 0)
            return standins::json_response(404, {{"error", "no lease"}});
        this->drop_keys(number);
        return standins::json_response(200, json::object());
    }

    struct lost_answer : http::body_source
    {
        state read(std::string&) override { return state::failed; }
    };

    std::mutex guard;
    std::condition_variable changed;
    std::map<std::string, stored> entries;
    std::map<std::uint64_t, lease_state> leases;
    std::map<std::string, int> calls;
    std::uint64_t revision = 1;
    std::uint64_t oldest = 0;
    std::uint64_t last_lease = 0;
    bool outage = false;
    int lose_answers = 0;
};

} // namespace

int main(int argument_count, char** arguments)
{
    platform_store served;
    return standins::serve(argument_count, arguments,
                           [&](const http::request& asked)
                           { return served.handle(asked); });
}
