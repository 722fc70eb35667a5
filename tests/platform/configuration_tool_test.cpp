#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <nlohmann/json.hpp>

#include "configuration_tool.hpp"

using namespace amaranthhatch;
using nlohmann::json;

namespace
{

struct checked_files
{
    checked_files()
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "check-XXXXXX").string();
        this->folder = mkdtemp(pattern.data());
        this->sound = {
            {"version", 1},
            {"routes",
             {{{"name", "r"},
               {"host", "one.example"},
               {"prefix", "/s/"},
               {"kind", "idempotent"},
               {"timeout_ms", 5000},
               {"service", "pool"}}}},
            {"services", {{{"name", "pool"}}}},
            {"tenants",
             {{{"name", "w"}, {"api_keys", json::array({"secret-1"})}}}}};
    }

    ~checked_files() { std::filesystem::remove_all(this->folder); }

    std::string write(const std::string& name, const std::string& text) const
    {
        auto path = this->folder + "/" + name;
        std::ofstream(path) << text;
        return path;
    }

    int run(std::vector<std::string> arguments)
    {
        std::vector<const char*> pointers{"hatch-platform-ctl"};
        for (const auto& each : arguments)
            pointers.push_back(each.c_str());
        this->out.str("");
        return platform::run_configuration_tool(
            static_cast<int>(pointers.size()), pointers.data(), this->out,
            this->errors);
    }

    std::string folder;
    json sound;
    std::ostringstream out;
    std::ostringstream errors;
};

} // namespace

// Guards against scripts that send a configuration because its check, which
// failed, said 0.
TEST_CASE_METHOD(checked_files, "configuration tool, exit status, tells apart")
{
    CHECK(this->run({"check", this->write("a", this->sound.dump())}) == 0);
    CHECK(this->run({"check", std::string(HATCH_CASES) +
                                  "/platform/configuration.json"}) == 1);
    CHECK(this->run({"check", this->folder + "/none"}) == 2);
    CHECK(this->run({"check", this->write("b", "{\"version\":")}) == 2);
    CHECK(this->run({"check"}) == 2);
    CHECK(this->run({"send", this->folder + "/a"}) == 2);
    CHECK(this->run({"check", this->folder + "/a", "--format", "xml"}) == 2);
    CHECK(this->run({"check", this->folder + "/a", "--other"}) == 2);
}

// Guards against errors of single parts that are only logged by the hosts.
TEST_CASE_METHOD(checked_files, "configuration tool, wrong field, is named")
{
    this->sound["routes"].push_back({{"name", "odd"}, {"host", 7}});
    this->sound["routes"][0]["kind"] = "unheard-of";
    CHECK(this->run({"check", this->write("a", this->sound.dump()), "--format",
                     "json"}) == 1);
    auto findings = json::parse(this->out.str()).at("findings");
    REQUIRE(findings.size() == 2);
    CHECK(findings[0].at("rule") == "unknown_kind");
    CHECK(findings[1].at("rule") == "part_ignored");
    CHECK(findings[1].at("name") == "[1]");
    CHECK(findings[1].at("detail").get<std::string>().find("host") !=
          std::string::npos);
}

// Guards against a version that hosts ignore, and against keys in the output.
TEST_CASE_METHOD(checked_files,
                 "configuration tool, other version, shows differences")
{
    auto in_force = this->write("old", this->sound.dump());
    this->sound["tenants"][0]["api_keys"] = {"secret-2"};
    auto same_version = this->write("new", this->sound.dump());
    CHECK(this->run({"check", same_version, "--against", in_force}) == 1);
    CHECK(this->out.str().find("version_not_higher") != std::string::npos);
    this->sound["version"] = 2;
    auto next = this->write("next", this->sound.dump());
    for (const std::string format : {"text", "json"})
    {
        CHECK(this->run({"check", next, "--against", in_force, "--format",
                         format}) == 0);
        CHECK(this->out.str().find("keys") != std::string::npos);
        CHECK(this->out.str().find("secret") == std::string::npos);
    }
}
