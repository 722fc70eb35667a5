#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <vector>

#include "kept_worker.hpp"
#include "platform_fleet.hpp"

using namespace amaranthhatch;
using namespace std::chrono_literals;
using nlohmann::json;
using arrival = tests::kept_worker::arrival;

namespace
{

std::string response(const std::string& status, const std::string& id,
                     const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + status + " X\r\nKeep-Alive: timeout=30\r\n" +
           (id.empty() ? "" : "Request-Id: " + id + "\r\n") + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string refusal(const std::string& id)
{
    return response("503", id, "Not-Executed: 1\r\n", "");
}

std::string answer(const std::string& id)
{
    return response("200", id,
                    "Response-Signature: s\r\n"
                    "Content-Type: text/event-stream\r\n",
                    "id: 1\ndata: " + id + "\n\n");
}

/// @brief The platform's programs before workers that repeat responses.
struct late_responses
{
    void start(int batch_hosts, int slots, int workers,
               const std::function<std::string(const arrival&)>& respond)
    {
        this->fleet =
            std::make_unique<tests::platform_fleet>(1, batch_hosts, 0);
        this->fleet->start();
        json entries;
        for (int at = 0; at < workers; at++)
        {
            this->workers.push_back(
                std::make_unique<tests::kept_worker>(respond));
            json entry = {{"service", "pool"},
                          {"address", this->workers.back()->address()},
                          {"zone", "zone-a"},
                          {"slots", slots},
                          {"state", "ready"},
                          {"sequence", 1}};
            entries["servers/i-kept" + std::to_string(at)] = entry.dump();
        }
        fleet::admin(this->fleet->store, {{"set", entries}});
    }

    int call(const std::string& id)
    {
        return this->fleet->call(0, "POST", "/once/x", id, "b").status;
    }

    /// @brief Sends requests until each worker has answered one, so that the
    /// entry keeps a connection to each.
    bool warm_up()
    {
        int number = 0;
        return fleet::eventually(
            [&]
            {
                auto id = "warm" + std::to_string(number++);
                this->call(id);
                for (std::size_t at = 0; at < this->workers.size(); at++)
                    if (this->workers[at]->arrivals(id) > 0)
                        this->warmed[at] = true;
                return this->warmed.size() == this->workers.size();
            },
            10s);
    }

    int arrivals(const std::string& id)
    {
        int total = 0;
        for (const auto& worker : this->workers)
            total += worker->arrivals(id);
        return total;
    }

    /// @brief The states of a job's results, once all items are listed.
    std::vector<std::string> states(const std::string& job, std::size_t items)
    {
        std::vector<std::string> bodies(items, "b");
        CHECK(fleet::eventually(
            [&]
            {
                return this->fleet
                           ->call(0, "POST", "/jobs/x", job,
                                  tests::platform_fleet::job_body(job, bodies))
                           .status == 202;
            },
            10s));
        std::vector<std::string> out;
        fleet::eventually(
            [&]
            {
                auto read = this->fleet->results(0, job);
                if (read.is_null() || read.at("results").size() < items)
                    return false;
                for (const auto& result : read.at("results"))
                    out.push_back(result.at("state").get<std::string>());
                return true;
            },
            20s);
        return out;
    }

    std::vector<std::unique_ptr<tests::kept_worker>> workers;
    std::map<std::size_t, bool> warmed;
    std::unique_ptr<tests::platform_fleet> fleet;
};

} // namespace

TEST_CASE_METHOD(late_responses,
                 "refusal repeated without an id, request that runs, is not "
                 "told to try again and runs once")
{
    this->start(0, 4, 2,
                [](const arrival& arrived)
                {
                    bool late = arrived.earlier_on_connection > 0 &&
                                arrived.id.starts_with("r");
                    return (late ? refusal("") : "") + answer(arrived.id);
                });
    REQUIRE(this->warm_up());
    CHECK(this->call("r1") == 502);
    CHECK(this->arrivals("r1") == 1);
}

TEST_CASE_METHOD(late_responses,
                 "error repeated without an id, item that runs, is not given "
                 "up")
{
    this->start(3, 1, 1,
                [](const arrival& arrived)
                {
                    bool late = arrived.earlier_on_connection > 0;
                    return (late ? response("422", "", "", "no") : "") +
                           answer(arrived.id);
                });
    CHECK(this->states("j1", 3) ==
          std::vector<std::string>{"done", "done", "done"});
}

// The route allows two attempts.
TEST_CASE_METHOD(late_responses,
                 "error repeated with the item's id, item that runs again, is "
                 "not given up")
{
    this->start(3, 1, 1,
                [](const arrival& arrived)
                {
                    auto error = response("500", arrived.id, "", "no");
                    if (arrived.earlier_of_id == 0)
                        return error;
                    bool late = arrived.earlier_on_connection > 0;
                    return (late ? error : "") + answer(arrived.id);
                });
    CHECK(this->states("j1", 1) == std::vector<std::string>{"done"});
}

TEST_CASE_METHOD(late_responses,
                 "refusal repeated with the item's id, item that runs, isn't "
                 "run once more")
{
    this->start(3, 1, 1,
                [](const arrival& arrived)
                {
                    if (arrived.earlier_of_id == 0)
                        return refusal(arrived.id);
                    bool late = arrived.earlier_on_connection > 0;
                    return (late ? refusal(arrived.id) : "") +
                           answer(arrived.id);
                });
    CHECK(this->states("j1", 1) == std::vector<std::string>{"done"});
    CHECK(this->arrivals("j1-0") == 2);
}
