#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

#include "platform_fleet.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

using steady = std::chrono::steady_clock;

const std::string deadly_part = "dead01";
const std::string first_part = "f1a5701:400";
const std::string subject_parts = first_part + ",5b1ec701:200";
const std::string other_parts = first_part + ",07be5702:300";
const std::string foreign_parts = "c0de03:350,07be5704:120";
const std::string deadly_parts = subject_parts + "," + deadly_part + ":150";
const std::string deadly_body = "deadly";

// The contact_ms of the bundled deployments.
constexpr auto contact = 4s;
constexpr auto refusal_limit = 300ms;
constexpr int deadly_limit = 3;

struct outcome
{
    int status = 0;
    bool retry_after = false;
    std::chrono::milliseconds took{0};
};

int count_status(const std::vector<outcome>& seen, int status)
{
    return static_cast<int>(std::count_if(seen.begin(), seen.end(),
                                          [status](const auto& each)
                                          { return each.status == status; }));
}

/// @brief The outcomes as "status after ms" for messages of failed checks.
std::string summary(const std::vector<outcome>& seen)
{
    std::ostringstream text;
    for (const auto& each : seen)
        text << each.status << " after " << each.took.count() << " ms; ";
    return text.str();
}

/// @brief Callers of sound requests at each entry, until the end.
class background
{
public:
    background(const tests::platform_fleet& fleet, const std::string& route,
               std::size_t callers_each = 1)
    {
        auto entries = fleet.entries.size();
        for (std::size_t at = 0; at < entries * callers_each; at++)
            this->callers.emplace_back([this, &fleet, at, route]
                                       { this->call(fleet, at, route); });
    }

    ~background() { this->stop(); }

    void stop()
    {
        this->stopping = true;
        for (auto& caller : this->callers)
            caller.join();
        this->callers.clear();
    }

    /// @brief Requests whose answer broke off.
    int broken() const { return this->broken_count; }

private:
    void call(const tests::platform_fleet& fleet, std::size_t caller,
              const std::string& route)
    {
        const std::string* const prompts[] = {&subject_parts, &other_parts,
                                              &foreign_parts};
        for (std::size_t number = 0; !this->stopping; number++)
        {
            std::ostringstream own;
            own << std::hex << "b" << caller << "c" << number;
            auto parts = *prompts[(caller + number) % 3];
            auto reply = fleet.call(
                caller % fleet.entries.size(), "POST", route,
                "sound-" + own.str(), "b",
                {{"Prompt-Prefix", parts + "," + own.str() + ":50"}});
            bool broken = reply.reached != http::progress::answered ||
                          reply.status == 502;
            this->broken_count += broken ? 1 : 0;
        }
    }

    std::atomic<bool> stopping = false;
    std::atomic<int> broken_count = 0;
    std::vector<std::thread> callers;
};

/// @brief Lets the entries of crashed workers expire and registers the workers
/// again, as the platform does.
class registrations
{
public:
    explicit registrations(tests::platform_fleet& fleet) : fleet(fleet) {}

    ~registrations()
    {
        this->stopping = true;
        if (this->runner.joinable())
            this->runner.join();
    }

    void start()
    {
        this->runner = std::thread([this] { this->run(); });
    }

private:
    // Three of the fleet's heartbeats of 300 ms.
    static constexpr auto expiry = 900ms;

    void run()
    {
        while (!this->stopping)
        {
            for (std::size_t at = 0; at < this->fleet.workers.size(); at++)
                this->follow(at);
            std::this_thread::sleep_for(50ms);
        }
    }

    void follow(std::size_t worker)
    {
        auto reply = fleet::get(this->fleet.workers[worker].address, "/admin");
        if (reply.status != 200)
            return;
        bool starting = json::parse(reply.body).at("starting").get<bool>();
        auto known = this->crashed.find(worker);
        if (starting && known == this->crashed.end())
            this->crashed[worker] = {steady::now(), false};
        else if (starting && !known->second.expired &&
                 steady::now() - known->second.at >= expiry)
        {
            this->fleet.drop_worker(worker);
            known->second.expired = true;
        }
        else if (!starting && known != this->crashed.end())
        {
            this->fleet.register_restarted_worker(worker);
            this->crashed.erase(known);
        }
    }

    struct crashed_worker
    {
        steady::time_point at;
        bool expired = false;
    };

