#include <algorithm>
#include <condition_variable>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include "core/hash.hpp"
#include "load/expected_tokens.hpp"
#include "standin_host.hpp"

using namespace amaranthhatch;
using nlohmann::json;
using namespace std::chrono_literals;

namespace
{

using clock_type = std::chrono::steady_clock;

/// @brief The engine's speed and failure switches; POST /admin changes them.
struct switches
{
    /// Gap between tokens of a lone stream.
    double gap_ms = 10;
    /// Share by which each further stream lengthens the gap.
    double gap_slope = 0.03;
    double prefill_ms = 20;
    double prefill_ms_per_token = 0.02;
    /// Streams beyond this wait inside the engine, first come, first served.
    int seats = 64;
    double slow = 1;
    bool frozen = false;
    /// Streams that cut themselves without an end mark.
    int cut = 0;
    /// Streams that emit a token of another request.
    int cross = 0;
    int fail = 0;
    int report_lag_ms = 1000;
    std::size_t cache_prefixes = 64;
};

struct load_sample
{
    clock_type::time_point taken;
    int running = 0;
    int waiting = 0;
};

/// @brief What all streams of the engine share.
class engine
{
public:
    std::mutex guard;
    std::condition_variable changed;
    switches now;
    /// Streams started before this number have gone silent for good.
    std::uint64_t silent_before = 0;
    std::uint64_t streams_started = 0;
    int running = 0;
    std::deque<std::uint64_t> waiting;
    std::set<std::string, std::less<>> cancelled;
    std::map<std::string, int, std::less<>> starts;
    std::uint64_t tokens = 0;
    std::uint64_t cancels = 0;
    std::uint64_t cache_hits = 0;
    std::uint64_t cache_misses = 0;
    std::uint64_t cache_sequence = 0;
    std::list<std::uint64_t> cached;
    std::deque<load_sample> samples;

    std::chrono::microseconds gap() const
    {
        double factor =
            1 + this->now.gap_slope * std::max(0, this->running - 1);
        return std::chrono::microseconds(static_cast<std::int64_t>(
            this->now.gap_ms * factor * this->now.slow * 1000));
    }

    std::chrono::microseconds prefill(const std::string& prompt)
    {
        constexpr std::size_t prefix_bytes = 256;
        std::uint64_t prefix =
            core::hash(std::string_view(prompt).substr(0, prefix_bytes));
        auto found =
            std::find(this->cached.begin(), this->cached.end(), prefix);
        bool hit = found != this->cached.end();
        if (hit)
            this->cached.erase(found);
        this->cached.push_front(prefix);
        if (this->cached.size() > this->now.cache_prefixes)
            this->cached.pop_back();
        ++(hit ? this->cache_hits : this->cache_misses);
        this->cache_sequence += hit ? 0 : 1;
        constexpr double bytes_per_token = 4;
        double size = static_cast<double>(prompt.size()) / bytes_per_token;
        double work = this->now.prefill_ms +
                      (hit ? 0 : size * this->now.prefill_ms_per_token);
        return std::chrono::microseconds(
            static_cast<std::int64_t>(work * this->now.slow * 1000));
    }

    void sample()
    {
        auto taken = clock_type::now();
        this->samples.push_back(
            {taken, this->running, static_cast<int>(this->waiting.size())});
        auto lag = std::chrono::milliseconds(this->now.report_lag_ms);
        while (this->samples.size() > 1 && this->samples[1].taken < taken - lag)
            this->samples.pop_front();
    }
};

/// @brief One generation, paced by the engine's occupancy.
class generation : public http::body_source
{
public:
    generation(engine& owner, json asked) : owner(owner)
    {
        this->request = asked.at("id").get<std::string>();
        this->prompt = asked.at("prompt").get<std::string>();
        this->total = asked.at("max_tokens").get<std::uint32_t>();
        this->next = asked.value("resume_from", 0u);
        std::lock_guard lock(owner.guard);
        this->number = ++owner.streams_started;
        ++owner.starts[this->request];
        this->cut = take(owner.now.cut);
        this->cross = take(owner.now.cross);
        owner.waiting.push_back(this->number);
        owner.sample();
    }

    ~generation() override
    {
        std::lock_guard lock(this->owner.guard);
        if (this->seated)
            --this->owner.running;
        else
            std::erase(this->owner.waiting, this->number);
        this->owner.cancelled.erase(this->request);
        this->owner.sample();
        this->owner.changed.notify_all();
    }

    state read(std::string& chunk) override
    {
        std::unique_lock lock(this->owner.guard);
        if (this->finished)
            return state::end;
        if (!this->seated && !this->take_seat(lock))
            return state::failed;
        if (this->next < this->total)
        {
            if (!this->pause(lock, this->owner.gap()))
                return state::failed;
            if (this->cut && this->next * 2 >= this->total)
                return state::failed;
            chunk = this->token_event();
            ++this->owner.tokens;
            ++this->next;
            return state::data;
        }
        json last = {{"id", this->request}, {"total", this->total}};
        chunk = "data: " + last.dump() + "\n\n";
        this->finished = true;
        return state::data;
    }

private:
    static bool take(int& switched)
    {
        if (switched <= 0)
            return false;
        --switched;
        return true;
    }

