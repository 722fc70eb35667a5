#include "load/load_plan.hpp"

#include <algorithm>
#include <random>

namespace amaranthhatch::load
{

namespace
{

using core::milliseconds;

constexpr double thousandth = 0.001;

bool in_burst(const load_plan& plan, double at_ms)
{
    if (plan.burst_every.count() == 0)
        return false;
    auto phase = static_cast<std::int64_t>(at_ms) % plan.burst_every.count();
    return phase < plan.burst_length.count();
}

std::string prompt_of(const load_stream& stream, std::uint64_t number)
{
    std::string prompt = stream.name + " request " + std::to_string(number);
    if (prompt.size() < stream.prompt_bytes)
        prompt.append(stream.prompt_bytes - prompt.size(), '.');
    return prompt;
}

} // namespace

load_plan read_plan(settings::document& from)
{
    using std::chrono::hours;
    load_plan plan;
    plan.model = from.text("load.model");
    plan.duration =
        from.duration("load.duration", {milliseconds(100), hours(24)});
    plan.warm_up = from.duration_or("load.warm_up", milliseconds(0),
                                    {milliseconds(0), hours(1)});
    plan.burst_every = from.duration_or("load.burst_every", milliseconds(0),
                                        {milliseconds(0), hours(1)});
    plan.burst_length = from.duration_or("load.burst_length", milliseconds(0),
                                         {milliseconds(0), hours(1)});
    plan.seed = static_cast<std::uint64_t>(
        from.number_or("load.seed", 1, {0, 1'000'000'000}));
    for (const auto& name : from.children("stream"))
    {
        std::string at = "stream." + name + ".";
        load_stream stream;
        stream.name = name;
        stream.work_class = from.text(at + "class");
        // Rates are whole thousandths, so that a plan needs no floating point.
        stream.per_second =
            thousandth * static_cast<double>(from.number_or(
                             at + "per_1000_seconds", 1000, {1, 100'000'000}));
        stream.tokens = static_cast<std::uint32_t>(
            from.number_or(at + "tokens", 16, {1, 100'000}));
        stream.prompt_bytes = static_cast<std::uint32_t>(
            from.number_or(at + "prompt_bytes", 200, {1, 1 << 20}));
        stream.burst_factor =
            thousandth * static_cast<double>(from.number_or(
                             at + "burst_per_mille", 1000, {0, 100'000}));
        plan.streams.push_back(stream);
    }
    if (plan.streams.empty())
        from.refuse("stream", "at least one stream must be given");
    return plan;
}

std::vector<planned_request> schedule(const load_plan& plan)
{
    constexpr double ms_per_second = 1000;
    std::vector<planned_request> requests;
    for (std::size_t index = 0; index < plan.streams.size(); ++index)
    {
        const auto& stream = plan.streams[index];
        std::mt19937_64 random(plan.seed * 1000 + index);
        double most = std::max(1.0, stream.burst_factor);
        std::exponential_distribution<double> gap(stream.per_second * most /
                                                  ms_per_second);
        std::uniform_real_distribution<double> chance(0, 1);
        std::uint64_t number = plan.seed * 1'000'000;
        for (double at = gap(random);
             at < static_cast<double>(plan.duration.count()); at += gap(random))
        {
            // Arrivals come at the highest rate and are thinned outside bursts.
            double factor = in_burst(plan, at) ? stream.burst_factor : 1.0;
            if (chance(random) > factor / most)
                continue;
            requests.push_back({milliseconds(static_cast<std::int64_t>(at)),
                                index, prompt_of(stream, number++)});
        }
    }
    std::sort(requests.begin(), requests.end(),
              [](const auto& one, const auto& other)
              { return one.at < other.at; });
    return requests;
}

} // namespace amaranthhatch::load
