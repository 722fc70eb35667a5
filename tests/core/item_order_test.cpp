#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <functional>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "core/batches/item_order.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using core::batches::item_chance;
using core::batches::item_demand;

namespace
{

struct second_of_load
{
    int items = 0;
    int slots = 0;
};

std::vector<second_of_load> read_load(const std::string& file)
{
    std::ifstream from(std::string(HATCH_CASES) + "/loads/" + file);
    std::vector<second_of_load> out;
    for (std::string line; std::getline(from, line);)
    {
        if (line.empty() || line[0] == '#')
            continue;
        std::replace(line.begin(), line.end(), ',', ' ');
        std::istringstream fields(line);
        int second = 0;
        second_of_load row;
        fields >> second >> row.items >> row.slots;
        out.push_back(row);
    }
    REQUIRE(out.size() > 10);
    return out;
}

using order = std::function<bool(const item_demand&, const item_demand&)>;

struct replayed
{
    int in_time = 0;
    int late = 0;
    int total = 0;
};

/// @brief Runs a recorded load in steps of a tenth of a second.
///
/// Items hold a slot for five seconds on average; a run that is interrupted
/// loses a fifth of a second. Running items keep their slots unless there are
/// too few.
class replay
{
public:
    replay(std::vector<second_of_load> load, order before)
        : load(std::move(load)), before(std::move(before)), random(7)
    {
    }

    replayed run()
    {
        constexpr int steps_per_second = 10;
        constexpr int drain_seconds = 18;
        auto last = static_cast<int>(this->load.size());
        for (int second = 0; second < last + drain_seconds; second++)
        {
            auto row = second < last
                           ? this->load[second]
                           : second_of_load{0, this->load.back().slots};
            for (int step = 0; step < steps_per_second; step++)
            {
                auto arriving = row.items * (step + 1) / steps_per_second -
                                row.items * step / steps_per_second;
                this->arrive(arriving);
                this->step(row.slots);
                this->now += 100ms;
            }
        }
        return this->result;
    }

private:
    struct item
    {
        core::milliseconds due{};
        core::milliseconds work{};
        core::milliseconds held{};
        bool running = false;
    };

    void arrive(int count)
    {
        std::normal_distribution<double> work(5000, 1200);
        for (int number = 0; number < count; number++)
        {
            auto needed = std::clamp(work(this->random), 1500.0, 9000.0);
            this->items.push_back({this->now + 18000ms,
                                   core::milliseconds(static_cast<int>(needed)),
                                   {},
                                   false});
            this->result.total++;
        }
    }

    item_demand demand_of(const item& open) const
    {
        return {open.due - this->now,
                std::max(5000ms - open.held, core::milliseconds(625))};
    }

    void step(int slots)
    {
        std::stable_sort(this->items.begin(), this->items.end(),
                         [this](const item& left, const item& right) {
                             return this->before(this->demand_of(left),
                                                 this->demand_of(right));
                         });
        auto running = static_cast<int>(
            std::count_if(this->items.begin(), this->items.end(),
                          [](const item& each) { return each.running; }));
        for (auto each = this->items.rbegin();
             each != this->items.rend() && running > slots; each++)
            if (each->running)
            {
                each->running = false;
                each->work += 200ms;
                running--;
            }
        for (auto& each : this->items)
            if (!each.running && running < slots)
            {
                each.running = true;
                running++;
            }
        for (auto& each : this->items)
            each.held += each.running ? 100ms : 0ms;
        std::erase_if(this->items,
                      [this](const item& each)
                      {
                          bool done = each.held >= each.work;
                          bool in_time = this->now + 100ms <= each.due;
                          this->result.in_time += done && in_time ? 1 : 0;
                          this->result.late += done && !in_time ? 1 : 0;
                          return done;
                      });
    }

    std::vector<second_of_load> load;
    order before;
    std::mt19937 random;
    std::vector<item> items;
    core::milliseconds now{};
    replayed result;
};

bool by_due_time(const item_demand& left, const item_demand& right)
{
    bool left_late = left.until_due < 0ms;
    bool right_late = right.until_due < 0ms;
    if (left_late != right_late)
        return right_late;
    return left.until_due < right.until_due;
}

bool newest_first(const item_demand& left, const item_demand& right)
{
    return left.until_due > right.until_due;
}

} // namespace

TEST_CASE("item order, more items than slots, most of those run end in time")
{
    auto load = read_load("items_over_capacity.csv");
    auto chosen = replay(load, core::batches::runs_before).run();
    auto due_first = replay(load, by_due_time).run();
    auto newest = replay(load, newest_first).run();
    WARN("in time of " << chosen.total << ": by chance " << chosen.in_time
                       << " (late " << chosen.late << "), by due time "
                       << due_first.in_time << " (late " << due_first.late
                       << "), newest first " << newest.in_time << " (late "
                       << newest.late << ")");
    // By due time the slots are spent on items that end late.
    CHECK(chosen.in_time > 2 * due_first.in_time);
    CHECK(chosen.in_time >= newest.in_time * 95 / 100);
    CHECK(chosen.in_time > 4 * chosen.late);
}

TEST_CASE("item order, a burst that the slots catch up with, loses no more "
          "items than by due time")
{
    auto load = read_load("items_burst.csv");
    auto chosen = replay(load, core::batches::runs_before).run();
    auto due_first = replay(load, by_due_time).run();
    auto newest = replay(load, newest_first).run();
    WARN("in time of " << chosen.total << ": by chance " << chosen.in_time
                       << ", by due time " << due_first.in_time
                       << ", newest first " << newest.in_time);
    CHECK(chosen.in_time >= due_first.in_time);
    CHECK(chosen.in_time >= newest.in_time);
}

TEST_CASE("item order, chances, come from the time that is left")
{
    CHECK(core::batches::chance_of({7500ms, 5s}) == item_chance::safe);
    CHECK(core::batches::chance_of({7s, 5s}) == item_chance::tight);
    CHECK(core::batches::chance_of({4s, 5s}) == item_chance::late);
    CHECK(core::batches::chance_of({-1s, 0s}) == item_chance::late);
    // An item that was interrupted shortly before its end goes on before one
    // that can hardly end in time any more.
    CHECK(core::batches::runs_before({3s, 1s}, {6s, 5s}));
    CHECK(core::batches::runs_before({6s, 5s}, {4s, 5s}));
    CHECK_FALSE(core::batches::runs_before({4s, 5s}, {6s, 5s}));
}
