// A storage machine is to be emptied, and the store loses the answer to one
// write of another storage machine. That machine writes the placement that it
// proposed then once more, over the newer ones of the other machines.
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
            // The operator's order; the platform removes the machine as soon as
            // it is done.
            auto& leaving = *system.disks[2];
            auto& hit = *system.disks[0];
            if (with_trouble())
                system.store.lose_next_write(hit.name, 2500);
            log().line("the operator orders ", leaving.name, " to be emptied");
            system.store.set("op/retire/" + leaving.name,
                             json{{"duration_s", 8.9}}.dump());
            auto ordered = seconds();
            bool removed = false;
            while (seconds() - ordered < 20)
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
            if (!removed)
                log().line(leaving.name, " isn't emptied 20 s after the order");
            int lost = 0;
            for (const auto& job : jobs)
            {
                auto got = read_results(job, fronts);
                bool all = got && got->size() == job.items.size();
                lost += all ? 0 : 1;
                if (!all)
                    log().line("LOST: batch job ", job.id,
                               ", accepted, done and read before, can't be "
                               "read for 4 s, at ", seconds() - ordered,
                               " s after the order");
                if (lost == 6)
                    break;
            }
            log().line(lost == 6 ? "6 or more" : std::to_string(lost), " of ",
                       jobs.size(), " batch jobs can't be read any more");
            for (auto& each : workers)
                each->over = true;
            return lost > 0 ? 1 : 0;
        });
}
