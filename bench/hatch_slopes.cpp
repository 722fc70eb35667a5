#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

#include "core/jobs/job_items.hpp"
#include "core/jobs/journal_copy.hpp"
#include "core/slots/slot_scheduler.hpp"
#include "fleet.hpp"
#include "net/codec.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
namespace messages = core::messages;

namespace
{

using clock_type = std::chrono::steady_clock;

/// @brief Processor time and memory of a process.
struct process_usage
{
    double cpu_ms = 0;
    double resident_mb = 0;
};

process_usage usage_of(pid_t process)
{
    std::ifstream from("/proc/" + std::to_string(process) + "/stat");
    std::string text;
    std::getline(from, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    constexpr int fields_before_times = 11;
    for (int index = 0; index < fields_before_times; ++index)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    for (int index = 0; index < 8; ++index)
        fields >> skipped;
    double pages = 0;
    fields >> pages;
    constexpr double ms_per_second = 1000;
    constexpr double bytes_per_mb = 1e6;
    process_usage usage;
    usage.cpu_ms = (user + system) * ms_per_second /
                   static_cast<double>(sysconf(_SC_CLK_TCK));
    usage.resident_mb =
        pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytes_per_mb;
    return usage;
}

double mean(const std::vector<double>& values)
{
    double sum = 0;
    for (double one : values)
        sum += one;
    return sum / static_cast<double>(std::max<std::size_t>(values.size(), 1));
}

// An idle fleet shows what membership, views and watches cost by themselves.
void measure_members(int count)
{
    fleet::fleet_plan plan;
    plan.entries = count;
    plan.engines = 2;
    fleet::fleet running(plan);
    running.start();
    std::this_thread::sleep_for(12s);
    auto total = [&](std::vector<fleet::node>& nodes)
    {
        std::vector<double> values;
        for (auto& one : nodes)
            values.push_back(usage_of(one.process->id()).cpu_ms);
        return mean(values);
    };
    auto bytes = [&]
    {
        std::vector<double> values;
        for (auto& one : running.coordinators)
            values.push_back(fleet::metric(one, "hatch_control_bytes"));
        return mean(values);
    };
    auto store_before = fleet::counters(running.store);
    double coordinator_cpu = total(running.coordinators);
    double entry_cpu = total(running.entries);
    double bytes_before = bytes();
    auto started = clock_type::now();
    std::this_thread::sleep_for(15s);
    double seconds =
        std::chrono::duration<double>(clock_type::now() - started).count();
    double sent = bytes() - bytes_before;
    double coordinator_share =
        (total(running.coordinators) - coordinator_cpu) / (seconds * 10);
    double entry_share = (total(running.entries) - entry_cpu) / (seconds * 10);
    auto store_after = fleet::counters(running.store);
    auto calls = [](const nlohmann::json& from)
    {
        return from.at("reads").get<double>() +
               from.at("writes").get<double>() +
               from.at("watches").get<double>();
    };
    std::printf("members %3d: coordinator %.2f%% of a core, %.1f MB, %.2f "
                "KB/s; entry %.2f%% of a core, %.1f MB; store %.2f calls/s\n",
                count, coordinator_share,
                usage_of(running.coordinators[0].process->id()).resident_mb,
                sent / seconds / 1000, entry_share,
                usage_of(running.entries[0].process->id()).resident_mb,
                (calls(store_after) - calls(store_before)) / seconds);
    std::fflush(stdout);
}

template <typename Work>
double microseconds_each(std::size_t count, Work work)
{
    auto started = clock_type::now();
    for (std::size_t index = 0; index < count; ++index)
        work(index);
    return std::chrono::duration<double, std::micro>(clock_type::now() -
                                                     started)
               .count() /
           static_cast<double>(count);
}

void measure_slots(unsigned endpoints)
{
    core::slots::scheduler_options options;
    options.concurrency = {8, 1, 8};
    core::slots::slot_scheduler scheduler("m@r", options, 1);
    std::vector<core::slots::group_endpoint> listed;
    for (unsigned index = 0; index < endpoints; ++index)
        listed.push_back({"endpoint" + std::to_string(index), "127.0.0.1:1",
                          "r", false, true});
    scheduler.set_endpoints(0ms, listed);
    std::size_t bytes = 0;
    auto cost = microseconds_each(
        20'000,
        [&](std::size_t index)
        {
            auto now = core::instant(index / 10);
            messages::want_slot want;
            want.requester = "entry";
            want.expected_tokens = 40;
            want.wait_timeout_ms = 1000;
            scheduler.request_slot(now, index + 1, want);
            auto output = scheduler.take_output();
            messages::slot_report report;
            report.requester = "entry";
            report.group = "m@r";
            for (const auto& one : output.decisions)
                report.finished.push_back(
                    {one.answer.ticket, one.answer.endpoint, false, 40});
            for (unsigned at = 0; at < 4; ++at)
                report.progress.push_back(
                    {"endpoint" + std::to_string((index + at) % endpoints), 4,
                     90});
            scheduler.report(now, report);
            bytes = net::encode(want).size() + net::encode(report).size();
            for (const auto& one : output.decisions)
                bytes += net::encode(one.answer).size();
        });
    std::printf("endpoints of a group %4u: %.1f us a request (want, grant, "
                "report), %zu bytes\n",
                endpoints, cost, bytes);
}

void measure_jobs(std::uint32_t items)
{
    double before = usage_of(getpid()).resident_mb;
    core::jobs::job_items state(items);
    core::jobs::journal_copy copy;
    std::string record(1000, 'x');
    auto cost = microseconds_each(
        items,
        [&](std::size_t index)
        {
            messages::journal_append append{"job", 1, index, 0, {record}};
            auto decision = copy.decide(append);
            copy.applied(decision.keep, append.records);
            auto item = state.next();
            state.finish(item.value_or(0), false);
        });
    double after = usage_of(getpid()).resident_mb;
    std::printf("items of a job %6u: %.1f us each, %.0f bytes each\n", items,
                cost, (after - before) * 1e6 / items);
}

} // namespace

/// Prints the slopes that docs/CAPACITY.md works with.
int main(int argument_count, char** arguments)
{
    std::vector<int> members = {4, 8, 16, 32, 64};
    if (argument_count > 1)
        members = {std::atoi(arguments[1])};
    try
    {
        for (unsigned endpoints : {8u, 16u, 32u, 64u, 128u})
            measure_slots(endpoints);
        for (std::uint32_t items : {94'000u, 940'000u})
            measure_jobs(items);
        for (int count : members)
            measure_members(count);
        return 0;
    }
    catch (const std::exception& error)
    {
        std::cerr << "hatch-slopes: " << error.what() << "\n";
        return 1;
    }
}
