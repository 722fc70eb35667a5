#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "caller_key.hpp"
#include "http/socket_options.hpp"
#include "platform_fleet.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

// Longer than a withdrawn key may still be accepted (config_apply_ms).
constexpr auto apply_limit = 2500ms;

json tenant(const std::string& name, const std::vector<std::string>& keys)
{
    return {{"name", name}, {"api_keys", keys}};
}

std::vector<http::header> key(const std::string& text)
{
    return {{"Authorization", "Token " + text}};
}

struct keyed_fleet
{
    explicit keyed_fleet(int entries = 2, int batch_hosts = 0,
                         std::string bounds = "")
        : fleet(entries, batch_hosts, 2, {}, std::move(bounds))
    {
        this->fleet.configuration["tenants"] = {
            tenant("one", {"key-1a", "key-1b"}), tenant("two", {"key-2"}),
            tenant("empty", json::array())};
        auto open = this->fleet.configuration.at("routes").at(0);
        open["name"] = "open";
        open["prefix"] = "/open/";
        open["allow_anonymous"] = true;
        this->fleet.configuration["routes"].push_back(open);
        this->fleet.start();
    }

    int status(std::size_t entry, const std::string& id,
               const std::vector<http::header>& headers,
               const std::string& path = "/again/x")
    {
        return this->fleet.call(entry, "POST", path, id, "b", headers).status;
    }

    json asked(const std::string& id)
    {
        for (const auto& worker : this->fleet.workers)
        {
            auto all = fleet::counters(worker).at("asked");
            if (all.contains(id))
                return all.at(id);
        }
        return {};
    }

    std::string asked_text(const std::string& id, const std::string& field)
    {
        return this->asked(id).at(field).get<std::string>();
    }

    int runs(const std::string& id)
    {
        int total = 0;
        for (const auto& worker : this->fleet.workers)
            total += fleet::counters(worker).at("runs").value(id, 0);
        return total;
    }

    /// @brief True if an entry refuses the key within the limit, and then for
    /// as long again.
    bool refuses(std::size_t entry, const std::string& text)
    {
        int number = 0;
        auto refused = [&]
        {
            auto id = "refused-" + text + std::to_string(entry) + "-" +
                      std::to_string(number++);
            return this->status(entry, id, key(text)) == 401;
        };
        if (!fleet::eventually(refused, apply_limit))
            return false;
        auto end = std::chrono::steady_clock::now() + apply_limit;
        while (std::chrono::steady_clock::now() < end)
        {
            if (!refused())
                return false;
            std::this_thread::sleep_for(50ms);
        }
        return true;
    }

    void withdraw(std::size_t workspace, const std::vector<std::string>& left)
    {
        this->fleet.configure(
            [&](json& configuration)
            { configuration["tenants"][workspace]["api_keys"] = left; });
    }

    tests::platform_fleet fleet;
};

struct keyed_jobs : keyed_fleet
{
    keyed_jobs() : keyed_fleet(2, 2) {}

    int submit(std::size_t entry, const std::string& job,
               const std::vector<http::header>& headers, int items = 2)
    {
        std::vector<std::string> bodies(static_cast<std::size_t>(items), "b");
        int status = 0;
        fleet::eventually(
            [&]
            {
                status = this->fleet
                             .call(entry, "POST", "/jobs/run", job,
                                   tests::platform_fleet::job_body(job, bodies),
                                   headers)
                             .status;
                return status != 503 && status != 504;
            },
            10s);
        return status;
    }

    int read(std::size_t entry, const std::string& job,
             const std::vector<http::header>& headers)
    {
        return this->fleet
            .call(entry, "GET", "/lots/" + job + "?after=0", "", "", headers)
            .status;
    }
};

/// @brief One connection that is kept for several requests.
class kept_connection
{
public:
    explicit kept_connection(const std::string& address) : socket(this->loop)
    {
        this->socket.connect(http::parse_endpoint(address));
    }

