#include <sys/socket.h>

#include <atomic>
#include <charconv>
#include <chrono>
#include <filesystem>
#include <map>
#include <mutex>
#include <thread>

#include "standin_host.hpp"

using namespace amaranthhatch;
using nlohmann::json;

namespace
{

/// @brief Switches and counts of the worker.
struct worker_state
{
    // Held again by the streams that a call makes.
    std::recursive_mutex guard;
    std::string id = "i-1";
    int events = 10;
    int event_ms = 10;
    /// Streams to break off in the middle of an event.
    int cut = 0;
    /// Whole answers without events to give to requests that resume a stream.
    int resume_errors = 0;
    int resume_status = 500;
    /// Whether it refuses requests that don't resume a stream.
    bool resumes_only = false;
    /// Answers to give without a signature.
    int unsigned_answers = 0;
    /// Answers that bear another request's id.
    int crossed = 0;
    /// Answers whose first event never ends.
    int endless_events = 0;
    /// Answers without a signature whose body never ends.
    int endless_unsigned = 0;
    bool full = false;
    /// Answers to give with this status, without running the request.
    int errors = 0;
    int error_status = 0;
    /// Lines of the header in which a worker says with all its answers that it
    /// leaves; none: it says nothing.
    std::vector<std::string> leaving;
    /// Requests that reached the worker, also those that it refused.
    int received = 0;
    /// The part of a prompt that crashes the worker; empty: none.
    std::string deadly;
    /// The body of requests that crash the worker; empty: none.
    std::string deadly_body;
    /// Whether the crash comes behind the head of the answer.
    bool deadly_after_head = false;
    /// Time from a deadly request's arrival to the crash.
    int prefill_ms = 30;
    /// Whether the worker only closes its connections and goes on.
    bool deadly_resets = false;
    /// Until when it starts again after a crash and runs nothing.
    std::chrono::steady_clock::time_point starting_until;
    int deadly_runs = 0;
    int crashes = 0;
    /// Runs by request id.
    std::map<std::string, int> runs;
    /// What each run was asked with.
    std::map<std::string, json> asked;
    int running = 0;
};

class event_source : public http::body_source
{
public:
    event_source(worker_state& shared, std::string id, int first, int last,
                 int gap_ms, bool cut)
        : shared(shared), id(std::move(id)), next(first), last(last),
          gap_ms(gap_ms), cut(cut)
    {
        std::lock_guard lock(this->shared.guard);
        this->shared.running++;
    }

    ~event_source() override
    {
        std::lock_guard lock(this->shared.guard);
        this->shared.running--;
    }

    state read(std::string& chunk) override
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(this->gap_ms));
        if (this->cut && this->next > this->last / 2)
        {
            if (this->half)
                return state::failed;
            this->half = true;
            chunk = "id: " + std::to_string(this->next) + "\nda";
            return state::data;
        }
        if (this->next > this->last)
            return state::end;
        auto number = std::to_string(this->next++);
        chunk = "id: " + number + "\ndata: " + this->id + "-" + number + "\n\n";
        return state::data;
    }

private:
    worker_state& shared;
    std::string id;
    int next;
    int last;
    int gap_ms;
    bool cut;
    bool half = false;
};

/// @brief A body that goes on until its reader closes the connection.
class endless_source : public http::body_source
{
public:
    state read(std::string& chunk) override
    {
        constexpr std::size_t block_bytes = 16u << 10;
        chunk = this->begun ? "" : "id: 1\ndata: ";
        this->begun = true;
        chunk += std::string(block_bytes, 'x');
        return state::data;
    }

private:
    bool begun = false;
};

