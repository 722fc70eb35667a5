// The only worker of one service is lost for good. Batch jobs of another
// service, whose workers are sound and idle, are never run.
#include "standins.hpp"

using namespace review;

namespace
{

constexpr int finish_ms = 18000;

bool all_done(const std::vector<batch_job>& jobs,
              const std::vector<address>& fronts, double until)
{
    for (const auto& job : jobs)
        for (;;)
        {
            auto got = read_results(job, fronts);
            if (got && got->size() == job.items.size())
                break;
            if (seconds() > until)
                return false;
            pause(200);
        }
    return true;
}

} // namespace

int main(int count, char** words)
{
    return run_case(
        count, words,
        []
        {
            deployment system(3, 3);
            const std::string lost = "dele69a";
            const std::string kept = "huvo11a";
            // Items of the first service take 0.16 s, of the second 1.2 s.
            worker a1(system.store, "i-a1", lost, "tbilisi-lots", 8, 8, 20);
            worker b1(system.store, "i-b1", kept, "tbilisi-lots", 8, 24, 50);
            worker b2(system.store, "i-b2", kept, "batumi-lots", 8, 24, 50);
            system.configure(
                configuration(3,
                              {batch_route("r-a", "/pule252/", lost),
                               batch_route("r-b", "/nivo118/", kept)},
                              {lost, kept}));
            if (!system.start())
                return 2;
            std::vector<address> fronts;
            for (auto& each : system.fronts)
                fronts.push_back(each->front);
            auto send = [&](const std::string& prefix, int jobs, int items)
            {
                std::vector<batch_job> out;
                for (int at = 0; at < jobs; at++)
                {
                    out.push_back(make_job(prefix, items));
                    submit(out.back(), fronts[at % fronts.size()]);
                    if (out.back().status != 202)
                        throw std::runtime_error("a job wasn't accepted");
                }
                return out;
            };
            // Ordinary work on both services first.
            auto warm_a = send("/pule252/", 12, 2);
            auto warm_b = send("/nivo118/", 12, 2);
            if (!all_done(warm_a, fronts, seconds() + 15) ||
                !all_done(warm_b, fronts, seconds() + 15))
            {
                log().line("the first jobs weren't done in 15 s");
                return 2;
            }
            log().line("the first jobs of both services are done");
            if (with_trouble())
                a1.crash();
            pause(5000);
            auto jobs_a = send("/pule252/", 12, 4);
            auto jobs_b = send("/nivo118/", 12, 4);
            auto ended = seconds();
            log().line("traffic has ended; finish_s begins");
            pause(finish_ms);
            auto now = seconds();
            int open_b = 0;
            int open_a = 0;
            for (const auto& job : jobs_b)
            {
                auto got = read_results(job, fronts);
                if (!got)
                    throw std::runtime_error("a job couldn't be read");
                auto missing = job.items.size() - got->size();
                open_b += static_cast<int>(missing);
                if (missing > 0)
                    log().line("batch job ", job.id, " on /nivo118/: ", missing,
                               " of ", job.items.size(),
                               " items are not listed");
            }
            for (const auto& job : jobs_a)
            {
                auto got = read_results(job, fronts);
                open_a += got ? static_cast<int>(job.items.size() - got->size())
                              : 0;
            }
            // The excuses of the rule: a worker had an item of these in the
            // last 5 s; an item was finished in the last 3 s.
            int had = 0;
            int finished = 0;
            for (auto* each : {&b1, &b2})
                for (const auto& run : each->all_runs())
                {
                    had += run.to == 0 || run.to > now - 5 ? 1 : 0;
                    finished += run.whole && run.to > now - 3 ? 1 : 0;
                }
            log().line("at ", now - ended, " s after the end of traffic: ",
                       open_b, " items of service ", kept,
                       " are not listed, its workers had ", had,
                       " items in the last 5 s and finished ", finished,
                       " in the last 3 s; ", open_a, " items of service ", lost,
                       " are not listed (its workers are lost, not judged)");
            for (auto* each : {&a1, &b1, &b2})
                each->over = true;
            return open_b > 0 && had == 0 && finished == 0 ? 1 : 0;
        });
}