    /// @brief Sends a request without a body and returns its status.
    int send(const std::string& id, const std::string& text)
    {
        auto request = "POST /again/x HTTP/1.1\r\nHost: app.example\r\n"
                       "Request-Id: " +
                       id + "\r\nAuthorization: Token " + text +
                       "\r\nContent-Length: 0\r\n\r\n";
        boost::asio::write(this->socket, boost::asio::buffer(request));
        std::string head;
        boost::asio::read_until(this->socket, boost::asio::dynamic_buffer(head),
                                "\r\n\r\n");
        auto status = std::stoi(head.substr(head.find(' ')));
        if (status == 200)
            boost::asio::read_until(this->socket,
                                    boost::asio::dynamic_buffer(head),
                                    "\r\n0\r\n\r\n");
        return status;
    }

private:
    boost::asio::io_context loop;
    boost::asio::ip::tcp::socket socket;
};

} // namespace

TEST_CASE("caller key, forms of the header, are read or refused")
{
    using platform::decode_caller_key;
    CHECK(decode_caller_key("Token abc") == "abc");
    CHECK(decode_caller_key("token  abc") == "abc");
    for (const auto* value : {"", "Token", "Token ", "Tokenabc", "Bearer abc",
                              "Token a b", "abc", " Token abc"})
        CHECK_FALSE(decode_caller_key(value).has_value());
}

// Guards against an endpoint that sees a caller's key, or a workspace that the
// caller named itself.
TEST_CASE_METHOD(keyed_fleet, "request with a key, its endpoint gets the "
                              "workspace's name and never the key")
{
    CHECK(this->status(0, "r1",
                       {{"authorization", "Token key-1b"},
                        {"tenant-id", "two"},
                        {"Tenant-Id", "two"}}) == 200);
    CHECK(this->asked("r1").at("tenant") == "one");
    CHECK(this->asked_text("r1", "key").empty());
}

// Guards against requests that are run for nobody.
TEST_CASE_METHOD(keyed_fleet, "request without a valid key, is answered 401 "
                              "and not run")
{
    struct row
    {
        std::vector<http::header> headers;
        std::string reason;
    };
    const row rows[] = {
        {{}, "key_missing"},
        {key("nobody"), "key_unknown"},
        {{{"Authorization", "Bearer key-1a"}}, "key_malformed"},
        {{{"Authorization", "Token"}}, "key_malformed"},
        {{{"Authorization", "Token key-1a x"}}, "key_malformed"},
        {{key("key-1a")[0], key("key-2")[0]}, "key_duplicate"}};
    int number = 0;
    for (const auto& row : rows)
    {
        INFO(row.reason);
        auto id = "bad" + std::to_string(number++);
        auto reply =
            this->fleet.call(0, "POST", "/once/x", id, "b", row.headers);
        CHECK(reply.status == 401);
        CHECK(reply.headers.get("WWW-Authenticate") == "Token");
        CHECK(reply.body == row.reason + "\n");
        CHECK(this->runs(id) == 0);
        CHECK(fleet::metric(this->fleet.entries[0], "hatch_requests_total",
                            "reason=\"" + row.reason + "\"") >= 1);
    }
    auto log = this->fleet.log_of(this->fleet.entries[0]);
    CHECK(log.find("key-1a") == log.npos);
    CHECK(log.find("nobody") == log.npos);
}

TEST_CASE_METHOD(keyed_fleet, "request on a route for anonymous callers, needs "
                              "no key; a valid one names its workspace")
{
    CHECK(this->status(0, "a1", {}, "/open/x") == 200);
    CHECK(this->asked_text("a1", "tenant").empty());
    CHECK(this->status(0, "a2", key("nobody"), "/open/x") == 200);
    CHECK(this->asked_text("a2", "tenant").empty());
    CHECK(this->asked_text("a2", "key").empty());
    CHECK(this->status(0, "a3", key("key-2"), "/open/x") == 200);
    CHECK(this->asked("a3").at("tenant") == "two");
}

