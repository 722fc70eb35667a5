// Storage machines are added and emptied while the store loses answers to
// writes. A machine whose answer was lost writes the placement that it proposed
// then once more, over the newer ones of the other machines.
#include "standins.hpp"

using namespace review;

int main(int count, char** words)
{
    return run_case(
        count, words,
        []
        {
            deployment system(3, 3);
            const std::string service = "dele69a";
            std::vector<std::unique_ptr<worker>> workers;
            for (int at = 0; at < 3; at++)
                workers.push_back(std::make_unique<worker>(
                    system.store, "i-" + std::to_string(at + 1), service,
                    system.fronts[at]->zone, 8, 8, 20));
            system.configure(configuration(
                3, {batch_route("r-b", "/pule252/", service)}, {service}));
            if (!system.start())
                return 2;
            std::vector<address> fronts;
            for (auto& each : system.fronts)
                fronts.push_back(each->front);
            std::vector<batch_job> jobs;
            for (int at = 0; at < 60; at++)
            {
                jobs.push_back(make_job("/pule252/", 2));
                submit(jobs.back(), fronts[at % fronts.size()]);
                if (jobs.back().status != 202)
                    return 2;
                pause(20);
            }
            pause(4000);
            for (const auto& job : jobs)
                if (auto got = read_results(job, fronts);
                    !got || got->size() != job.items.size())
                    return 2;
            log().line("all ", jobs.size(), " batch jobs are done and read");
            // Four times planned work, each with a window of 4.5 s in which
            // answers are lost: three machines are added, and three are emptied
            // and removed as soon as they say done.
            auto window = [&]
            {
                if (with_trouble())
                    system.store.lose_writes(4.5);
            };
            window();
            system.add_disks();
            pause(9000);
            for (int at = 0; at < 3; at++)
            {
                auto& leaving = *system.disks[at];
                window();
                log().line("the operator orders ", leaving.name,
                           " to be emptied");
                system.store.set("op/retire/" + leaving.name,
                                 json{{"duration_s", 8.9}}.dump());
                auto ordered = seconds();
                bool removed = false;
                while (seconds() - ordered < 9)
                {
                    auto status =
                        system.store.value("status/retire/" + leaving.name);
                    if (!removed && status.find("done") != status.npos)
                    {
                        removed = true;
                        leaving.run.kill();
                        log().line(leaving.name, " says done after ",
                                   seconds() - ordered, " s and is removed");
                    }
                    pause(20);
                }
                if (removed)
                    continue;
                log().line(leaving.name, " isn't emptied 9 s after the order");
                break;
            }
            // The last lost answer is 4 s old at least, as is the last change.
            pause(6000);
            int lost = 0;
            for (const auto& job : jobs)
            {
                auto got = read_results(job, fronts);
                bool all = got && got->size() == job.items.size();
                lost += all ? 0 : 1;
                if (!all)
                    log().line("LOST: batch job ", job.id,
                               ", accepted, done and read before, can't be "
                               "read in 20 tries at all entries in turn");
                if (lost == 3)
                    break;
            }
            log().line(lost == 3 ? "3 or more" : std::to_string(lost), " of ",
                       jobs.size(), " batch jobs can't be read any more");
            for (auto& each : workers)
                each->over = true;
            return lost > 0 ? 1 : 0;
        });
}