    tests::platform_fleet& fleet;
    std::atomic<bool> stopping = false;
    std::map<std::size_t, crashed_worker> crashed;
    std::thread runner;
};

struct quarantine
{
    explicit quarantine(int batch_hosts = 0) : fleet(4, batch_hosts, 6)
    {
        this->fleet.start();
        this->switch_workers({{"deadly", deadly_part}});
        this->entries.start();
    }

    void switch_workers(const json& change)
    {
        for (const auto& worker : this->fleet.workers)
            fleet::admin(worker, change);
    }

    /// @brief The sum of a count over all workers.
    ///
    /// A crash closes the connections of these readings too.
    int total(const std::string& field)
    {
        int sum = 0;
        for (const auto& worker : this->fleet.workers)
        {
            json read;
            REQUIRE(fleet::eventually(
                [&]
                {
                    auto reply = fleet::get(worker.address, "/admin");
                    if (reply.status == 200)
                        read = json::parse(reply.body);
                    return reply.status == 200;
                },
                2s));
            sum += read.at(field).get<int>();
        }
        return sum;
    }

    /// @brief A request with these parts and one of its own.
    outcome request(std::size_t entry, const std::string& route,
                    const std::string& parts)
    {
        std::ostringstream own;
        own << std::hex << "a0" << ++this->requests;
        auto began = steady::now();
        auto reply = this->fleet.call(
            entry, "POST", route, "request-" + own.str(), "b",
            {{"Prompt-Prefix", parts + "," + own.str() + ":50"}});
        outcome seen;
        seen.status =
            reply.reached == http::progress::answered ? reply.status : 0;
        seen.retry_after = !reply.headers.get("Retry-After").empty();
        seen.took = std::chrono::duration_cast<std::chrono::milliseconds>(
            steady::now() - began);
        return seen;
    }

    /// @brief Requests with these parts to the entries in turn.
    std::vector<outcome> requests_in_turn(int count, const std::string& parts)
    {
        std::vector<outcome> seen;
        for (int at = 0; at < count; at++)
        {
            auto entry =
                static_cast<std::size_t>(at) % this->fleet.entries.size();
            bool once =
                at / static_cast<int>(this->fleet.entries.size()) % 2 == 0;
            seen.push_back(
                this->request(entry, once ? "/once/x" : "/again/x", parts));
        }
        return seen;
    }

    /// @brief Deadly requests to the entries in turn up to the fifth crash.
    ///
    /// A quarantine may come before that.
    void crash_workers()
    {
        constexpr int most_requests = 12;
        for (int at = 0; at < most_requests && this->total("crashes") < 5; at++)
        {
            auto entry =
                static_cast<std::size_t>(at) % this->fleet.entries.size();
            this->request(entry, "/once/x", deadly_parts);
            std::this_thread::sleep_for(100ms);
        }
        REQUIRE(this->total("crashes") >= 3);
    }

    void check_refused(const std::vector<outcome>& seen, int runs_before)
    {
        INFO(summary(seen));
        int reached = this->total("deadly_runs") - runs_before;
        CHECK(reached <= deadly_limit);
        CHECK(count_status(seen, 503) >=
              static_cast<int>(seen.size()) - deadly_limit);
        for (const auto& each : seen)
        {
            if (each.status != 503)
                continue;
            CHECK(each.retry_after);
            CHECK(each.took < refusal_limit);
        }
    }

    tests::platform_fleet fleet;
    registrations entries{this->fleet};
    std::atomic<int> requests = 0;
};

/// @brief One request crashes workers; requests that share its parts don't.
struct quarantine_of_requests : quarantine
{
    quarantine_of_requests()
    {
        this->switch_workers({{"deadly", ""}, {"deadly_body", deadly_body}});
        this->fleet.configure(
            [](json& configuration)
            {
                configuration["routes"].push_back({{"name", "plain"},
                                                   {"host", "app.example"},
                                                   {"prefix", "/plain/"},
                                                   {"kind", "idempotent"},
                                                   {"timeout_ms", 4000},
                                                   {"target_latency_ms", 1000},
                                                   {"priority", 0},
                                                   {"service", "pool"},
                                                   {"max_attempts", 2}});
                configuration["routes"].push_back({{"name", "often"},
                                                   {"host", "app.example"},
                                                   {"prefix", "/often/"},
                                                   {"kind", "idempotent"},
                                                   {"timeout_ms", 4000},
                                                   {"target_latency_ms", 1000},
                                                   {"priority", 0},
                                                   {"service", "pool"},
                                                   {"max_attempts", 3}});
            });
        for (std::size_t at = 0; at < this->fleet.entries.size(); at++)
            REQUIRE(fleet::eventually(
                [&] { return this->send(at, {"/plain/x"}, "b").status == 200; },
                10s));
    }

