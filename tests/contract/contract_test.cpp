#include <catch2/catch.hpp>

#include <thread>

#include "adapters/http_host_list.hpp"
#include "adapters/http_key_value_store.hpp"
#include "adapters/http_model_engine.hpp"
#include "fleet.hpp"
#include "load/expected_tokens.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using adapters::store_result;
using adapters::stream_end;
using nlohmann::json;

namespace
{

fleet::fleet_plan small_plan()
{
    fleet::fleet_plan plan;
    plan.entries = 1;
    plan.engines = 1;
    plan.services = 1;
    return plan;
}

/// @brief One stand-in of each kind; the project's programs don't run.
struct standins
{
    standins() : fleet(small_plan())
    {
        this->fleet.store.start();
        this->fleet.hosts.start();
        this->fleet.engines[0].start();
        REQUIRE(fleet::eventually(
            [this]
            {
                return fleet::get(this->fleet.store.address, "/admin").status ==
                           200 &&
                       fleet::get(this->fleet.hosts.address, "/v1/hosts")
                               .status == 200 &&
                       fleet::get(this->fleet.engines[0].address, "/admin")
                               .status == 200;
            }));
    }

    fleet::fleet fleet;
};

struct store_contract : standins
{
    store_contract() : store(this->fleet.store.address) {}

    adapters::http_key_value_store store;
};

struct engine_contract : standins
{
    adapters::generation ask(const std::string& request,
                             std::uint32_t tokens) const
    {
        adapters::generation asked;
        asked.request = request;
        asked.model = "despacho-llm";
        asked.prompt = "prompt";
        asked.max_tokens = tokens;
        return asked;
    }

    stream_end read(const adapters::generation& asked, std::string& text,
                    std::chrono::milliseconds limit = 10s)
    {
        auto stream = this->engine.generate(this->address(), asked, limit);
        auto state = stream_end::open;
        auto end = std::chrono::steady_clock::now() + limit;
        while (state == stream_end::open &&
               std::chrono::steady_clock::now() < end)
        {
            std::vector<adapters::token> tokens;
            state = stream->pump(20ms, tokens);
            for (const auto& one : tokens)
                text += one.text;
        }
        return state;
    }

    const std::string& address() const
    {
        return this->fleet.engines[0].address;
    }

    adapters::http_model_engine engine;
};

} // namespace

TEST_CASE_METHOD(store_contract, "store, write with the version, swaps once")
{
    auto first = this->store.write("k", "one", 0);
    CHECK(first.result == store_result::done);
    CHECK(first.entry.version == 1);
    auto late = this->store.write("k", "two", 0);
    CHECK(late.result == store_result::conflict);
    CHECK(late.entry.value == "one");
    CHECK(this->store.write("k", "three", 1).entry.version == 2);
    CHECK(this->store.read("k").entry.value == "three");
    CHECK(this->store.read("none").entry.version == 0);
}

TEST_CASE_METHOD(store_contract,
                 "store, answer lost, says unknown and resolves")
{
    fleet::admin(this->fleet.store, {{"lose_answers", 1}});
    CHECK(this->store.write("k", "one", 0).result == store_result::unknown);
    CHECK(this->store.read("k").entry.value == "one");
    fleet::admin(this->fleet.store, {{"lose_answers", 1}});
    auto resolved = adapters::write_resolved(this->store, "k", "two", 1);
    CHECK(resolved.result == store_result::done);
    CHECK(resolved.entry.version == 2);
    auto conflict = adapters::write_resolved(this->store, "k", "three", 1);
    CHECK(conflict.result == store_result::conflict);
}

TEST_CASE_METHOD(store_contract, "store, outage, says unreachable")
{
    fleet::admin(this->fleet.store, {{"outage", true}});
    CHECK(this->store.write("k", "one", 0).result == store_result::unreachable);
    CHECK(this->store.read("k").result == store_result::unreachable);
    CHECK(this->store.watch("", 0, 0ms).result == store_result::unreachable);
    this->fleet.store.process->kill();
    CHECK(this->store.write("k", "one", 0).result == store_result::unreachable);
}

