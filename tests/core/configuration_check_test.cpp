#include <catch2/catch.hpp>

#include <algorithm>

#include "core/hash.hpp"
#include "core/routes/configuration_check.hpp"
#include "core/routes/configuration_difference.hpp"

using namespace amaranthhatch::core;
using routes::route_kind;

namespace
{

/// @brief A configuration without findings, to be changed by one fault.
struct sound_configuration
{
    sound_configuration()
    {
        routes::route online;
        online.name = "online";
        online.authority = "one.example";
        online.prefix = "/s/";
        online.kind = route_kind::stream;
        online.services = {{"pool", 1}};
        online.timeout = milliseconds(5000);
        online.target_latency = milliseconds(300);
        online.target_gap = milliseconds(250);
        online.max_attempts = 2;
        online.resumable = true;
        this->routes.push_back(online);
        online.name = "other";
        online.prefix = "/other/";
        this->routes.push_back(online);
        this->workspaces.push_back({"first", {"key-1"}, {}, {62, 62}, 0});
        this->workspaces.push_back({"second", {"key-2"}, {}, {0.3, 1}, 0});
    }

    routes::route_table table() const
    {
        return {7, this->routes, this->services, this->limits,
                workspaces::workspace_table(this->workspaces)};
    }

    /// @brief The findings as "rule name", in the order of their rules.
    std::vector<std::string> found() const
    {
        std::vector<std::string> out;
        for (const auto& each : routes::check_configuration(this->table()))
            out.push_back(each.rule + " " + each.name);
        return out;
    }

    std::vector<routes::route> routes;
    std::vector<routes::service> services{{"pool", 8, 100}};
    routes::caller_limits limits;
    std::vector<workspaces::workspace> workspaces;
};

using texts = std::vector<std::string>;

} // namespace

// Each rule guards against a configuration that is accepted and then doesn't do
// what its author meant. The first case guards against false findings.
TEST_CASE_METHOD(sound_configuration, "configuration check, each rule, finds")
{
    SECTION("sound")
    {
        CHECK(this->found().empty());
    }
    SECTION("route hidden by one of the same prefix")
    {
        this->routes[1].prefix = "/s/";
        CHECK(this->found() == texts{"hidden_route other"});
    }
    SECTION("empty prefix hidden by /")
    {
        this->routes[0].prefix = "";
        this->routes[1].prefix = "/";
        CHECK(this->found() == texts{"hidden_route online"});
    }
    SECTION("longer prefix of another host name hides nothing")
    {
        this->routes[1].prefix = "/s/";
        this->routes[1].authority = "two.example";
        CHECK(this->found().empty());
    }
    SECTION("prefix that no path begins with")
    {
        this->routes[1].prefix = "s/";
        CHECK(this->found() == texts{"prefix_never_matches other"});
    }
    SECTION("host name with a port")
    {
        this->routes[1].authority = "one.example:80";
        CHECK(this->found() == texts{"host_never_matches other"});
    }
    SECTION("duplicate name")
    {
        this->routes[1].name = "online";
        CHECK(this->found() == texts{"duplicate_name online"});
    }
    SECTION("share of weight 0")
    {
        this->services.push_back({"new", 8, 100});
        this->routes[0].services.push_back({"new", 0});
        CHECK(this->found() == texts{"zero_weight online"});
    }
    SECTION("route without a service")
    {
        this->routes[0].services.clear();
        CHECK(this->found() == texts{"no_service online"});
    }
    SECTION("service that isn't declared")
    {
        this->routes[0].services[0].service = "none";
        CHECK(this->found() == texts{"unknown_service online"});
    }
    SECTION("service that no route names")
    {
        this->services.push_back({"idle", 8, 100});
        CHECK(this->found() == texts{"unused_service idle"});
    }
    SECTION("target latency above the timeout")
    {
        this->routes[0].target_latency = milliseconds(5001);
        CHECK(this->found() == texts{"target_above_timeout online"});
    }
    SECTION("target gap above the timeout")
    {
        this->routes[0].target_gap = milliseconds(5001);
        CHECK(this->found() == texts{"gap_above_timeout online"});
    }
    SECTION("completion target above the retention")
    {
        this->routes[0].kind = route_kind::batch;
        this->routes[0].retention = milliseconds(1000);
        this->routes[0].completion_target = milliseconds(2000);
        CHECK(this->found() == texts{"completion_above_retention online"});
    }
    SECTION("no attempts")
    {
        this->routes[0].max_attempts = 0;
        CHECK(this->found() == texts{"no_attempts online"});
    }
    SECTION("attempts of a stream that may not be repeated")
    {
        this->routes[0].resumable = false;
        CHECK(this->found() == texts{"attempts_not_repeatable online"});
    }
    SECTION("resumable without a stream")
    {
        this->routes[0].kind = route_kind::idempotent;
        CHECK(this->found() == texts{"resumable_without_stream online"});
    }
    SECTION("workspace without keys")
    {
        this->workspaces[1].keys.clear();
        CHECK(this->found() == texts{"workspace_without_keys second"});
    }
    SECTION("quota without a burst")
    {
        this->workspaces[1].limit.burst = 0;
        CHECK(this->found() == texts{"quota_without_burst second"});
    }
    SECTION("burst without a rate")
    {
        this->workspaces[1].limit.per_second = 0;
        CHECK(this->found() == texts{"burst_without_rate second"});
    }
    SECTION("quota below what its burst needs")
    {
        this->workspaces[1].limit.burst = 2;
        CHECK(this->found() == texts{"quota_below_burst second"});
    }
    SECTION("header time above the idle time")
    {
        this->limits.header_time = milliseconds(20000);
        CHECK(this->found() == texts{"header_above_idle header_timeout_ms"});
    }
    SECTION("limit of 0")
    {
        this->limits.body_bytes = 0;
        CHECK(this->found() == texts{"zero_limit "});
    }
}

// Guards against a shared key that isn't found, and against its text in what
// operators paste into tickets.
TEST_CASE_METHOD(sound_configuration,
                 "configuration check, shared key, is shown as its hash")
{
    this->workspaces[1].keys.emplace_back("key-1");
    auto findings = routes::check_configuration(this->table());
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].rule == "shared_key");
    CHECK(findings[0].name == "second");
    CHECK(findings[0].detail.find("key-1") == std::string::npos);
    CHECK(findings[0].detail.find(hash_hex("key-1")) != std::string::npos);
}

// Guards against changes that the comparison leaves out, and against keys in
// it.
TEST_CASE_METHOD(sound_configuration,
                 "configurations, compared, differ by route and workspace")
{
    auto before = this->table();
    CHECK(routes::compare_configurations(before, before).empty());
    this->routes[0].timeout = milliseconds(6000);
    this->routes[1].name = "renamed";
    this->workspaces[0].keys[0] = "key-3";
    texts seen;
    for (const auto& each :
         routes::compare_configurations(before, this->table()))
    {
        auto text = each.change + " " + each.part + " " + each.name;
        if (!each.field.empty())
            text += " " + each.field + " " + each.before + " " + each.after;
        seen.push_back(text);
    }
    CHECK(seen == texts{"changed route online timeout 5000 ms 6000 ms",
                        "removed route other",
                        "changed workspace first keys " + hash_hex("key-1") +
                            " " + hash_hex("key-3"),
                        "added route renamed"});
}