    /// @brief Where requests of one kind go, and their prompt's parts.
    struct request_kind
    {
        std::string path;
        std::string prompt = {};
    };

    outcome send(std::size_t entry, const request_kind& kind,
                 const std::string& body)
    {
        std::vector<http::header> headers;
        if (!kind.prompt.empty())
            headers.push_back({"Prompt-Prefix", kind.prompt});
        auto began = steady::now();
        auto reply = this->fleet.call(
            entry, "POST", kind.path,
            "request-" + std::to_string(++this->requests), body, headers);
        outcome seen;
        seen.status =
            reply.reached == http::progress::answered ? reply.status : 0;
        seen.retry_after = !reply.headers.get("Retry-After").empty();
        seen.took = std::chrono::duration_cast<std::chrono::milliseconds>(
            steady::now() - began);
        return seen;
    }

    std::vector<outcome> send_in_turn(int count, const request_kind& kind,
                                      const std::string& body)
    {
        std::vector<outcome> seen;
        for (int at = 0; at < count; at++)
            seen.push_back(this->send(static_cast<std::size_t>(at) %
                                          this->fleet.entries.size(),
                                      kind, body));
        return seen;
    }

    /// @brief The deadly request at all entries at once.
    std::vector<outcome> send_at_once(const request_kind& kind)
    {
        std::vector<outcome> seen(this->fleet.entries.size());
        std::vector<std::thread> callers;
        for (std::size_t at = 0; at < seen.size(); at++)
            callers.emplace_back(
                [&, at] { seen[at] = this->send(at, kind, deadly_body); });
        for (auto& caller : callers)
            caller.join();
        return seen;
    }

    /// @brief Sends the deadly request to the entries in turn until it has
    /// crashed three workers.
    void crash_three(const request_kind& kind)
    {
        constexpr int most_requests = 12;
        for (int at = 0; at < most_requests && this->total("crashes") < 3; at++)
        {
            this->send(static_cast<std::size_t>(at) %
                           this->fleet.entries.size(),
                       kind, deadly_body);
            std::this_thread::sleep_for(100ms);
        }
        REQUIRE(this->total("crashes") >= 3);
    }
};

struct quarantine_of_items : quarantine
{
    quarantine_of_items() : quarantine(2) {}

    bool submit(const std::string& job, const std::vector<std::string>& bodies,
                const std::string& parts)
    {
        auto body = tests::platform_fleet::job_body(job, bodies, parts);
        return fleet::eventually(
            [&] {
                return this->fleet.call(0, "POST", "/jobs/x", job, body)
                           .status == 202;
            },
            10s);
    }
};

} // namespace

TEST_CASE_METHOD(quarantine, "deadly part, five crashes later, reaches no "
                             "worker from any host")
{
    auto after_head = GENERATE(false, true);
    INFO("crashes behind the head: " << after_head);
    this->switch_workers({{"deadly_after_head", after_head}});
    background sound(this->fleet, "/again/x");
    this->crash_workers();
    std::this_thread::sleep_for(contact);
    int before = this->total("deadly_runs");
    auto seen = this->requests_in_turn(20, deadly_parts);
    this->check_refused(seen, before);
}

TEST_CASE_METHOD(quarantine, "deadly part, quarantined, sound requests with "
                             "its other parts are answered")
{
    background sound(this->fleet, "/again/x");
    this->crash_workers();
    // From twice the contact time on, callers of the other parts see nothing.
    std::this_thread::sleep_for(2 * contact);
    int before = this->total("deadly_runs");
    std::vector<outcome> deadly;
    std::atomic<bool> done = false;
    std::thread deadly_caller(
        [&]
        {
            for (std::size_t at = 0; !done; at++)
            {
                auto entry = at % this->fleet.entries.size();
                deadly.push_back(this->request(entry, "/once/x", deadly_parts));
                std::this_thread::sleep_for(50ms);
            }
        });
    std::vector<outcome> seen;
    for (std::size_t at = 0; at < 24; at++)
        seen.push_back(
            this->request(at % this->fleet.entries.size(), "/once/x",
                          at % 2 == 0 ? subject_parts : other_parts));
    done = true;
    deadly_caller.join();
    REQUIRE(deadly.size() >= 8);
    INFO(summary(seen));
    CHECK(count_status(seen, 200) == 24);
    this->check_refused(deadly, before);
}