TEST_CASE_METHOD(store_contract, "store, watch, tells what is newer below")
{
    this->store.write("a/1", "x", 0);
    auto first = this->store.watch("a/", 0, 0ms);
    REQUIRE(first.entries.size() == 1);
    std::thread writer(
        [this]
        {
            std::this_thread::sleep_for(100ms);
            this->store.write("b/1", "other", 0);
            this->store.write("a/2", "y", 0);
        });
    auto next = this->store.watch("a/", first.revision, 5s);
    writer.join();
    REQUIRE(next.entries.size() == 1);
    CHECK(next.entries[0].key == "a/2");
}

TEST_CASE_METHOD(standins, "host list, change lags, is seen after its time")
{
    adapters::http_host_list list(this->fleet.hosts.address);
    this->fleet.publish_hosts();
    auto listed = list.read();
    REQUIRE(listed);
    CHECK_FALSE((*listed)[0].leaving);
    CHECK((*listed)[0].address == this->fleet.engines[0].address);
    this->fleet.publish_hosts({"engine0"}, {}, 500);
    CHECK_FALSE((*list.read())[0].leaving);
    CHECK(fleet::eventually([&] { return (*list.read())[0].leaving; }));
    this->fleet.hosts.process->kill();
    CHECK_FALSE(list.read());
}

TEST_CASE_METHOD(engine_contract, "engine, generation, comes whole and resumes")
{
    std::string text;
    CHECK(this->read(this->ask("r1", 12), text) == stream_end::whole);
    CHECK(text == load::expected_text("prompt", 12));
    auto rest = this->ask("r2", 12);
    rest.resume_from = 5;
    std::string tail;
    CHECK(this->read(rest, tail) == stream_end::whole);
    CHECK(load::expected_text("prompt", 5) + tail == text);
}

TEST_CASE_METHOD(engine_contract,
                 "engine, faults of the stream, are told apart")
{
    struct row
    {
        json switches;
        stream_end expected;
    };
    const row rows[] = {{{{"cut", 1}}, stream_end::cut},
                        {{{"cross", 1}}, stream_end::crossed},
                        {{{"fail", 1}}, stream_end::failed}};
    int number = 0;
    for (const auto& one : rows)
    {
        INFO(one.switches.dump());
        fleet::admin(this->fleet.engines[0], one.switches);
        std::string text;
        CHECK(this->read(this->ask("f" + std::to_string(number++), 10), text) ==
              one.expected);
    }
    auto never = this->ask("never", 4);
    never.prompt = "[impossible]";
    std::string text;
    CHECK(this->read(never, text) == stream_end::refused);
    this->fleet.engines[0].process->kill();
    CHECK(this->read(this->ask("dead", 4), text) == stream_end::not_sent);
}

TEST_CASE_METHOD(engine_contract, "engine, connection silent, new ones work")
{
    auto old =
        this->engine.generate(this->address(), this->ask("old", 200), 30s);
    std::vector<adapters::token> tokens;
    while (tokens.empty())
        old->pump(50ms, tokens);
    fleet::admin(this->fleet.engines[0], {{"silent", true}});
    std::this_thread::sleep_for(200ms);
    old->pump(0ms, tokens);
    auto before = tokens.size();
    for (int turn = 0; turn < 10; ++turn)
        old->pump(50ms, tokens);
    CHECK(tokens.size() == before);
    std::string text;
    CHECK(this->read(this->ask("new", 5), text) == stream_end::whole);
}

TEST_CASE_METHOD(engine_contract, "engine, cancelled, frees its place")
{
    auto stream =
        this->engine.generate(this->address(), this->ask("long", 4000), 60s);
    std::vector<adapters::token> tokens;
    while (tokens.empty())
        stream->pump(50ms, tokens);
    CHECK(fleet::counters(this->fleet.engines[0]).at("running") == 1);
    this->engine.cancel(this->address(), "long");
    CHECK(fleet::eventually(
        [&] {
            return fleet::counters(this->fleet.engines[0]).at("running") == 0;
        }));
}

TEST_CASE_METHOD(engine_contract, "engine, load report, lags behind")
{
    fleet::admin(this->fleet.engines[0], {{"report_lag_ms", 1500}});
    auto running = [this]
    {
        return json::parse(fleet::get(this->address(), "/v1/load").body)
            .at("running")
            .get<int>();
    };
    running();
    auto stream =
        this->engine.generate(this->address(), this->ask("long", 4000), 60s);
    std::vector<adapters::token> tokens;
    while (tokens.empty())
        stream->pump(50ms, tokens);
    CHECK(running() == 0);
    CHECK(fleet::eventually([&] { return running() == 1; }));
}
