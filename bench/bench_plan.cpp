#include "bench_plan.hpp"

namespace amaranthhatch::bench
{

namespace
{

struct named_slowness
{
    std::string_view name;
    slowness value;
};

constexpr named_slowness slowness_names[] = {{"none", slowness::none},
                                             {"fixed", slowness::fixed},
                                             {"wandering", slowness::wandering},
                                             {"all", slowness::all}};

constexpr settings::number_range count_range{0, 1000};
constexpr settings::number_range per_mille_range{0, 1'000'000};
constexpr double thousandth = 0.001;

variant read_variant(settings::document& from, const std::string& name)
{
    std::string at = "variant." + name + ".";
    variant read;
    read.name = name;
    read.strategy = from.text_or(at + "strategy", "coordinated");
    read.order = from.text_or(at + "order", "short_first");
    read.streams = from.texts(at + "streams");
    read.batch = from.flag_or(at + "batch", false);
    std::string slow = from.text_or(at + "slow", "none");
    bool known = false;
    for (const auto& one : slowness_names)
    {
        known = known || one.name == slow;
        if (one.name == slow)
            read.slow = one.value;
    }
    if (!known)
        from.refuse(at + "slow", "must be none, fixed, wandering or all");
    return read;
}

ratio read_ratio(settings::document& from, const std::string& name)
{
    std::string at = "ratio." + name + ".";
    ratio read;
    read.name = name;
    read.of = from.text(at + "of");
    read.to = from.text(at + "to");
    read.stream = from.text_or(at + "stream", "all");
    read.metric = from.text(at + "metric");
    read.least = thousandth * static_cast<double>(from.number_or(
                                  at + "least_per_mille", 0, per_mille_range));
    read.most = thousandth * static_cast<double>(from.number_or(
                                 at + "most_per_mille", 0, per_mille_range));
    return read;
}

} // namespace

bench_plan read_bench_plan(const std::string& path)
{
    auto from = settings::document::from_file(path);
    bench_plan plan;
    plan.name = from.text("bench.name");
    auto number = [&](const char* key, int otherwise)
    {
        return static_cast<int>(from.number_or(std::string("bench.") + key,
                                               otherwise, count_range));
    };
    plan.entries = number("entries", plan.entries);
    plan.engines = number("engines", plan.engines);
    plan.batch_hosts = number("batch_hosts", plan.batch_hosts);
    plan.concurrency = number("concurrency", plan.concurrency);
    plan.engine_gap_ms = number("engine_gap_ms", plan.engine_gap_ms);
    plan.slow_engines = number("slow_engines", plan.slow_engines);
    plan.slow_factor = number("slow_factor", plan.slow_factor);
    plan.seeds = number("seeds", plan.seeds);
    plan.load = load::read_plan(from);
    for (const auto& name : from.children("variant"))
        plan.variants.push_back(read_variant(from, name));
    for (const auto& name : from.children("ratio"))
        plan.ratios.push_back(read_ratio(from, name));
    from.finish();
    return plan;
}

} // namespace amaranthhatch::bench