TEST_CASE_METHOD(quarantine,
                 "deadly part, quarantined, restarted entry refuses it too")
{
    auto outage = GENERATE(false, true);
    INFO("store away: " << outage);
    background sound(this->fleet, "/again/x");
    this->crash_workers();
    std::this_thread::sleep_for(contact);
    fleet::admin(this->fleet.store, {{"outage", outage}});
    this->fleet.entries[1].restart();
    REQUIRE(fleet::eventually(
        [this]
        { return this->request(1, "/once/x", foreign_parts).status == 200; },
        10s));
    std::this_thread::sleep_for(contact);
    int before = this->total("deadly_runs");
    std::vector<outcome> seen;
    for (int at = 0; at < 8; at++)
        seen.push_back(this->request(1, "/once/x", deadly_parts));
    this->check_refused(seen, before);
}

TEST_CASE_METHOD(quarantine, "deadly part, quarantined, all hosts restarted "
                             "at once, is refused still")
{
    {
        background sound(this->fleet, "/again/x");
        this->crash_workers();
        std::this_thread::sleep_for(contact);
    }
    for (auto& entry : this->fleet.entries)
        entry.process.reset();
    for (auto& entry : this->fleet.entries)
        entry.start();
    for (const auto& address : this->fleet.ready)
        REQUIRE(fleet::eventually(
            [&] { return fleet::get(address, "/readyz").status == 200; }, 10s));
    int before = this->total("deadly_runs");
    this->check_refused(this->requests_in_turn(12, deadly_parts), before);
}

TEST_CASE_METHOD(quarantine,
                 "workers that crash for other reasons, block no part")
{
    // Most streams are at their beginning when their worker ends.
    this->switch_workers({{"event_ms", 150}, {"events", 3}});
    background sound(this->fleet, "/once/x", 4);
    std::this_thread::sleep_for(500ms);
    for (std::size_t at = 0; at < 5; at++)
    {
        auto& worker = this->fleet.workers[at];
        worker.restart();
        REQUIRE(fleet::eventually(
            [&] { return fleet::get(worker.address, "/admin").status == 200; },
            5s));
        this->fleet.register_restarted_worker(at);
        fleet::admin(worker, {{"event_ms", 150}, {"events", 3}});
    }
    CHECK(sound.broken() >= 5);
    std::this_thread::sleep_for(contact);
    this->switch_workers({{"event_ms", 10}});
    for (const auto& parts : {subject_parts, other_parts, foreign_parts})
    {
        auto seen = this->requests_in_turn(8, parts);
        INFO(summary(seen));
        CHECK(count_status(seen, 200) == 8);
    }
}

TEST_CASE_METHOD(quarantine,
                 "workers that reset requests and go on, block no part")
{
    this->switch_workers({{"deadly_resets", true}});
    background sound(this->fleet, "/again/x");
    this->crash_workers();
    this->requests_in_turn(12, deadly_parts);
    this->switch_workers({{"deadly", ""}});
    std::this_thread::sleep_for(contact);
    auto seen = this->requests_in_turn(12, deadly_parts);
    INFO(summary(seen));
    CHECK(count_status(seen, 200) == 12);
}

TEST_CASE_METHOD(quarantine_of_items, "item with a deadly part, "
                                      "quarantined, stays open and isn't run")
{
    background sound(this->fleet, "/again/x");
    this->crash_workers();
    std::this_thread::sleep_for(contact);
    int before = this->total("deadly_runs");
    std::vector<std::string> bodies(6, "a");
    REQUIRE(this->submit("deadly-job", bodies, deadly_parts));
    REQUIRE(this->submit("sound-job", bodies, subject_parts));
    CHECK(fleet::eventually(
        [&]
        {
            auto read = this->fleet.results(0, "sound-job");
            return !read.is_null() && read.at("results").size() == 6;
        },
        5s));
    std::this_thread::sleep_for(1s);
    CHECK(this->total("deadly_runs") - before <= deadly_limit);
    auto read = this->fleet.results(0, "deadly-job");
    REQUIRE(!read.is_null());
    CHECK(read.at("total") == 6);
    CHECK(read.at("results").empty());
}

