#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <thread>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "bench_plan.hpp"
#include "child_process.hpp"
#include "variant_run.hpp"

using namespace amaranthhatch;
using bench::variant_result;
using nlohmann::json;

namespace
{

/// @brief A ratio's values over the seeds.
struct ratio_result
{
    bench::ratio about;
    std::vector<double> values;

    double mean() const
    {
        double sum = 0;
        for (double one : this->values)
            sum += one;
        return this->values.empty() ? 0 : sum / this->values.size();
    }

    bool holds() const
    {
        bool low = this->about.least > 0 && this->mean() < this->about.least;
        bool high = this->about.most > 0 && this->mean() > this->about.most;
        return !low && !high;
    }
};

const variant_result& find(const std::vector<variant_result>& all,
                           const std::string& name, int seed)
{
    for (const auto& one : all)
    {
        if (one.variant == name && one.seed == seed)
            return one;
    }
    throw std::runtime_error("a ratio names no variant: " + name);
}

std::vector<ratio_result> ratios_of(const bench::bench_plan& plan,
                                    const std::vector<variant_result>& all)
{
    std::vector<ratio_result> ratios;
    for (const auto& about : plan.ratios)
    {
        ratio_result result{about, {}};
        for (int seed = 0; seed < plan.seeds; ++seed)
        {
            double of =
                find(all, about.of, seed).value(about.stream, about.metric);
            double to =
                find(all, about.to, seed).value(about.stream, about.metric);
            result.values.push_back(to > 0 ? of / to : 0);
        }
        ratios.push_back(std::move(result));
    }
    return ratios;
}

void print_ratios(const std::vector<ratio_result>& ratios)
{
    for (const auto& one : ratios)
    {
        std::printf("%-44s %-16s", one.about.name.c_str(),
                    one.about.metric.c_str());
        for (double value : one.values)
            std::printf(" %6.2f", value);
        std::printf("  mean %6.2f", one.mean());
        if (one.about.least > 0)
            std::printf("  target >= %.2f", one.about.least);
        if (one.about.most > 0)
            std::printf("  target <= %.2f", one.about.most);
        std::printf("%s\n", one.holds() ? "" : "  MISSED");
    }
}

json as_json(const std::vector<variant_result>& all,
             const std::vector<ratio_result>& ratios)
{
    json variants = json::array();
    for (const auto& one : all)
        variants.push_back(
            {{"variant", one.variant},
             {"seed", one.seed},
             {"tokens_per_second", one.tokens_per_second},
             {"calls_per_request", one.calls_per_request},
             {"repeats_per_request", one.repeats_per_request},
             {"yields", one.yields},
             {"report", json::parse(load::report_json(one.report))}});
    json bounds = json::array();
    for (const auto& one : ratios)
        bounds.push_back({{"name", one.about.name},
                          {"metric", one.about.metric},
                          {"values", one.values},
                          {"mean", one.mean()},
                          {"least", one.about.least},
                          {"most", one.about.most},
                          {"holds", one.holds()}});
    return {{"variants", variants}, {"ratios", bounds}};
}

// The plot shows the distribution of each variant's answer times.
void write_plot(const std::string& folder, const std::string& name,
                const std::vector<variant_result>& all)
{
    std::string data = folder + "/" + name + ".dat";
    std::ofstream out(data);
    std::string lines;
    int index = 0;
    for (const auto& one : all)
    {
        if (one.seed != 0)
            continue;
        for (const auto& stream : one.report.streams)
        {
            for (int percent = 1; percent <= 100; ++percent)
                out << load::quantile(stream.first_token_ms, percent * 0.01)
                    << " " << percent << "\n";
            out << "\n\n";
            lines += (index > 0 ? ", " : "") + std::string("'") + data +
                     "' index " + std::to_string(index) +
                     " with lines title '" + one.variant + " " + stream.name +
                     "'";
            ++index;
        }
    }
    out.close();
    std::string script = folder + "/" + name + ".gnuplot";
    std::ofstream(script)
        << "set terminal svg size 900,520 noenhanced\nset output '" << folder
        << "/" << name << ".svg'\nset logscale x\n"
        << "set xlabel 'first token, ms'\nset ylabel 'per cent of requests'\n"
        << "set key bottom right\nset grid\nplot " << lines << "\n";
    fleet::child_process plot({"/usr/bin/gnuplot", script},
                              folder + "/" + name + ".log");
    for (int tries = 0; tries < 100 && plot.running(); ++tries)
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
}

int run(const std::string& path, const std::string& folder, bool plot)
{
    auto plan = bench::read_bench_plan(path);
    std::vector<variant_result> all;
    for (int seed = 0; seed < plan.seeds; ++seed)
    {
        for (const auto& wanted : plan.variants)
        {
            all.push_back(bench::run_variant(plan, wanted, seed));
            const auto& last = all.back();
            std::printf("%s seed %d: %.0f tokens/s, %.3f calls a request "
                        "(%.3f without moves), %.0f yields\n%s",
                        wanted.name.c_str(), seed, last.tokens_per_second,
                        last.calls_per_request, last.repeats_per_request,
                        last.yields, load::report_table(last.report).c_str());
            std::fflush(stdout);
        }
    }
    auto ratios = ratios_of(plan, all);
    print_ratios(ratios);
    std::ofstream(folder + "/" + plan.name + ".json")
        << as_json(all, ratios).dump(2) << "\n";
    if (plot)
        write_plot(folder, plan.name, all);
    bool holds = true;
    for (const auto& one : ratios)
        holds = holds && one.holds();
    return holds ? 0 : 1;
}

} // namespace

int main(int argument_count, char** arguments)
{
    cxxopts::Options options("hatch-bench",
                             "Runs a benchmark plan on a fleet on loopback.");
    options.add_options()("plan", "The TOML plan.",
                          cxxopts::value<std::string>())(
        "folder", "Where JSON and plots go.",
        cxxopts::value<std::string>()->default_value("."))(
        "plot", "Write an SVG plot too.")("help", "Print this help.");
    try
    {
        auto parsed = options.parse(argument_count, arguments);
        if (parsed.count("help") > 0 || parsed.count("plan") == 0)
        {
            std::cout << options.help() << "\n";
            return parsed.count("help") > 0 ? 0 : 2;
        }
        std::signal(SIGPIPE, SIG_IGN);
        return run(parsed["plan"].as<std::string>(),
                   parsed["folder"].as<std::string>(),
                   parsed.count("plot") > 0);
    }
    catch (const std::exception& error)
    {
        std::cerr << "hatch-bench: " << error.what() << "\n";
        return 2;
    }
}
