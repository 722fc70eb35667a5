#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "host/settings_change.hpp"
#include "platform_fleet.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;

namespace
{

struct running_fleet
{
    running_fleet() : fleet(1, 2, 1) { this->fleet.start(); }

    std::string file_of(const fleet::node& node) const
    {
        return this->fleet.folder + "/" + node.name + ".toml";
    }

    /// @brief Replaces a text in a node's settings file, whole at once.
    void change(const fleet::node& node, const std::string& from,
                const std::string& to) const
    {
        auto path = this->file_of(node);
        std::ifstream in(path);
        std::ostringstream text;
        text << in.rdbuf();
        auto changed = text.str();
        auto at = changed.find(from);
        REQUIRE(at != changed.npos);
        changed.replace(at, from.size(), to);
        std::ofstream(path + ".new") << changed;
        std::filesystem::rename(path + ".new", path);
    }

    bool logged(const fleet::node& node, const std::string& text,
                std::chrono::milliseconds limit) const
    {
        return fleet::eventually(
            [&] {
                return this->fleet.log_of(node).find(text) != std::string::npos;
            },
            limit);
    }

    int submit(const std::string& job) const
    {
        return this->fleet
            .call(0, "POST", "/jobs/x", job,
                  tests::platform_fleet::job_body(job, {"a"}))
            .status;
    }

    bool submits(const std::string& job, int status) const
    {
        return fleet::eventually([&] { return this->submit(job) == status; },
                                 10s);
    }

    tests::platform_fleet fleet;
};

} // namespace

TEST_CASE("settings change, bounds and names, tells what waits for a restart")
{
    host::host_settings in_force;
    in_force.name = "one";
    in_force.grace = 8s;
    auto read = in_force;
    CHECK(host::compare_settings(in_force, read).empty());
    read.grace = 5s;
    read.seeds = {"127.0.0.1:1"};
    read.name = "two";
    auto change = host::compare_settings(in_force, read);
    CHECK(change.applied == std::vector<std::string>{"grace", "seeds"});
    CHECK(change.after_restart == std::vector<std::string>{"name"});
    CHECK(change.next.grace == 5s);
    CHECK(change.next.name == "one");
}

TEST_CASE_METHOD(running_fleet,
                 "settings, changed with SIGHUP, are in force at once")
{
    REQUIRE(this->submits("job1", 202));
    for (const auto& host : this->fleet.batch_hosts)
    {
        this->change(host, "disk_mb = 100", "disk_mb = 0.0001");
        host.process->signal(SIGHUP);
        CHECK(this->logged(host, "applied=disk_bytes", 3s));
    }
    CHECK(this->submits("job2", 503));
    for (const auto& host : this->fleet.batch_hosts)
    {
        this->change(host, "disk_mb = 0.0001", "disk_mb = 100");
        host.process->signal(SIGHUP);
    }
    CHECK(this->submits("job2", 202));
}

TEST_CASE_METHOD(running_fleet,
                 "settings, file changed without a signal, are read again")
{
    const auto& entry = this->fleet.entries[0];
    this->change(entry, "grace_s = 8", "grace_s = 6");
    CHECK(this->logged(entry, "applied=grace", 10s));
}

TEST_CASE_METHOD(running_fleet,
                 "settings, wrong after SIGHUP, change nothing and are named")
{
    const auto& entry = this->fleet.entries[0];
    this->change(entry, "drain_ms = 1500", "drain_ms = \"soon\"");
    entry.process->signal(SIGHUP);
    CHECK(this->logged(entry, "event=settings_refused", 3s));
    CHECK(this->fleet.log_of(entry).find("bounds.drain_ms") !=
          std::string::npos);
    CHECK(this->fleet.call(0, "POST", "/again/x", "r1", "").status == 200);
}
