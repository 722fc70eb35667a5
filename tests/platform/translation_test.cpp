#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

#include <nlohmann/json.hpp>

#include "base64.hpp"
#include "core/quarantine/crash_report.hpp"
#include "errors/failure.hpp"
#include "job_body.hpp"
#include "logging/event.hpp"
#include "node_settings.hpp"
#include "operator_entries.hpp"
#include "prompt_parts.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using core::routes::route_kind;

namespace
{

std::string read_case(const std::string& name)
{
    std::ifstream in(std::string(HATCH_CASES) + "/platform/" + name);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

class no_store : public store::async_store
{
public:
    void list(std::string_view, listing_callback) override {}
    void watch(std::string_view, std::uint64_t, std::chrono::milliseconds,
               listing_callback) override
    {
    }
    void commit(const store::change&, change_callback) override {}
    void grant(std::chrono::milliseconds, lease_callback) override {}
    void renew(std::uint64_t, lease_callback) override {}
    void revoke(std::uint64_t, lease_callback) override {}
};

std::string write_settings(const std::string& text)
{
    std::string path = "/tmp/hatch-settings-XXXXXX";
    close(mkstemp(path.data()));
    std::ofstream(path) << text;
    return path;
}

using worker_list = std::vector<core::endpoints::endpoint>;

worker_list decode_worker(const std::string& key, const std::string& value)
{
    boost::asio::io_context loop;
    no_store none;
    store::mirror copy(loop, none, {"servers/", {}, 1s, {}, {}, {}});
    copy.adopt({store::outcome::done, 2, {{key, value, 1, false}}, {}});
    platform::worker_entries decoder;
    return decoder.decode(copy);
}

/// @brief The entry of a sound worker with one field set to a JSON text.
std::string worker_with(const std::string& field, const std::string& text)
{
    nlohmann::json entry = {{"service", "p"}, {"address", "127.0.0.1:1"},
                            {"zone", "a"},    {"slots", 8},
                            {"born", 7},      {"state", "ready"}};
    entry.erase(field);
    auto rest = entry.dump();
    return "{\"" + field + "\":" + text + "," + rest.substr(1);
}

/// @brief Reads a job of one item with one field set to a JSON text.
core::batches::job decode_job_with(const std::string& field,
                                   const std::string& text)
{
    nlohmann::json item = {{"id", "i"},
                           {"path", "/x"},
                           {"headers", nlohmann::json::object()},
                           {"body", "eA=="},
                           {"tokens", 10}};
    item.erase(field);
    http::request asked;
    asked.headers.add("Request-Id", "j");
    asked.headers.add("Host", "one.example");
    asked.path = "/j/1";
    asked.body = "{\"items\":[{\"" + field + "\":" + text + "," +
                 item.dump().substr(1) + "]}";
    return platform::decode_job(asked);
}

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

} // namespace

TEST_CASE("prompt, parts in order, gives those that requests share")
{
    using parts = std::vector<std::uint64_t>;
    CHECK(platform::decode_shared_parts("5c1e07a2:800,91bd3f06:410,e4:250") ==
          parts{0x5c1e07a2, 0x91bd3f06});
    CHECK(platform::decode_shared_parts("5c1e07a2:800").empty());
    CHECK(platform::decode_shared_parts("").empty());
    CHECK(platform::decode_shared_parts("0A:1, a:2,b:3") == parts{10});
    // Ids that can't be read still tell parts apart.
    auto odd = platform::decode_shared_parts("no-number:1,:,,x");
    CHECK(odd.size() == 2);
    CHECK(odd[0] != odd[1]);
    // No part is taken for the id of a request.
    for (auto part :
         platform::decode_shared_parts("ffffffffffffffff:1,no-number:1,,x"))
        CHECK_FALSE(core::quarantine::is_request(part));
}

// Guards against a size class that is taken from the wrong number.
TEST_CASE("prompt size, first of two counts, is decoded")
{
    CHECK(platform::decode_prompt_tokens("450,26") == 450);
    CHECK(platform::decode_prompt_tokens(" 7") == 7);
    for (const auto* text :
         {"", ",26", "x,26", "-4,26", "99999999999999999999"})
        CHECK(platform::decode_prompt_tokens(text) == 0);
}

TEST_CASE("platform settings, the sample, are read; unknown fields ignored")
{
    auto read = platform::read_node_settings(std::string(HATCH_CASES) +
                                                 "/platform/settings.toml",
                                             platform::internal_port::batch);
    CHECK(read.name == "frontend-a-1");
    CHECK(read.internal_address == "127.0.0.1:7721");
    CHECK(read.region_of_zone.at("c") == "r2");
    CHECK(read.drain == 2500ms);
    CHECK(read.grace == 8000ms);
    CHECK(read.job_status == 120000ms);
    CHECK(read.lost_disks == 1);
    CHECK(read.heartbeat == 1200ms);
    CHECK(read.seeds == std::vector<std::string>{"127.0.0.1:8166"});
    CHECK(read.data_folder.empty());
}

TEST_CASE("platform settings, a field missing or wrong, is named")
{
    struct row
    {
        std::string from;
        std::string to;
        std::string named;
    };
    auto change = GENERATE(
        row{"node_name = \"frontend-a-1\"", "", "node_name"},
        row{"drain_ms = 2500", "drain_ms = \"soon\"", "bounds.drain_ms"},
        row{"drain_ms = 2500", "drain_ms = -1", "bounds.drain_ms"},
        row{"internal_ports = [7720, 7735]", "", "internal_ports"},
        row{"machines = 1", "", "tolerate.machines"});
    auto text = read_case("settings.toml");
    auto at = text.find(change.from);
    REQUIRE(at != text.npos);
    text.replace(at, change.from.size(), change.to);
    auto path = write_settings(text);
    try
    {
        platform::read_node_settings(path, platform::internal_port::entry);
        FAIL("accepted without " << change.named);
    }
    catch (const errors::failure& error)
    {
        CHECK(std::string(error.what()).find(change.named) !=
              std::string::npos);
    }
    unlink(path.c_str());
}

TEST_CASE("platform settings, no file or no TOML, is an error")
{
    CHECK_THROWS_AS(platform::read_node_settings(
                        "/nowhere", platform::internal_port::entry),
                    errors::failure);
    auto path = write_settings("node_name = ");
    CHECK_THROWS_AS(
        platform::read_node_settings(path, platform::internal_port::entry),
        errors::failure);
    unlink(path.c_str());
}

TEST_CASE("configuration, the sample, is decoded and broken parts left out")
{
    auto table =
        platform::decode_configuration(read_case("configuration.json"));
    REQUIRE(table);
    CHECK(table->version() == 7);
    REQUIRE(table->routes().size() == 3);
    const auto* split = table->match("one.example", "/s/1");
    REQUIRE(split != nullptr);
    CHECK(split->kind == route_kind::stream);
    CHECK(split->resumable);
    CHECK(split->target_gap == 250ms);
    CHECK(split->services.size() == 2);
    const auto* jobs = table->match("one.example", "/j/1");
    REQUIRE(jobs != nullptr);
    CHECK(jobs->kind == route_kind::batch);
    CHECK(jobs->backlog_tokens == 1800000);
    CHECK(jobs->retention == 60000ms);
    CHECK(jobs->completion_target == 18000ms);
    // What an unknown kind may repeat isn't known.
    CHECK(table->match("two.example", "/x")->kind == route_kind::once);
    CHECK(table->find_service("old")->slots == 8);
    CHECK(table->limits().body_bytes == 1000);
}

TEST_CASE("configuration, rubbish, is none")
{
    for (const auto* text : {"", "{", "[]", "{\"version\":1}",
                             R"({"version":"x","routes":[],"services":[]})"})
    {
        INFO(text);
        CHECK_FALSE(platform::decode_configuration(text));
    }
}

TEST_CASE("configuration, deeply nested, is none")
{
    auto deep = nested(100000);
    for (const auto& text :
         {R"({"version":1,"routes":[],"services":[],"limits":{"x":)" + deep +
              "}}",
          R"({"version":1,"routes":[],"services":[],"x":)" + deep + "}"})
        CHECK_FALSE(platform::decode_configuration(text));
}

TEST_CASE("configuration, number out of range in a route, leaves that route "
          "out only")
{
    auto field = GENERATE("timeout_ms", "retention_s", "max_attempts",
                          "priority", "max_count", "target_gap_ms");
    auto number = GENERATE("-1", "1e300", "18446744073709551615", "\"1\"");
    INFO(field << " " << number);
    std::string route = R"("host":"one.example","kind":"idempotent",)"
                        R"("service":"p",)";
    std::string text =
        R"({"version":3,"services":[],"routes":[{"name":"a","prefix":"/a/",)" +
        route + '"' + field + "\":" + number +
        R"(},{"name":"b","prefix":"/b/",)" + route + R"("timeout_ms":50.5}]})";
    auto table = platform::decode_configuration(text);
    REQUIRE(table);
    CHECK(table->match("one.example", "/a/1") == nullptr);
    REQUIRE(table->match("one.example", "/b/1") != nullptr);
    CHECK(table->match("one.example", "/b/1")->timeout == 50ms);
}

TEST_CASE("worker entries, the table's, are used or ignored")
{
    std::istringstream rows(read_case("workers.csv"));
    int count = 0;
    for (std::string line; std::getline(rows, line);)
    {
        if (line.starts_with('#'))
            continue;
        auto bar = line.rfind(" | ");
        auto expected = line.substr(bar + 3);
        boost::asio::io_context loop;
        no_store none;
        store::mirror copy(loop, none, {"servers/", {}, 1s, {}, {}});
        copy.adopt({store::outcome::done,
                    2,
                    {{"servers/i-1", line.substr(0, bar), 1, false}}});
        platform::worker_entries decoder;
        auto found = decoder.decode(copy);
        INFO(line);
        if (expected == "ignored")
            CHECK(found.empty());
        else
        {
            REQUIRE(found.size() == 1);
            CHECK(found[0].id == "i-1");
            CHECK(found[0].draining == (expected == "draining"));
        }
        count++;
    }
    CHECK(count == 10);
}

TEST_CASE("worker entry, deeply nested or of many values, is ignored")
{
    CHECK(
        decode_worker("servers/i-1", worker_with("models", nested(8))).size() ==
        1);
    CHECK(decode_worker("servers/i-1", worker_with("models", nested(100)))
              .empty());
    CHECK(decode_worker("servers/i-1", worker_with("models", nested(40000)))
              .empty());
    std::string many = "[0";
    for (int at = 0; at < 40000; at++)
        many += ",0";
    CHECK(decode_worker("servers/i-1", worker_with("models", many + "]"))
              .empty());
    auto text = '"' + std::string(1u << 20, 'x') + '"';
    CHECK(decode_worker("servers/i-1", worker_with("models", text)).empty());
}

TEST_CASE("worker entry, number negative, fractional or too large, is ignored")
{
    auto number =
        GENERATE("-1", "0.5", "7.5", "1e300", "-1e300", "18446744073709551615",
                 "123456789012345678901234", "1e999", "true", "\"8\"", "null");
    auto field = GENERATE("slots", "born");
    INFO(field << " " << number);
    CHECK(decode_worker("servers/i-1", worker_with(field, number)).empty());
}

TEST_CASE("worker entry, more slots than an endpoint can have, is ignored")
{
    auto number = GENERATE("65537", "4294967297", "1000000000000");
    INFO(number);
    CHECK(decode_worker("servers/i-1", worker_with("slots", number)).empty());
}

TEST_CASE("worker entry, number whole in another notation, is used")
{
    auto found = decode_worker("servers/i-1", worker_with("slots", "8.0"));
    REQUIRE(found.size() == 1);
    CHECK(found[0].slots == 8);
    found = decode_worker("servers/i-1", worker_with("born", "1.7e12"));
    REQUIRE(found.size() == 1);
    CHECK(found[0].started_ms == 1700000000000);
}

TEST_CASE("worker entry, address that can't be called, is ignored")
{
    auto address = GENERATE("127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1:-1",
                            "127.0.0.1:", "127.0.0.1", "127.0.0.1:80x",
                            "127.0.0.1:99999999999999999999", "127.0.0.1: 80",
                            "host:80", ":80", "", "127.0.0.1:80\\r\\nX: y");
    INFO(address);
    auto text = '"' + std::string(address) + '"';
    CHECK(decode_worker("servers/i-1", worker_with("address", text)).empty());
}

TEST_CASE("worker entry, id that can't be a header's value, is ignored")
{
    auto id =
        GENERATE("i-1\r\nX-Other: 1", "i 1", "i\t1", "i-\x7f", "i-\xff", "");
    INFO(id);
    CHECK(decode_worker(std::string("servers/") + id, worker_with("born", "7"))
              .empty());
}

TEST_CASE("worker entries, odd one among them, is read and logged once, not at "
          "each change of the list")
{
    int lines = 0;
    logging::install(
        [&](logging::level, std::string_view name, std::string_view)
        { lines += name == "endpoint_entry_ignored" ? 1 : 0; });
    boost::asio::io_context loop;
    no_store none;
    store::mirror copy(loop, none, {"servers/", {}, 1s, {}, {}, {}});
    platform::worker_entries decoder;
    auto sound = worker_with("born", "7");
    auto odd = worker_with("models", nested(100));
    auto list = [&](std::uint64_t revision, std::uint64_t odd_revision)
    {
        copy.adopt({store::outcome::done,
                    revision,
                    {{"servers/i-1", sound, revision, false},
                     {"servers/i-2", sound, 1, false},
                     {"servers/odd", odd, odd_revision, false}},
                    {}});
        return decoder.decode(copy).size();
    };
    for (std::uint64_t revision = 2; revision < 12; revision++)
        CHECK(list(revision, 1) == 2);
    CHECK(lines == 1);
    CHECK(decoder.reads() == 12);
    // Its writer goes on writing it.
    CHECK(list(12, 12) == 2);
    CHECK(list(13, 13) == 2);
    CHECK(lines == 1);
    odd = "not JSON";
    CHECK(list(14, 14) == 2);
    CHECK(lines == 2);
    odd = sound;
    CHECK(list(15, 15) == 3);
    odd = "not JSON";
    CHECK(list(16, 16) == 2);
    CHECK(lines == 3);
    logging::install({});
}

TEST_CASE("job body, deeply nested or of many values, is refused")
{
    CHECK(decode_job_with("extra", "[[]]").items.size() == 1);
    CHECK_THROWS_AS(decode_job_with("extra", nested(100000)), errors::failure);
    std::string many = "[{}";
    for (int at = 0; at < 100000; at++)
        many += ",{}";
    CHECK_THROWS_AS(decode_job_with("extra", many + "]"), errors::failure);
}

TEST_CASE("job body, tokens negative, fractional or too large, is refused")
{
    CHECK(decode_job_with("tokens", "940").items[0].tokens == 940);
    auto number = GENERATE("-1", "0.5", "1e300", "18446744073709551615",
                           "1e999", "true", "null");
    INFO(number);
    CHECK_THROWS_AS(decode_job_with("tokens", number), errors::failure);
}

TEST_CASE("job body, text that would change the form of a request, is refused")
{
    auto text = GENERATE(
        R"("id":"i\r\nX-Other: 1")", R"("id":"")", R"("id":"i 1")",
        R"("path":"/x HTTP/1.1\r\nX-Other: 1\r\n\r\nGET /y")", R"("path":"")",
        R"("path":"/x y")", R"("headers":{"Model":"m\r\nX-Other: 1"})",
        R"("headers":{"Model":"m\u0000"})",
        R"("headers":{"Model: m\r\nX-Other":"1"})", R"("headers":{"":"1"})",
        R"("headers":{"A B":"1"})", R"("headers":["m"])");
    INFO(text);
    std::string field(text);
    auto colon = field.find(':');
    CHECK_THROWS_AS(
        decode_job_with(field.substr(1, colon - 2), field.substr(colon + 1)),
        errors::failure);
}

TEST_CASE("job body, headers with blanks and letters beyond ASCII, is read")
{
    auto job = decode_job_with("headers", R"({"X-Name":"a b\tc \u00e9"})");
    REQUIRE(job.items[0].headers.size() == 1);
    CHECK(job.items[0].headers[0].second == "a b\tc \xc3\xa9");
}

TEST_CASE("base64, all lengths, round trips; rubbish is refused")
{
    for (std::size_t size = 0; size < 70; size++)
    {
        std::string bytes;
        for (std::size_t at = 0; at < size; at++)
            bytes += static_cast<char>(at * 37 + size);
        CHECK(platform::decode_base64(platform::encode_base64(bytes)) == bytes);
    }
    CHECK(platform::encode_base64("node-1") == "bm9kZS0x");
    for (const auto* text : {"a", "ab", "a*==", "####"})
    {
        INFO(text);
        CHECK_THROWS_AS(platform::decode_base64(text), errors::failure);
    }
}
