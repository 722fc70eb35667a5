#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include "standin_host.hpp"

using namespace amaranthhatch;
using nlohmann::json;

namespace
{

struct stored
{
    std::string value;
    std::uint64_t version = 0;
    std::uint64_t revision = 0;
    /// When the key's lease ends.
    std::chrono::steady_clock::time_point until =
        std::chrono::steady_clock::time_point::max();
};

/// @brief A key-value service with switches for its failures.
///
/// POST /admin takes {"outage": bool, "slow_ms": n, "lose_answers": n};
/// GET /admin gives the number of calls.
class store
{
public:
    http::response handle(const http::request& asked)
    {
        if (asked.path == "/admin")
            return this->administer(asked);
        int slow = 0;
        {
            std::lock_guard lock(this->guard);
            if (this->outage)
                return standins::json_response(503, {{"error", "outage"}});
            slow = this->slow_ms;
        }
        if (slow > 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(slow));
        auto key = standins::path_below(asked.path, "/v1/kv/");
        if (!key.empty() && asked.method == "GET")
            return this->read(std::string(key));
        if (!key.empty() && asked.method == "PUT")
            return this->write(std::string(key), asked);
        if (asked.path == "/v1/watch")
            return this->watch(asked);
        return standins::json_response(400, {{"error", "no such call"}});
    }

private:
    static json entry(const std::string& key, const stored& value)
    {
        return {
            {"key", key}, {"value", value.value}, {"version", value.version}};
    }

    http::response administer(const http::request& asked)
    {
        std::lock_guard lock(this->guard);
        if (asked.method == "POST")
        {
            json change = json::parse(asked.body);
            this->outage = change.value("outage", this->outage);
            this->slow_ms = change.value("slow_ms", this->slow_ms);
            this->lose_answers =
                change.value("lose_answers", this->lose_answers);
            this->changed.notify_all();
        }
        return standins::json_response(200, {{"reads", this->reads},
                                             {"writes", this->writes},
                                             {"watches", this->watches},
                                             {"keys", this->entries.size()}});
    }

    void expire()
    {
        auto now = std::chrono::steady_clock::now();
        std::erase_if(this->entries, [now](const auto& each)
                      { return now > each.second.until; });
    }

    http::response read(const std::string& key)
    {
        std::lock_guard lock(this->guard);
        this->expire();
        ++this->reads;
        auto found = this->entries.find(key);
        if (found == this->entries.end())
            return standins::json_response(404, {{"error", "no such key"}});
        return standins::json_response(200, entry(key, found->second));
    }

    http::response write(const std::string& key, const http::request& asked)
    {
        constexpr std::size_t value_limit_bytes = 1u << 20;
        std::lock_guard lock(this->guard);
        this->expire();
        ++this->writes;
        if (asked.body.size() > value_limit_bytes)
            return standins::json_response(413, {{"error", "value too large"}});
        std::uint64_t expected =
            std::stoull(std::string(http::query_value(asked.query, "version")));
        stored& value = this->entries[key];
        if (value.version != expected)
        {
            json standing = entry(key, value);
            if (value.version == 0)
                this->entries.erase(key);
            return standins::json_response(409, standing);
        }
        value.value = asked.body;
        value.version = expected + 1;
        value.revision = ++this->revision;
        auto ttl = http::query_value(asked.query, "ttl_ms");
        value.until =
            ttl.empty()
                ? std::chrono::steady_clock::time_point::max()
                : std::chrono::steady_clock::now() +
                      std::chrono::milliseconds(std::stoi(std::string(ttl)));
        this->changed.notify_all();
        auto answer = standins::json_response(200, entry(key, value));
        if (this->lose_answers > 0)
        {
            --this->lose_answers;
            answer.stream = std::make_unique<lost_answer>();
        }
        return answer;
    }

    http::response watch(const http::request& asked)
    {
        std::unique_lock lock(this->guard);
        ++this->watches;
        std::string prefix(http::query_value(asked.query, "prefix"));
        std::uint64_t after =
            std::stoull(std::string(http::query_value(asked.query, "after")));
        int wait_ms =
            std::stoi(std::string(http::query_value(asked.query, "wait_ms")));
        json newer;
        this->changed.wait_for(lock, std::chrono::milliseconds(wait_ms),
                               [&]
                               {
                                   newer = this->newer(prefix, after);
                                   return this->outage || !newer.empty();
                               });
        if (this->outage)
            return standins::json_response(503, {{"error", "outage"}});
        return standins::json_response(
            200, {{"revision", this->revision}, {"entries", newer}});
    }

    json newer(const std::string& prefix, std::uint64_t after) const
    {
        json found = json::array();
        for (auto at = this->entries.lower_bound(prefix);
             at != this->entries.end() && at->first.starts_with(prefix); ++at)
        {
            if (at->second.revision > after)
                found.push_back(entry(at->first, at->second));
        }
        return found;
    }

    struct lost_answer : http::body_source
    {
        state read(std::string&) override { return state::failed; }
    };

    std::mutex guard;
    std::condition_variable changed;
    std::map<std::string, stored> entries;
    std::uint64_t revision = 0;
    bool outage = false;
    int slow_ms = 0;
    int lose_answers = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
};

} // namespace

int main(int argument_count, char** arguments)
{
    store served;
    return standins::serve(argument_count, arguments,
                           [&](const http::request& asked)
                           { return served.handle(asked); });
}