// Guards against deployments without workspaces that lose their callers' own
// headers.
TEST_CASE("configuration without workspaces, credentials pass to the endpoint")
{
    keyed_fleet keyed;
    keyed.fleet.configure([](json& configuration)
                          { configuration.erase("tenants"); });
    REQUIRE(fleet::eventually([&] { return keyed.status(0, "n0", {}) == 200; },
                              apply_limit));
    CHECK(keyed.status(0, "n1",
                       {{"Authorization", "Basic x"}, {"Tenant-Id", "own"}}) ==
          200);
    CHECK(keyed.asked("n1").at("key") == "Basic x");
    CHECK(keyed.asked("n1").at("tenant") == "own");
}

// Guards against a withdrawn key that an open connection still brings through.
TEST_CASE_METHOD(keyed_fleet, "key withdrawn, on connections that were open, "
                              "is refused on all hosts")
{
    kept_connection open(this->fleet.fronts[0]);
    REQUIRE(open.send("k1", "key-1a") == 200);
    this->withdraw(0, {"key-1b"});
    int number = 0;
    CHECK(fleet::eventually(
        [&] {
            return open.send("k2-" + std::to_string(number++), "key-1a") == 401;
        },
        apply_limit));
    for (std::size_t entry = 0; entry < 2; entry++)
    {
        CHECK(this->refuses(entry, "key-1a"));
        CHECK(this->status(entry, "kept" + std::to_string(entry),
                           key("key-1b")) == 200);
    }
    CHECK(fleet::metric(this->fleet.entries[0], "hatch_requests_total",
                        "reason=\"key_revoked\"") >= 1);
}

// Guards against a host that starts with an older copy and takes the key again.
TEST_CASE_METHOD(keyed_fleet, "key withdrawn, all of a workspace, host "
                              "restarted while the store is away, is refused")
{
    this->withdraw(1, {});
    REQUIRE(this->refuses(0, "key-2"));
    REQUIRE(this->refuses(1, "key-2"));
    fleet::admin(this->fleet.store, {{"outage", true}});
    this->fleet.entries[1].restart();
    CHECK(fleet::eventually(
        [&]
        { return fleet::get(this->fleet.ready[1], "/readyz").status == 200; }));
    CHECK(this->refuses(1, "key-2"));
    CHECK(this->status(1, "other", key("key-1a")) == 200);
    fleet::admin(this->fleet.store, {{"outage", false}});
    CHECK(this->refuses(1, "key-2"));
}

// Guards against a host out of touch that refuses, or accepts, against its
// settings.
TEST_CASE("store away for longer than the revocation limit, hosts that fail "
          "closed refuse keys and others don't")
{
    bool closed = GENERATE(true, false);
    keyed_fleet keyed(2, 0,
                      std::string("revoke_ms = 1500\nfail_closed = ") +
                          (closed ? "true\n" : "false\n"));
    std::this_thread::sleep_for(3s);
    CHECK(keyed.status(0, "before", key("key-1a")) == 200);
    CHECK(keyed.status(1, "before1", key("key-1a")) == 200);
    fleet::admin(keyed.fleet.store, {{"outage", true}});
    std::this_thread::sleep_for(3s);
    for (std::size_t entry = 0; entry < 2; entry++)
    {
        auto id = "away" + std::to_string(entry);
        auto reply =
            keyed.fleet.call(entry, "POST", "/again/x", id, "b", key("key-1a"));
        CHECK(reply.status == (closed ? 503 : 200));
        CHECK(reply.headers.get("Retry-After").empty() != closed);
        CHECK(keyed.runs(id) == (closed ? 0 : 1));
    }
    CHECK(keyed.status(0, "open", {}, "/open/x") == 200);
    fleet::admin(keyed.fleet.store, {{"outage", false}});
    CHECK(fleet::eventually(
        [&] { return keyed.status(0, "after", key("key-1a")) == 200; }, 5s));
}

