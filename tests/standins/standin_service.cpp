#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

#include "standin_host.hpp"

using namespace amaranthhatch;
using nlohmann::json;

namespace
{

/// @brief A plain service that counts its runs for each request key.
///
/// POST /admin takes {"slow_ms": n, "lose_answers": n, "fail": n};
/// GET /admin gives the runs by key.
class service
{
public:
    http::response handle(const http::request& asked)
    {
        if (asked.path == "/admin")
            return this->administer(asked);
        int slow = 0;
        bool lose = false;
        bool fail = false;
        {
            std::lock_guard lock(this->guard);
            std::string key(asked.headers.get("Idempotency-Key"));
            ++this->runs[key];
            // Kept in the log of a failing test, beside the callers' logs.
            std::clog
                << "run key=" << key << " wall_ms="
                << std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count()
                << std::endl;
            ++this->total;
            slow = this->slow_ms;
            lose = this->lose_answers > 0;
            fail = this->failures > 0;
            this->lose_answers -= lose ? 1 : 0;
            this->failures -= fail ? 1 : 0;
        }
        if (slow > 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(slow));
        json body = {
            {"path", asked.path},
            {"method", asked.method},
            {"echo", asked.body},
            {"authorization", std::string(asked.headers.get("Authorization"))}};
        auto answer = standins::json_response(fail ? 500 : 200, body);
        if (lose)
            answer.stream = std::make_unique<lost_answer>();
        return answer;
    }

private:
    struct lost_answer : http::body_source
    {
        state read(std::string&) override { return state::failed; }
    };

    http::response administer(const http::request& asked)
    {
        std::lock_guard lock(this->guard);
        if (asked.method == "POST")
        {
            json change = json::parse(asked.body);
            this->slow_ms = change.value("slow_ms", this->slow_ms);
            this->lose_answers =
                change.value("lose_answers", this->lose_answers);
            this->failures = change.value("fail", this->failures);
        }
        return standins::json_response(
            200, {{"total", this->total}, {"runs", this->runs}});
    }

    std::mutex guard;
    std::map<std::string, int> runs;
    int total = 0;
    int slow_ms = 0;
    int lose_answers = 0;
    int failures = 0;
};

} // namespace

int main(int argument_count, char** arguments)
{
    service served;
    return standins::serve(argument_count, arguments,
                           [&](const http::request& asked)
                           { return served.handle(asked); });
}
