#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

#include "fleet.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

// The target: a change is in force everywhere within this time.
constexpr auto in_force_limit = 11s;

struct configured_fleet
{
    configured_fleet() : fleet(plan()) { this->fleet.start(); }

    static fleet::fleet_plan plan()
    {
        fleet::fleet_plan made;
        made.entries = 4;
        made.engines = 1;
        return made;
    }

    std::string declare(const std::string& file, const std::string& extra)
    {
        return this->fleet.write_file(
            file, fleet::default_declarations("despacho-llm") + extra);
    }

    static std::string model(const std::string& name)
    {
        return "[model." + name + "]\nclasses = [\"interactive\"]\n";
    }

    bool knows(std::size_t entry, const std::string& name) const
    {
        auto reply = fleet::post(
            this->fleet.entries[entry].address, "/v1/completions",
            json({{"model", name}, {"prompt", "p"}, {"max_tokens", 999'999}})
                .dump());
        return reply.body.find("unknown_model") == std::string::npos;
    }

    fleet::fleet fleet;
};

} // namespace

TEST_CASE_METHOD(configured_fleet,
                 "configuration, applied, is in force everywhere in time")
{
    auto file = this->declare("next.toml", model("second"));
    auto applied = this->fleet.ctl({"apply", file, "--wait", "11000"});
    INFO(applied.output);
    CHECK(applied.status == 0);
    CHECK(applied.output.find("in force everywhere") != std::string::npos);
    for (std::size_t entry = 0; entry < this->fleet.entries.size(); ++entry)
        CHECK(this->knows(entry, "second"));
}

TEST_CASE_METHOD(
    configured_fleet,
    "configuration, two operators at once, one is told of the other")
{
    auto one = this->declare("one.toml", model("one"));
    auto two = this->declare("two.toml", model("two"));
    int done = 0;
    int conflicts = 0;
    std::vector<std::string> outputs(2);
    std::vector<std::thread> operators;
    std::mutex guard;
    for (int index = 0; index < 2; ++index)
        operators.emplace_back(
            [&, index]
            {
                auto result =
                    this->fleet.ctl({"apply", index == 0 ? one : two,
                                     "--operator", index == 0 ? "ana" : "bea"});
                std::lock_guard lock(guard);
                done += result.status == 0 ? 1 : 0;
                conflicts += result.status == 3 ? 1 : 0;
                outputs[static_cast<std::size_t>(index)] = result.output;
            });
    for (auto& thread : operators)
        thread.join();
    INFO(outputs[0] << outputs[1]);
    // They may also have come one after the other; both are then in order.
    CHECK(done + conflicts == 2);
    REQUIRE(done >= 1);
    if (conflicts == 1)
    {
        std::string conflict = outputs[0].find("conflict") != std::string::npos
                                   ? outputs[0]
                                   : outputs[1];
        CHECK(conflict.find("revision 2 by") != std::string::npos);
        CHECK(conflict.find("[model.") != std::string::npos);
    }
}

TEST_CASE_METHOD(configured_fleet,
                 "configuration, answer of the write lost, is resolved")
{
    auto file = this->declare("next.toml", model("second"));
    fleet::admin(this->fleet.store, {{"lose_answers", 1}});
    auto applied = this->fleet.ctl({"apply", file, "--wait", "11000"});
    INFO(applied.output);
    CHECK(applied.status == 0);
    auto stored =
        fleet::get(this->fleet.store.address, "/v1/kv/shared/configuration");
    CHECK(json::parse(stored.body).at("version") == 2);
}

TEST_CASE_METHOD(configured_fleet,
                 "configuration, node paused over a change, catches up")
{
    auto& paused = this->fleet.coordinators[1];
    auto& paused_entry = this->fleet.entries[1];
    paused.process->signal(SIGSTOP);
    paused_entry.process->signal(SIGSTOP);
    this->fleet.ctl({"apply", this->declare("next.toml", model("second"))});
    std::this_thread::sleep_for(4s);
    paused.process->signal(SIGCONT);
    paused_entry.process->signal(SIGCONT);
    CHECK(fleet::eventually([&] { return this->knows(1, "second"); },
                            in_force_limit));
    std::this_thread::sleep_for(2s);
    for (std::size_t entry = 0; entry < this->fleet.entries.size(); ++entry)
        CHECK(this->knows(entry, "second"));
}

TEST_CASE_METHOD(
    configured_fleet,
    "configuration, node restarted in an outage, has it from a peer")
{
    this->fleet.ctl({"apply", this->declare("next.toml", model("second")),
                     "--wait", "11000"});
    fleet::admin(this->fleet.store, {{"outage", true}});
    this->fleet.coordinators[2].restart();
    this->fleet.entries[2].restart();
    CHECK(fleet::eventually(
        [&]
        {
            auto status = this->fleet.ctl({"status"}).output;
            return status.find("coordinator coordinator2: revision 2") !=
                   std::string::npos;
        },
        in_force_limit));
    CHECK(fleet::eventually([&] { return this->knows(2, "second"); },
                            in_force_limit));
}

TEST_CASE_METHOD(configured_fleet,
                 "configuration, bad file, is refused and changes nothing")
{
    auto file = this->declare("bad.toml", "[model.x]\nclasses = [\"none\"]\n");
    auto applied = this->fleet.ctl({"apply", file});
    CHECK(applied.status == 2);
    CHECK(applied.output.find("bad.toml:") != std::string::npos);
    auto stored =
        fleet::get(this->fleet.store.address, "/v1/kv/shared/configuration");
    CHECK(json::parse(stored.body).at("version") == 1);
}
