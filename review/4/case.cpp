// The store turns two storage machines away while the operator adds a batch
// route. Batch jobs that come on the new route at once are accepted; owners
// that don't know the route yet give their items up.
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
            worker one(system.store, "i-1", service, "tbilisi-lots", 8, 8, 20);
            worker two(system.store, "i-2", service, "batumi-lots", 8, 8, 20);
            worker three(system.store, "i-3", service, "mtskheta-lots", 8, 8,
                         20);
            json routes = {
                stream_route("r-a3hwrr6", "/gono990/", service, false),
                batch_route("r-b", "/pule252/", service)};
            system.configure(configuration(3, routes, {service}));
            if (!system.start())
                return 2;
            std::vector<address> fronts;
            for (auto& each : system.fronts)
                fronts.push_back(each->front);
            // One job on the route that was there from the start.
            auto first = make_job("/pule252/", 3);
            submit(first, fronts[0]);
            if (first.status != 202)
                return 2;
            auto began_at = seconds();
            // 2 of 6 machines; the trouble lasts 9 s.
            if (with_trouble())
                for (int at : {0, 1})
                {
                    log().line("the store turns ", system.disks[at]->name,
                               " away");
                    system.store.turn_away(system.disks[at]->name, true);
                }
            pause(2000);
            routes.push_back(batch_route("r-new", "/tavo401/", service));
            system.configure(configuration(8, routes, {service}));
            auto acknowledged = seconds();
            pause(50);
            std::vector<batch_job> jobs;
            while (seconds() - acknowledged < 1.5)
            {
                jobs.push_back(make_job("/tavo401/", 3));
                submit(jobs.back(), fronts[jobs.size() % fronts.size()]);
                pause(15);
            }
            while (seconds() - began_at < 9)
                pause(50);
            if (with_trouble())
                for (int at : {0, 1})
                    system.store.turn_away(system.disks[at]->name, false);
            log().line("the store serves all machines");
            pause(6000);
            int accepted = 0;
            int dead = 0;
            int open = 0;
            for (const auto& job : jobs)
            {
                if (job.status != 202)
                    continue;
                accepted++;
                auto got = read_results(job, fronts);
                if (!got)
                    throw std::runtime_error("a job couldn't be read");
                open += static_cast<int>(job.items.size() - got->size());
                for (const auto& result : *got)
                {
                    if (result.at("state") == "done")
                        continue;
                    dead++;
                    log().line("MIXED: batch job ", job.id, " accepted ",
                               job.accepted_at - acknowledged,
                               " s after the configuration: item ",
                               result.at("id").get<std::string>(), " is ",
                               result.at("state").get<std::string>(), " ",
                               seconds() - job.accepted_at,
                               " s after the 202 at most");
                }
            }
            int runs = 0;
            for (auto* each : {&one, &two, &three})
                runs += static_cast<int>(each->all_runs().size());
            log().line(accepted, " of ", jobs.size(),
                       " batch jobs on the new route were accepted; ", dead,
                       " of their items are dead_lettered and ", open,
                       " open, though no worker answered 422 or 500 (", runs,
                       " runs, all 200), retention_s is 60, no job was ended "
                       "and the route stands");
            for (auto* each : {&one, &two, &three})
                each->over = true;
            if (accepted == 0)
                return 2;
            return dead > 0 ? 1 : 0;
        });
}