/// @brief Prefills, then closes all connections but the listening socket, as
/// the end of the process does.
void crash(worker_state& shared)
{
    constexpr std::chrono::milliseconds restart{3000};
    std::unique_lock lock(shared.guard);
    std::chrono::milliseconds prefill(shared.prefill_ms);
    lock.unlock();
    std::this_thread::sleep_for(prefill);
    lock.lock();
    shared.crashes++;
    if (!shared.deadly_resets)
        shared.starting_until = std::chrono::steady_clock::now() + restart;
    for (const auto& open :
         std::filesystem::directory_iterator("/proc/self/fd"))
    {
        int file = std::stoi(open.path().filename().string());
        int listening = 0;
        socklen_t size = sizeof listening;
        if (getsockopt(file, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) ==
                0 &&
            listening == 0)
            shutdown(file, SHUT_RDWR);
    }
}

/// @brief A body that crashes the worker before its first event.
class crash_source : public http::body_source
{
public:
    explicit crash_source(worker_state& shared) : shared(shared) {}

    state read(std::string&) override
    {
        crash(this->shared);
        return state::failed;
    }

private:
    worker_state& shared;
};

/// @brief A model worker of the platform, with switches for its failures.
class platform_worker
{
public:
    http::response handle(const http::request& asked)
    {
        if (asked.path == "/admin")
            return this->administer(asked);
        auto answer =
            asked.path == "/healthz" ? this->health() : this->answer_to(asked);
        std::lock_guard lock(this->state.guard);
        for (const auto& line : this->state.leaving)
            answer.headers.add("Server-Leaving", line);
        return answer;
    }

private:
    http::response health()
    {
        std::lock_guard lock(this->state.guard);
        auto answer = standins::json_response(
            this->state.leaving.empty() ? 200 : 503, json::object());
        answer.headers.add("Instance-Id", this->state.id);
        return answer;
    }

    http::response answer_to(const http::request& asked)
    {
        std::unique_lock lock(this->state.guard);
        this->state.received++;
        std::string id(asked.headers.get("Request-Id"));
        auto target = asked.headers.get("Target-Instance");
        if (!target.empty() && target != this->state.id)
            return refusal(421, "another", id);
        bool starting =
            std::chrono::steady_clock::now() < this->state.starting_until;
        bool refused = this->state.resumes_only &&
                       asked.headers.get("Last-Event-Id").empty();
        if (this->state.full || starting || refused)
            return refusal(503, "full", id);
        auto answer = this->run(asked, id);
        bool deadly = this->contains_deadly(asked.headers.get("Prompt-Prefix"));
        deadly = deadly || (!this->state.deadly_body.empty() &&
                            asked.body == this->state.deadly_body);
        if (!deadly)
            return answer;
        this->state.deadly_runs++;
        if (this->state.deadly_after_head)
        {
            answer.stream = std::make_unique<crash_source>(this->state);
            return answer;
        }
        lock.unlock();
        crash(this->state);
        return answer;
    }

    static http::response refusal(int status, const std::string& reason,
                                  const std::string& id)
    {
        auto answer = standins::json_response(status, {{"error", reason}});
        answer.headers.add("Request-Id", id);
        if (status == 503)
            answer.headers.add("Not-Executed", "1");
        return answer;
    }

    bool contains_deadly(std::string_view prompt) const
    {
        auto comma = prompt.rfind(',');
        if (this->state.deadly.empty() || comma == prompt.npos)
            return false;
        auto shared_parts = "," + std::string(prompt.substr(0, comma));
        return shared_parts.find("," + this->state.deadly + ":") !=
               shared_parts.npos;
    }

