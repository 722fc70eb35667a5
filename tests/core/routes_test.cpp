#include <catch2/catch.hpp>

#include <fstream>
#include <map>

#include "core/routes/route_table.hpp"

using namespace amaranthhatch;
using core::routes::route;
using core::routes::route_table;

namespace
{

struct three_routes
{
    three_routes()
        : table(3,
                {make("a", "one.example", "/a/"),
                 make("a-b", "one.example", "/a/b/"),
                 make("other", "two.example", "/a/")},
                {{"pool", 8, 180}}, {})
    {
    }

    static route make(std::string name, std::string authority,
                      std::string prefix)
    {
        route made;
        made.name = std::move(name);
        made.authority = std::move(authority);
        made.prefix = std::move(prefix);
        made.services = {{"pool", 1}};
        return made;
    }

    route_table table;
};

std::vector<std::string> fields(const std::string& line)
{
    std::vector<std::string> out;
    std::size_t index = 0;
    while (index <= line.size())
    {
        auto end = std::min(line.find('|', index), line.size());
        auto first = line.find_first_not_of(' ', index);
        auto last = line.find_last_not_of(' ', end - 1);
        out.push_back(first < end ? line.substr(first, last - first + 1) : "");
        index = end + 1;
    }
    return out;
}

} // namespace

TEST_CASE_METHOD(three_routes, "routes, paths of the table, match the longest")
{
    std::ifstream rows(std::string(HATCH_CASES) + "/routes/match.csv");
    int count = 0;
    for (std::string line; std::getline(rows, line);)
    {
        if (line.empty() || line[0] == '#')
            continue;
        auto row = fields(line);
        INFO(line);
        const auto* found = this->table.match(row[0], row[1]);
        CHECK((found == nullptr ? "none" : found->name) == row[2]);
        count++;
    }
    CHECK(count >= 9);
}

TEST_CASE("service selection, uniform numbers, follows the weights")
{
    route split;
    split.services = {{"old", 90}, {"new", 10}, {"off", 0}};
    std::map<std::string, int> counts;
    for (int index = 0; index < 1000; index++)
        counts[std::string(
            core::routes::select_service(split, index / 1000.0))]++;
    CHECK(counts["old"] == 900);
    CHECK(counts["new"] == 100);
    CHECK(counts["off"] == 0);
    CHECK(core::routes::select_service({}, 0.5).empty());
}
