#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <fstream>
#include <numeric>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "core/batches/start_share.hpp"

using namespace amaranthhatch;

namespace
{

constexpr int slots = 130 * 7;
constexpr std::size_t owner_count = 24;
// A view is made every 50 ms and is three of these steps old when it is used.
constexpr std::size_t view_age_steps = 3;
constexpr int steps_per_tenth = 2;

std::vector<int> read_online(const std::string& file)
{
    std::ifstream from(std::string(HATCH_CASES) + "/loads/" + file);
    std::vector<int> out;
    for (std::string line; std::getline(from, line);)
    {
        if (line.empty() || line[0] == '#')
            continue;
        std::replace(line.begin(), line.end(), ',', ' ');
        std::istringstream fields(line);
        int tenth = 0;
        int online = 0;
        fields >> tenth >> online;
        out.push_back(online);
    }
    return out;
}

struct crest_end
{
    /// Most runs beyond the slots at one time, which have to be cut.
    int excess = 0;
    /// Runs that were cut.
    int cut = 0;
    /// Slot-steps that were free although items waited.
    int idle = 0;
};

/// @brief Replays the end of a crest with owners that all see the same old
/// view, sharing its free slots or not.
crest_end replay(bool shared)
{
    auto online = read_online("crest_ends.csv");
    REQUIRE(online.size() == 20);
    std::mt19937 random(5);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<core::batches::start_share> shares(owner_count);
    std::vector<int> running(owner_count, 0);
    std::deque<std::pair<int, std::vector<int>>> history;
    crest_end out;
    auto steps = online.size() * steps_per_tenth;
    for (std::size_t step = 0; step < steps; step++)
    {
        int present = online[step / steps_per_tenth];
        history.push_back({present, running});
        if (history.size() > view_age_steps + 1)
            history.pop_front();
        const auto& [seen_online, seen_running] = history.front();
        int seen_total = seen_online + std::accumulate(seen_running.begin(),
                                                       seen_running.end(), 0);
        for (std::size_t owner = 0; owner < owner_count; owner++)
        {
            // An owner knows its own runs as they are now.
            int free =
                slots - (seen_total - seen_running[owner] + running[owner]);
            shares[owner].begin_view(step + 1, std::max(0, free), owner_count,
                                     uniform(random));
            while (free > 0 && (!shared || shares[owner].may_start()))
            {
                shares[owner].on_start();
                running[owner]++;
                free--;
            }
        }
        int total = std::accumulate(running.begin(), running.end(), 0);
        int excess = present + total - slots;
        out.excess = std::max(out.excess, excess);
        out.idle += std::max(0, -excess);
        for (std::size_t owner = 0; excess > 0; owner++)
            if (running[owner % owner_count] > 0)
            {
                running[owner % owner_count]--;
                out.cut++;
                excess--;
            }
    }
    return out;
}

} // namespace

TEST_CASE("start share, crest ends, fills the free slots without cutting runs")
{
    auto shared = replay(true);
    auto unshared = replay(false);
    WARN("shared: excess " << shared.excess << ", cut " << shared.cut
                           << ", idle slot-steps " << shared.idle
                           << "; not shared: excess " << unshared.excess
                           << ", cut " << unshared.cut << ", idle "
                           << unshared.idle);
    CHECK(shared.cut * 10 < unshared.cut);
    // A tenth of the fleet at most runs over for a moment.
    CHECK(shared.excess < slots / 10);
}

TEST_CASE("start share, one view, allows its share once")
{
    core::batches::start_share share;
    CHECK_FALSE(share.may_start());
    share.begin_view(1, 48, 24, 0.5);
    int started = 0;
    for (; share.may_start(); started++)
        share.on_start();
    CHECK(started == 1);
    share.begin_view(1, 48, 24, 0.5);
    CHECK_FALSE(share.may_start());
    share.on_complete();
    CHECK(share.may_start());
    share.begin_view(2, 0, 24, 0.2);
    CHECK_FALSE(share.may_start());
}
