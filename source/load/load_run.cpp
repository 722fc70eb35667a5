#include "load/load_run.hpp"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>

#include <nlohmann/json.hpp>

#include "http/client.hpp"
#include "load/expected_tokens.hpp"

namespace amaranthhatch::load
{

namespace
{

using clock_type = std::chrono::steady_clock;
using core::milliseconds;
using nlohmann::json;

constexpr milliseconds request_limit{120'000};
constexpr milliseconds pump_step{200};
constexpr milliseconds health_limit{400};
constexpr milliseconds health_interval{200};
constexpr std::string_view data_mark = "data: ";
constexpr int status_ok = 200;

double ms_since(clock_type::time_point start)
{
    return std::chrono::duration<double, std::milli>(clock_type::now() - start)
        .count();
}

/// @brief The outcome of one request.
struct request_result
{
    enum class kind
    {
        whole,
        refused,
        failed,
        cut,
        doubled,
        crossed,
        unreached
    };

    kind ended = kind::unreached;
    double first_token_ms = 0;
    double answer_ms = 0;
    std::vector<double> gaps_ms;
};

/// @brief Reads one streamed answer and compares it token by token.
class answer_check
{
public:
    answer_check(const planned_request& request, const load_stream& stream)
        : request(request), stream(stream), started(clock_type::now())
    {
    }

    void take(const std::string& bytes)
    {
        this->buffer += bytes;
        std::size_t end = 0;
        while ((end = this->buffer.find('\n')) != std::string::npos)
        {
            std::string line = this->buffer.substr(0, end);
            this->buffer.erase(0, end + 1);
            if (line.starts_with(data_mark))
                this->event(line.substr(data_mark.size()));
        }
    }

    request_result finish(const http::reply& reply)
    {
        using kind = request_result::kind;
        this->result.answer_ms = ms_since(this->started);
        if (reply.reached == http::progress::not_sent)
            this->result.ended = kind::unreached;
        else if (reply.status != status_ok && reply.status != 0)
            this->result.ended = kind::refused;
        else if (this->wrong)
            this->result.ended = this->wrong_kind;
        else if (this->error || reply.reached != http::progress::answered ||
                 !this->end_mark)
            this->result.ended = kind::failed;
        else
            this->result.ended =
                this->tokens == this->stream.tokens ? kind::whole : kind::cut;
        return std::move(this->result);
    }

private:
    void event(const std::string& text)
    {
        if (text == "[DONE]")
        {
            this->end_mark = true;
            return;
        }
        json parsed = json::parse(text, nullptr, false);
        if (parsed.is_discarded() || parsed.contains("error"))
        {
            this->error = true;
            return;
        }
        std::string got = parsed["choices"][0].value("text", "");
        if (!got.empty())
            this->token(got);
    }

    void token(const std::string& got)
    {
        auto now = clock_type::now();
        if (this->tokens == 0)
            this->result.first_token_ms = ms_since(this->started);
        else
            this->result.gaps_ms.push_back(
                std::chrono::duration<double, std::milli>(now - this->last)
                    .count());
        this->last = now;
        if (got != expected_token(this->request.prompt, this->tokens))
        {
            bool again =
                this->tokens > 0 &&
                got == expected_token(this->request.prompt, this->tokens - 1);
            this->wrong = true;
            this->wrong_kind = again ? request_result::kind::doubled
                                     : request_result::kind::crossed;
        }
        ++this->tokens;
    }

    const planned_request& request;
    const load_stream& stream;
    clock_type::time_point started;
    clock_type::time_point last;
    std::string buffer;
    std::uint32_t tokens = 0;
    bool end_mark = false;
    bool error = false;
    bool wrong = false;
    request_result::kind wrong_kind = request_result::kind::crossed;
    request_result result;
};

/// @brief Knows which entries are ready, as a balancer's health check does.
class entry_health
{
public:
    explicit entry_health(const std::vector<std::string>& entries)
        : entries(entries), ready(entries.size())
    {
        this->check();
        this->thread = std::thread([this] { this->run(); });
    }

    ~entry_health()
    {
        this->stopping = true;
        this->thread.join();
    }

    /// @brief Ready entries from a turn on; all where none is ready.
    std::vector<std::string> from(std::size_t turn) const
    {
        std::vector<std::string> order;
        for (bool wanted : {true, false})
        {
            for (std::size_t step = 0; step < this->entries.size(); ++step)
            {
                std::size_t index = (turn + step) % this->entries.size();
                if (this->ready[index] == wanted)
                    order.push_back(this->entries[index]);
            }
        }
        return order;
    }

private:
    void check()
    {
        for (std::size_t index = 0; index < this->entries.size(); ++index)
        {
            http::call call;
            call.url = "http://" + this->entries[index] + "/healthz";
            call.connect_limit = health_limit;
            call.total_limit = health_limit;
            this->ready[index] = http::perform(call).status == status_ok;
        }
    }

    void run()
    {
        while (!this->stopping)
        {
            this->check();
            std::this_thread::sleep_for(health_interval);
        }
    }

    const std::vector<std::string>& entries;
    std::vector<std::atomic<bool>> ready;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

request_result send_one(const load_plan& plan, const planned_request& request,
                        const std::vector<std::string>& entries)
{
    const auto& stream = plan.streams[request.stream];
    answer_check check(request, stream);
    http::call call;
    call.method = "POST";
    call.headers.add("Content-Type", "application/json");
    call.headers.add("X-Hatch-Class", stream.work_class);
    call.body = json({{"model", plan.model},
                      {"prompt", request.prompt},
                      {"max_tokens", stream.tokens},
                      {"stream", true}})
                    .dump();
    call.total_limit = request_limit;
    http::reply last;
    for (const auto& entry : entries)
    {
        call.url = "http://" + entry + "/v1/completions";
        http::stream transfer(call);
        while (!transfer.ended())
        {
            transfer.pump(pump_step);
            check.take(transfer.take());
        }
        last = transfer.result();
        if (last.reached != http::progress::not_sent)
            break;
    }
    return check.finish(last);
}

void add(stream_report& to, const request_result& from)
{
    using kind = request_result::kind;
    ++to.sent;
    to.whole += from.ended == kind::whole ? 1 : 0;
    to.refused += from.ended == kind::refused ? 1 : 0;
    to.failed += from.ended == kind::failed ? 1 : 0;
    to.cut += from.ended == kind::cut ? 1 : 0;
    to.doubled += from.ended == kind::doubled ? 1 : 0;
    to.crossed += from.ended == kind::crossed ? 1 : 0;
    to.unreached += from.ended == kind::unreached ? 1 : 0;
    if (from.ended != kind::whole)
        return;
    to.first_token_ms.push_back(from.first_token_ms);
    to.answer_ms.push_back(from.answer_ms);
    to.gap_ms.insert(to.gap_ms.end(), from.gaps_ms.begin(), from.gaps_ms.end());
}

} // namespace

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    auto rank = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1) + 0.5);
    auto at = values.begin() + static_cast<long>(rank);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

load_report run_load(const load_plan& plan,
                     const std::vector<std::string>& entries)
{
    load_report report;
    for (const auto& stream : plan.streams)
    {
        stream_report one;
        one.name = stream.name;
        report.streams.push_back(std::move(one));
    }
    auto requests = schedule(plan);
    entry_health health(entries);
    std::mutex guard;
    std::vector<std::thread> threads;
    threads.reserve(requests.size());
    auto started = clock_type::now();
    for (std::size_t index = 0; index < requests.size(); ++index)
    {
        const auto& request = requests[index];
        std::this_thread::sleep_until(started + request.at);
        threads.emplace_back(
            [&, index]
            {
                auto result =
                    send_one(plan, requests[index], health.from(index));
                if (requests[index].at < plan.warm_up)
                    return;
                std::lock_guard lock(guard);
                add(report.streams[requests[index].stream], result);
            });
    }
    for (auto& thread : threads)
        thread.join();
    report.seconds = ms_since(started) / 1000;
    return report;
}

std::string report_json(const load_report& report)
{
    json streams = json::array();
    for (const auto& one : report.streams)
        streams.push_back({{"name", one.name},
                           {"sent", one.sent},
                           {"whole", one.whole},
                           {"refused", one.refused},
                           {"failed", one.failed},
                           {"cut", one.cut},
                           {"doubled", one.doubled},
                           {"crossed", one.crossed},
                           {"unreached", one.unreached},
                           {"first_token_ms",
                            {{"p50", quantile(one.first_token_ms, 0.5)},
                             {"p95", quantile(one.first_token_ms, 0.95)},
                             {"p99", quantile(one.first_token_ms, 0.99)}}},
                           {"answer_ms",
                            {{"p50", quantile(one.answer_ms, 0.5)},
                             {"p95", quantile(one.answer_ms, 0.95)},
                             {"p99", quantile(one.answer_ms, 0.99)}}},
                           {"gap_ms",
                            {{"p50", quantile(one.gap_ms, 0.5)},
                             {"p95", quantile(one.gap_ms, 0.95)},
                             {"p99", quantile(one.gap_ms, 0.99)}}}});
    return json({{"seconds", report.seconds}, {"streams", streams}}).dump(2);
}

std::string report_table(const load_report& report)
{
    std::string text =
        "stream            sent  whole refused failed  cut doubled crossed "
        "unreached  first token ms p50/p99   answer ms p50/p99  gap ms "
        "p50/p95\n";
    for (const auto& one : report.streams)
    {
        char line[256];
        std::snprintf(
            line, sizeof line,
            "%-16s %5u %6u %7u %6u %4u %7u %7u %9u  %11.0f /%8.0f  %8.0f "
            "/%8.0f %7.1f /%6.1f\n",
            one.name.c_str(), one.sent, one.whole, one.refused, one.failed,
            one.cut, one.doubled, one.crossed, one.unreached,
            quantile(one.first_token_ms, 0.5),
            quantile(one.first_token_ms, 0.99), quantile(one.answer_ms, 0.5),
            quantile(one.answer_ms, 0.99), quantile(one.gap_ms, 0.5),
            quantile(one.gap_ms, 0.95));
        text += line;
    }
    return text;
}

std::uint32_t broken_answers(const load_report& report)
{
    std::uint32_t count = 0;
    for (const auto& one : report.streams)
        count += one.cut + one.doubled + one.crossed;
    return count;
}

} // namespace amaranthhatch::load