TEST_CASE_METHOD(quarantine_of_requests,
                 "deadly request, three crashes later, reaches no worker and "
                 "those that share its parts do")
{
    // No prompt, a prompt that nothing shares, and that of a session.
    auto kind =
        GENERATE(request_kind{"/plain/x"}, request_kind{"/once/x", "d0a1:50"},
                 request_kind{"/once/x", subject_parts + ",d0a1:50"});
    INFO(kind.path << " " << kind.prompt);
    background sound(this->fleet, "/again/x");
    this->crash_three(kind);
    std::this_thread::sleep_for(contact);
    int before = this->total("deadly_runs");
    this->check_refused(this->send_in_turn(16, kind, deadly_body), before);
    auto seen = this->send_in_turn(12, kind, "sound");
    INFO(summary(seen));
    CHECK(count_status(seen, 200) == 12);
}

TEST_CASE_METHOD(quarantine_of_requests,
                 "deadly request, at all hosts at once, reaches no worker "
                 "after three crashes")
{
    request_kind kind{"/plain/x"};
    background sound(this->fleet, "/again/x");
    for (int round = 0; round < 4 && this->total("crashes") < 3; round++)
        this->send_at_once(kind);
    REQUIRE(this->total("crashes") >= 3);
    std::this_thread::sleep_for(contact);
    int before = this->total("deadly_runs");
    std::vector<outcome> seen;
    for (int round = 0; round < 4; round++)
        for (const auto& each : this->send_at_once(kind))
            seen.push_back(each);
    this->check_refused(seen, before);
}

TEST_CASE_METHOD(quarantine_of_requests,
                 "deadly request, quarantined, restarted entry refuses it too")
{
    auto outage = GENERATE(false, true);
    INFO("store away: " << outage);
    request_kind kind{"/plain/x"};
    background sound(this->fleet, "/again/x");
    // A host that is cut off from the store counts crashes, too.
    fleet::admin(this->fleet.store, {{"outage", outage}});
    this->crash_three(kind);
    std::this_thread::sleep_for(contact);
    fleet::admin(this->fleet.store, {{"outage", false}});
    this->fleet.entries[1].restart();
    REQUIRE(fleet::eventually(
        [&] { return this->send(1, kind, "b").status == 200; }, 10s));
    std::this_thread::sleep_for(contact);
    int before = this->total("deadly_runs");
    std::vector<outcome> seen;
    for (int at = 0; at < 8; at++)
        seen.push_back(this->send(1, kind, deadly_body));
    this->check_refused(seen, before);
}

TEST_CASE_METHOD(quarantine_of_requests,
                 "deadly request, quarantined, all hosts restarted at once, is "
                 "refused still")
{
    request_kind kind{"/plain/x"};
    {
        background sound(this->fleet, "/again/x");
        this->crash_three(kind);
        std::this_thread::sleep_for(contact);
    }
    for (auto& entry : this->fleet.entries)
        entry.process.reset();
    for (auto& entry : this->fleet.entries)
        entry.start();
    for (const auto& address : this->fleet.ready)
        REQUIRE(fleet::eventually(
            [&] { return fleet::get(address, "/readyz").status == 200; }, 10s));
    int before = this->total("deadly_runs");
    this->check_refused(this->send_in_turn(12, kind, deadly_body), before);
}

TEST_CASE_METHOD(quarantine_of_requests,
                 "deadly request, crashes a worker within milliseconds and is "
                 "retried on others, then comes at all hosts at once, reaches "
                 "no worker after three crashes")
{
    auto prefill = GENERATE(5, 30);
    INFO("prefill " << prefill << " ms");
    this->switch_workers({{"prefill_ms", prefill}});
    request_kind kind{"/often/x"};
    REQUIRE(fleet::eventually(
        [&] { return this->send(0, kind, "b").status == 200; }, 10s));
    background sound(this->fleet, "/again/x");
    this->crash_three(kind);
    std::this_thread::sleep_for(contact);
    int before = this->total("deadly_runs");
    std::vector<outcome> seen;
    for (int round = 0; round < 4; round++)
    {
        for (const auto& each : this->send_at_once(kind))
            seen.push_back(each);
        std::this_thread::sleep_for(1s);
    }
    this->check_refused(seen, before);
}
