#include "variant_run.hpp"

#include <algorithm>
#include <atomic>
#include <stdexcept>
#include <thread>

#include <nlohmann/json.hpp>

#include "fleet.hpp"

namespace amaranthhatch::bench
{

namespace
{

using core::milliseconds;
using nlohmann::json;

constexpr milliseconds wander_interval{2000};
constexpr milliseconds settle_time{1500};
constexpr int batch_items = 20'000;
constexpr int batch_tokens = 40;
constexpr double ms_per_second = 1000;

fleet::fleet_plan fleet_of(const bench_plan& plan, const variant& wanted)
{
    fleet::fleet_plan made;
    made.entries = plan.entries;
    made.engines = plan.engines;
    made.batch_hosts = wanted.batch ? plan.batch_hosts : 0;
    made.model = plan.load.model;
    made.strategy = wanted.strategy;
    made.queue_order = wanted.order;
    made.initial_concurrency = plan.concurrency;
    // The coordinator may raise the limit while the measured gap allows it, as
    // it may on a real fleet; the load is set by the initial one.
    made.most_concurrency = 2 * plan.concurrency;
    // Hedges and moves together stay within the target's 5% of extra calls.
    made.hedge_percent = "2";
    made.retry_percent = "3";
    // One region: the delay between regions is no part of these measures.
    made.sites = {{"sul", "poa-a"}, {"sul", "poa-b"}, {"sul", "poa-c"}};
    made.engine_settings = {{"gap_ms", plan.engine_gap_ms},
                            {"report_lag_ms", 2000}};
    return made;
}

/// @brief Slows engines down while a load runs.
class slow_engines
{
public:
    slow_engines(fleet::fleet& running, const bench_plan& plan, slowness kind)
        : running(running), plan(plan), kind(kind)
    {
        this->apply(0);
        if (kind == slowness::wandering)
            this->thread = std::thread([this] { this->wander(); });
    }

    ~slow_engines()
    {
        this->stopping = true;
        if (this->thread.joinable())
            this->thread.join();
    }

private:
    void apply(std::size_t first)
    {
        if (this->kind == slowness::none)
            return;
        auto size = this->running.engines.size();
        auto count = this->kind == slowness::all
                         ? size
                         : static_cast<std::size_t>(this->plan.slow_engines);
        for (std::size_t index = 0; index < size; ++index)
        {
            bool slow = (index + size - first) % size < count;
            fleet::admin(this->running.engines[index],
                         {{"slow", slow ? this->plan.slow_factor : 1}});
        }
    }

    void wander()
    {
        constexpr milliseconds step{50};
        std::size_t first = 0;
        while (!this->stopping)
        {
            for (milliseconds slept{0};
                 slept < wander_interval && !this->stopping; slept += step)
                std::this_thread::sleep_for(step);
            first += static_cast<std::size_t>(this->plan.slow_engines);
            this->apply(first % this->running.engines.size());
        }
    }

    fleet::fleet& running;
    const bench_plan& plan;
    slowness kind;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

double sum_of(const std::vector<fleet::node>& engines, const char* counter)
{
    double sum = 0;
    for (const auto& one : engines)
        sum += fleet::counters(one).value(counter, 0.0);
    return sum;
}

void start_batch(fleet::fleet& running, const std::string& model)
{
    std::string content;
    for (int item = 0; item < batch_items; ++item)
        content += json({{"custom_id", "c" + std::to_string(item)},
                         {"method", "POST"},
                         {"url", "/v1/completions"},
                         {"body",
                          {{"model", model},
                           {"prompt", "summary " + std::to_string(item)},
                           {"max_tokens", batch_tokens}}}})
                       .dump() +
                   "\n";
    std::string file;
    fleet::eventually(
        [&]
        {
            auto reply =
                fleet::post(running.entries[0].address, "/v1/files", content);
            if (reply.status == 200)
                file = json::parse(reply.body).at("id").get<std::string>();
            return !file.empty();
        });
    // One job for each host, so that all of them run items.
    for (std::size_t host = 0; host < 4 * running.batch_hosts.size(); ++host)
        fleet::post(running.entries[0].address, "/v1/batches",
                    json({{"input_file_id", file}}).dump(),
                    {{"Idempotency-Key", std::to_string(host)}});
}

load::load_plan load_of(const bench_plan& plan, const variant& wanted, int seed)
{
    load::load_plan load = plan.load;
    load.seed = plan.load.seed + static_cast<std::uint64_t>(seed);
    if (wanted.streams.empty())
        return load;
    std::erase_if(load.streams,
                  [&](const auto& stream)
                  {
                      return std::find(wanted.streams.begin(),
                                       wanted.streams.end(),
                                       stream.name) == wanted.streams.end();
                  });
    return load;
}

} // namespace

double variant_result::value(std::string_view stream,
                             std::string_view metric) const
{
    if (metric == "tokens_per_second")
        return this->tokens_per_second;
    if (metric == "repeats_per_request")
        return this->repeats_per_request;
    if (metric == "calls_per_request")
        return this->calls_per_request;
    for (const auto& one : this->report.streams)
    {
        if (one.name != stream)
            continue;
        if (metric == "first_token_p50")
            return load::quantile(one.first_token_ms, 0.5);
        if (metric == "first_token_p99")
            return load::quantile(one.first_token_ms, 0.99);
        if (metric == "answer_p50")
            return load::quantile(one.answer_ms, 0.5);
        if (metric == "answer_p99")
            return load::quantile(one.answer_ms, 0.99);
        if (metric == "whole_per_second")
            return one.whole / this->report.seconds;
    }
    throw std::runtime_error("no metric " + std::string(metric) +
                             " of stream " + std::string(stream));
}

variant_result run_variant(const bench_plan& plan, const variant& wanted,
                           int seed)
{
    fleet::fleet running(fleet_of(plan, wanted));
    running.start();
    if (wanted.batch)
        start_batch(running, plan.load.model);
    std::this_thread::sleep_for(settle_time);
    std::vector<std::string> entries;
    for (const auto& one : running.entries)
        entries.push_back(one.address);
    auto load = load_of(plan, wanted, seed);
    variant_result result;
    result.variant = wanted.name;
    result.seed = seed;
    double tokens_before = 0;
    double tokens_after = 0;
    std::thread meter(
        [&]
        {
            std::this_thread::sleep_for(load.warm_up);
            tokens_before = sum_of(running.engines, "tokens");
            std::this_thread::sleep_for(load.duration - load.warm_up);
            tokens_after = sum_of(running.engines, "tokens");
        });
    double started_before = sum_of(running.engines, "started");
    {
        slow_engines slow(running, plan, wanted.slow);
        result.report = load::run_load(load, entries);
    }
    meter.join();
    double requests = static_cast<double>(load::schedule(load).size());
    double started = sum_of(running.engines, "started") - started_before;
    result.calls_per_request = wanted.batch ? 0 : started / requests;
    double repeats = 0;
    for (const auto& one : running.entries)
        repeats += fleet::metric(one, "hatch_repeats_total") -
                   fleet::metric(one, "hatch_repeats_total", "late_token") -
                   fleet::metric(one, "hatch_repeats_total", "slow_endpoint");
    result.repeats_per_request = 1 + repeats / requests;
    auto measured = static_cast<double>((load.duration - load.warm_up).count());
    result.tokens_per_second =
        (tokens_after - tokens_before) * ms_per_second / measured;
    for (const auto& one : running.coordinators)
        result.yields += fleet::metric(one, "hatch_yields_total");
    return result;
}

} // namespace amaranthhatch::bench