    http::response run(const http::request& asked, const std::string& id)
    {
        this->state.runs[id]++;
        this->state.asked[id] = {{"target", asked.target},
                                 {"body", asked.body},
                                 {"host", asked.headers.get("Host")},
                                 {"model", asked.headers.get("Model")},
                                 {"deadline", asked.headers.get("Deadline-Ms")},
                                 {"last", asked.headers.get("Last-Event-Id")},
                                 {"tenant", asked.headers.get("Tenant-Id")},
                                 {"key", asked.headers.get("Authorization")}};
        http::response answer;
        bool crossed = this->state.crossed > 0;
        this->state.crossed -= crossed ? 1 : 0;
        answer.headers.add("Request-Id", crossed ? "another" : id);
        bool endless_unsigned = this->state.endless_unsigned > 0;
        this->state.endless_unsigned -= endless_unsigned ? 1 : 0;
        bool endless_event = this->state.endless_events > 0;
        this->state.endless_events -= endless_event ? 1 : 0;
        bool unsigned_answer =
            this->state.unsigned_answers > 0 || endless_unsigned;
        this->state.unsigned_answers -=
            this->state.unsigned_answers > 0 ? 1 : 0;
        if (!unsigned_answer)
            answer.headers.add("Response-Signature", "signed-" + id);
        if (this->state.errors > 0)
        {
            this->state.errors--;
            answer.status = this->state.error_status;
            answer.body = "no";
            return answer;
        }
        if (asked.body == "impossible" || asked.body == "failing")
        {
            answer.status = asked.body == "impossible" ? 422 : 500;
            answer.body = "no";
            return answer;
        }
        int first = 1;
        auto last = asked.headers.get("Last-Event-Id");
        if (!last.empty() && this->state.resume_errors > 0)
        {
            this->state.resume_errors--;
            answer.status = this->state.resume_status;
            return answer;
        }
        std::from_chars(last.data(), last.data() + last.size(), first);
        first += last.empty() ? 0 : 1;
        bool cut = this->state.cut > 0;
        this->state.cut -= cut ? 1 : 0;
        answer.headers.add("Content-Type", "text/event-stream");
        if (endless_event || endless_unsigned)
        {
            answer.stream = std::make_unique<endless_source>();
            return answer;
        }
        answer.stream = std::make_unique<event_source>(
            this->state, id, first, this->state.events, this->state.event_ms,
            cut);
        return answer;
    }

    http::response administer(const http::request& asked)
    {
        std::lock_guard lock(this->state.guard);
        if (asked.method == "POST")
        {
            json change = json::parse(asked.body);
            this->state.id = change.value("id", this->state.id);
            this->state.events = change.value("events", this->state.events);
            this->state.event_ms =
                change.value("event_ms", this->state.event_ms);
            this->state.cut = change.value("cut", this->state.cut);
            this->state.resume_errors =
                change.value("resume_errors", this->state.resume_errors);
            this->state.resume_status =
                change.value("resume_status", this->state.resume_status);
            this->state.resumes_only =
                change.value("resumes_only", this->state.resumes_only);
            this->state.unsigned_answers =
                change.value("unsigned", this->state.unsigned_answers);
            this->state.crossed = change.value("crossed", this->state.crossed);
            this->state.endless_events =
                change.value("endless_event", this->state.endless_events);
            this->state.endless_unsigned =
                change.value("endless_unsigned", this->state.endless_unsigned);
            this->state.full = change.value("full", this->state.full);
            this->state.errors = change.value("errors", this->state.errors);
            this->state.error_status =
                change.value("error_status", this->state.error_status);
            this->state.leaving = change.value("leaving", this->state.leaving);
            this->state.deadly = change.value("deadly", this->state.deadly);
            this->state.deadly_body =
                change.value("deadly_body", this->state.deadly_body);
            this->state.deadly_after_head = change.value(
                "deadly_after_head", this->state.deadly_after_head);
            this->state.prefill_ms =
                change.value("prefill_ms", this->state.prefill_ms);
            this->state.deadly_resets =
                change.value("deadly_resets", this->state.deadly_resets);
        }
        return standins::json_response(
            200, {{"runs", this->state.runs},
                  {"resume_errors", this->state.resume_errors},
                  {"asked", this->state.asked},
                  {"running", this->state.running},
                  {"received", this->state.received},
                  {"errors", this->state.errors},
                  {"deadly_runs", this->state.deadly_runs},
                  {"crashes", this->state.crashes},
                  {"starting", std::chrono::steady_clock::now() <
                                   this->state.starting_until}});
    }

    worker_state state;
};

} // namespace

int main(int argument_count, char** arguments)
{
    platform_worker served;
    return standins::serve(argument_count, arguments,
                           [&](const http::request& asked)
                           { return served.handle(asked); });
}