    bool gone() const { return this->owner.cancelled.contains(this->request); }

    bool stopped() const
    {
        return this->owner.now.frozen ||
               this->number <= this->owner.silent_before;
    }

    bool take_seat(std::unique_lock<std::mutex>& lock)
    {
        this->owner.changed.wait(
            lock,
            [this]
            {
                bool first = !this->owner.waiting.empty() &&
                             this->owner.waiting.front() == this->number;
                return this->gone() ||
                       (first && this->owner.running < this->owner.now.seats);
            });
        if (this->gone())
            return false;
        this->owner.waiting.pop_front();
        ++this->owner.running;
        this->seated = true;
        this->owner.sample();
        this->owner.changed.notify_all();
        return this->pause(lock, this->owner.prefill(this->prompt));
    }

    // Waits a time of work; time while frozen or silent doesn't count.
    bool pause(std::unique_lock<std::mutex>& lock,
               std::chrono::microseconds work)
    {
        auto end = clock_type::now() + work;
        while (!this->gone())
        {
            if (this->stopped())
            {
                this->owner.changed.wait_for(lock, 20ms);
                end += 20ms;
                continue;
            }
            if (clock_type::now() >= end)
                return true;
            this->owner.changed.wait_until(lock, end);
        }
        return false;
    }

    std::string token_event()
    {
        bool crossed = this->cross && this->next * 2 >= this->total;
        std::string id = crossed ? "another-request" : this->request;
        json event = {{"id", id},
                      {"position", this->next},
                      {"text", load::expected_token(this->prompt, this->next)}};
        return "data: " + event.dump() + "\n\n";
    }

    engine& owner;
    std::string request;
    std::string prompt;
    std::uint32_t total = 0;
    std::uint32_t next = 0;
    std::uint64_t number = 0;
    bool seated = false;
    bool finished = false;
    bool cut = false;
    bool cross = false;
};

http::response administer(engine& owner, const http::request& asked)
{
    std::lock_guard lock(owner.guard);
    if (asked.method == "POST")
    {
        json change = json::parse(asked.body);
        auto& now = owner.now;
        now.gap_ms = change.value("gap_ms", now.gap_ms);
        now.gap_slope = change.value("gap_slope", now.gap_slope);
        now.prefill_ms = change.value("prefill_ms", now.prefill_ms);
        now.prefill_ms_per_token =
            change.value("prefill_ms_per_token", now.prefill_ms_per_token);
        now.seats = change.value("seats", now.seats);
        now.slow = change.value("slow", now.slow);
        now.frozen = change.value("frozen", now.frozen);
        now.cut = change.value("cut", now.cut);
        now.cross = change.value("cross", now.cross);
        now.fail = change.value("fail", now.fail);
        now.report_lag_ms = change.value("report_lag_ms", now.report_lag_ms);
        if (change.value("silent", false))
            owner.silent_before = owner.streams_started;
        owner.changed.notify_all();
    }
    return standins::json_response(200, {{"started", owner.streams_started},
                                         {"running", owner.running},
                                         {"waiting", owner.waiting.size()},
                                         {"tokens", owner.tokens},
                                         {"cancels", owner.cancels},
                                         {"cache_hits", owner.cache_hits},
                                         {"cache_misses", owner.cache_misses},
                                         {"starts", owner.starts}});
}

http::response report_load(engine& owner)
{
    std::lock_guard lock(owner.guard);
    owner.sample();
    const auto& old = owner.samples.front();
    return standins::json_response(
        200, {{"running", old.running}, {"waiting", old.waiting}});
}

http::response start(engine& owner, const http::request& asked)
{
    json body = json::parse(asked.body, nullptr, false);
    if (body.is_discarded() || !body.contains("prompt"))
        return standins::json_response(400, {{"error", "no prompt"}});
    bool impossible = body["prompt"].get<std::string>().find("[impossible]") !=
                      std::string::npos;
    if (impossible)
        return standins::json_response(
            422, {{"error", "this prompt can never be answered"}});
    {
        std::lock_guard lock(owner.guard);
        if (owner.now.fail > 0)
        {
            --owner.now.fail;
            return standins::json_response(500, {{"error", "engine fault"}});
        }
    }
    http::response answer;
    answer.headers.add("Content-Type", "text/event-stream");
    answer.stream = std::make_unique<generation>(owner, body);
    return answer;
}

http::response cancel(engine& owner, std::string_view request)
{
    std::lock_guard lock(owner.guard);
    ++owner.cancels;
    owner.cancelled.emplace(request);
    owner.changed.notify_all();
    return standins::json_response(200, {{"cancelled", true}});
}

} // namespace

int main(int argument_count, char** arguments)
{
    engine owner;
    return standins::serve(
        argument_count, arguments,
        [&](const http::request& asked)
        {
            auto running = standins::path_below(asked.path, "/v1/requests/");
            if (asked.path == "/admin")
                return administer(owner, asked);
            if (asked.path == "/v1/load")
                return report_load(owner);
            if (asked.path == "/v1/generate")
                return start(owner, asked);
            if (!running.empty() && asked.method == "DELETE")
                return cancel(owner, running);
            return standins::json_response(404, {{"error", "no such call"}});
        });
}