// Guards against a workspace that reads or ends another one's jobs.
TEST_CASE_METHOD(keyed_jobs, "job of a workspace, isn't there for the others")
{
    REQUIRE(this->submit(0, "job", key("key-1a")) == 202);
    CHECK(this->submit(1, "job", key("key-1b")) == 202);
    CHECK(this->submit(1, "job", key("key-2")) == 404);
    for (std::size_t entry = 0; entry < 2; entry++)
    {
        CHECK(this->read(entry, "job", key("key-1b")) == 200);
        CHECK(this->read(entry, "job", key("key-2")) == 404);
        CHECK(this->read(entry, "job", {}) == 401);
        auto body = [&](const std::string& text)
        {
            return this->fleet
                .call(entry, "GET", "/items/job?id=job-0", "", "", key(text))
                .status;
        };
        CHECK(body("key-2") == 404);
    }
    CHECK(this->fleet.call(0, "DELETE", "/lots/job", "", "", key("key-2"))
              .status == 404);
    CHECK(fleet::eventually(
        [&]
        {
            auto page = this->fleet.results(0, "job", key("key-1a"));
            return !page.is_null() && page.at("results").size() == 2;
        }));
    CHECK(this->asked("job-0").at("tenant") == "one");
    CHECK(this->asked_text("job-0", "key").empty());
    CHECK(this->fleet.call(0, "DELETE", "/lots/job", "", "", key("key-1a"))
              .status == 200);
}

// Guards against jobs that end with the key that submitted them.
TEST_CASE_METHOD(keyed_jobs, "job, its workspace's keys are withdrawn, goes on "
                             "and is read with a later key")
{
    for (const auto& worker : this->fleet.workers)
        fleet::admin(worker, {{"event_ms", 150}});
    REQUIRE(this->submit(0, "job", key("key-2"), 6) == 202);
    this->withdraw(1, {});
    CHECK(this->refuses(0, "key-2"));
    this->withdraw(1, {"key-new"});
    CHECK(fleet::eventually(
        [&]
        {
            auto page = this->fleet.results(1, "job", key("key-new"));
            return !page.is_null() && page.at("results").size() == 6;
        }));
    CHECK(this->asked("job-5").at("tenant") == "two");
}

// Guards against one workspace that uses up the others' share of a route.
TEST_CASE_METHOD(keyed_jobs, "jobs over the limit of waiting tokens, are "
                             "refused for their workspace only")
{
    for (const auto& worker : this->fleet.workers)
        fleet::admin(worker, {{"full", true}});
    // An item has 10 tokens, the route a limit of 1,000.
    REQUIRE(this->submit(0, "job-1", key("key-1a"), 90) == 202);
    std::this_thread::sleep_for(500ms);
    CHECK(this->submit(1, "job-2", key("key-1b"), 20) == 429);
    CHECK(this->submit(1, "job-3", key("key-2"), 90) == 202);
}

// Guards against a limit that holds at each host by itself.
TEST_CASE("workspace over its limit on two hosts, is answered 429 with a time "
          "and others are served")
{
    keyed_fleet keyed(2);
    keyed.fleet.configure(
        [](json& configuration)
        {
            configuration["tenants"][0]["rate_per_s"] = 4;
            configuration["tenants"][0]["burst"] = 4;
        });
    // Workers answer within 100 ms; the limit is in force when one is refused.
    int served = 0;
    int refused = 0;
    auto began = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - began < 6s)
    {
        auto number = std::to_string(served + refused);
        auto reply =
            keyed.fleet.call((served + refused) % 2, "POST", "/again/x",
                             "q" + number, "b", key("key-1a"));
        bool over = reply.status == 429;
        (over ? refused : served)++;
        if (!over)
            continue;
        CHECK(std::stod(std::string(reply.headers.get("Retry-After"))) > 0);
        CHECK(keyed.runs("q" + number) == 0);
        std::this_thread::sleep_for(20ms);
    }
    // Six seconds and the burst, beside those served before it was in force.
    CHECK(refused > 0);
    CHECK(served <= 6 * 4 + 4 + 12);
    CHECK(served >= 16);
    CHECK(keyed.status(0, "two", key("key-2")) == 200);
    CHECK(fleet::metric(keyed.fleet.entries[0], "hatch_requests_total",
                        "reason=\"quota\"") > 0);
}
