#include "entry/batch_gateway.hpp"

#include <charconv>
#include <memory>

#include <nlohmann/json.hpp>

#include "control/control_loop.hpp"
#include "core/hash.hpp"
#include "core/members/rendezvous.hpp"
#include "logging/event.hpp"
#include "net/codec.hpp"
#include "openai/batch_input.hpp"
#include "process/program.hpp"

namespace amaranthhatch::entry
{

namespace
{

namespace messages = core::messages;

using core::milliseconds;
using core::outcome;
using core::refusal;
using nlohmann::json;

constexpr milliseconds store_limit{10'000};
constexpr milliseconds ask_limit{2'000};
constexpr std::int64_t ms_per_second = 1000;
constexpr std::string_view files_path = "/v1/files";
constexpr std::string_view batches_path = "/v1/batches";
constexpr std::string_view output_prefix = "output-";

constexpr std::string_view state_names[] = {
    "unknown", "in_progress", "waiting", "cancelled", "completed", "lost"};
constexpr std::string_view forecast_names[] = {"on_time", "at_risk",
                                               "not_doable"};

http::response json_response(const json& body)
{
    http::response answer;
    answer.headers.add("Content-Type", "application/json");
    answer.headers.add("X-Hatch-Outcome", name_of(outcome::done));
    answer.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return answer;
}

json describe(const messages::job_answer& job)
{
    const auto& about = job.description;
    auto state = std::string(state_names[static_cast<int>(job.state)]);
    auto due =
        std::string(forecast_names[static_cast<int>(job.deadline_forecast)]);
    return {{"id", about.job},
            {"object", "batch"},
            {"endpoint", about.endpoint},
            {"input_file_id", about.input_file},
            {"output_file_id", std::string(output_prefix) + about.job},
            {"status", state},
            {"created_at", about.created_unix_ms / ms_per_second},
            {"expires_at", about.due_unix_ms / ms_per_second},
            {"request_counts",
             {{"total", job.total},
              {"completed", job.completed},
              {"failed", job.failed}}},
            {"metadata",
             {{"forecast", due},
              {"forecast_end_at", job.forecast_unix_ms / ms_per_second},
              {"owner", job.owner}}}};
}

std::optional<milliseconds> parse_window(std::string_view text)
{
    struct unit
    {
        char suffix;
        std::int64_t seconds;
    };
    constexpr unit units[] = {{'s', 1}, {'m', 60}, {'h', 3600}, {'d', 86'400}};
    std::int64_t amount = 0;
    auto [end, code] =
        std::from_chars(text.data(), text.data() + text.size(), amount);
    bool one_left = end + 1 == text.data() + text.size();
    if (code != std::errc() || amount <= 0 || !one_left)
        return std::nullopt;
    for (const auto& one : units)
    {
        if (one.suffix == *end)
            return milliseconds(amount * one.seconds * ms_per_second);
    }
    return std::nullopt;
}

std::string workspace_of(const http::request& asked)
{
    auto named = asked.headers.get("X-Hatch-Workspace");
    return std::string(named.empty() ? "default" : named);
}

/// @brief A job's output, read part by part from whichever host has it.
class output_stream : public http::body_source
{
public:
    using fetch = std::function<std::optional<messages::output_answer>(
        std::uint64_t from)>;

    output_stream(messages::output_answer first, fetch next)
        : part(std::move(first)), next(std::move(next))
    {
    }

    state read(std::string& chunk) override
    {
        if (this->ended)
            return state::end;
        chunk = std::move(this->part.lines);
        if (this->part.last)
        {
            this->ended = true;
            return chunk.empty() ? state::end : state::data;
        }
        auto more = this->next(this->part.next);
        if (!more)
            return state::failed;
        this->part = std::move(*more);
        return state::data;
    }

private:
    messages::output_answer part;
    fetch next;
    bool ended = false;
};

} // namespace

batch_gateway::batch_gateway(routing::view_client& view, net::rpc_client& peers,
                             metrics::registry& metrics)
    : view(view), peers(peers), metrics(metrics)
{
}

http::response batch_gateway::refuse(const refusal_notice& notice)
{
    this->metrics.count("hatch_refusals_total", "reason",
                        name_of(notice.reason));
    return refusal_response(notice);
}

template <typename Answer, typename Request>
std::optional<Answer>
batch_gateway::ask_hosts(std::string_view key, const Request& request,
                         milliseconds limit,
                         const std::function<bool(const Answer&)>& satisfies)
{
    auto hosts = this->view.now()->batch_hosts();
    std::optional<Answer> best;
    for (const auto& host : core::members::rendezvous_order(key, hosts))
    {
        auto answer = net::decode_answer<Answer>(
            this->peers.ask(host.address, net::encode(request), limit));
        if (!answer)
            continue;
        if (satisfies(*answer))
            return answer;
        if (!best)
            best = std::move(answer);
    }
    return best;
}

http::response batch_gateway::handle(const http::request& asked)
{
    std::string_view path = asked.path;
    bool post = asked.method == "POST";
    if (path == files_path && post)
        return this->upload(asked);
    if (path == batches_path && post)
        return this->create(asked);
    if (path.starts_with(files_path) && path.ends_with("/content") && !post)
    {
        auto file = path.substr(files_path.size() + 1);
        file =
            file.substr(0, file.size() - std::string_view("/content").size());
        if (file.starts_with(output_prefix))
            return this->output(std::string(file.substr(output_prefix.size())));
        return this->content(std::string(file));
    }
    if (path.starts_with(std::string(batches_path) + "/"))
    {
        auto job = path.substr(batches_path.size() + 1);
        if (!post && job.find('/') == job.npos)
            return this->show(std::string(job), false);
        if (post && job.ends_with("/cancel"))
            return this->show(std::string(job.substr(0, job.find('/'))), true);
    }
    return this->refuse({refusal::bad_request,
                         outcome::not_run,
                         "no such path or method; see docs/CALLERS.md",
                         {}});
}

http::response batch_gateway::upload(const http::request& asked)
{
    messages::file_put put;
    put.workspace = workspace_of(asked);
    std::uint32_t items = 0;
    try
    {
        auto type = asked.headers.get("Content-Type");
        put.content = type.starts_with("multipart/form-data")
                          ? openai::file_of_form(asked.body, type)
                          : asked.body;
        items = openai::check_batch_input(put.content);
    }
    catch (const openai::bad_batch_input& error)
    {
        return this->refuse(
            {refusal::bad_request, outcome::not_run, error.what(), {}});
    }
    put.file = "file-" + core::hash_hex(put.workspace + "\n" + put.content);
    auto answer = this->ask_hosts<messages::stored_answer>(
        put.file, put, store_limit,
        [](const messages::stored_answer& one) { return one.stored; });
    if (!answer || !answer->stored)
        return this->refuse(
            {refusal::no_second_copy, outcome::not_run, {}, {}});
    return json_response({{"id", put.file},
                          {"object", "file"},
                          {"bytes", put.content.size()},
                          {"purpose", "batch"},
                          {"items", items}});
}

http::response batch_gateway::content(const std::string& file)
{
    auto answer = this->ask_hosts<messages::file_answer>(
        file, messages::file_get{file}, store_limit,
        [](const messages::file_answer& one) { return one.found; });
    if (!answer || !answer->found)
        return this->refuse({refusal::unknown_job, outcome::not_run, file, {}});
    http::response out;
    out.headers.add("Content-Type", "application/jsonl");
    out.body = std::move(answer->content);
    return out;
}

http::response batch_gateway::output(const std::string& job)
{
    auto fetch = [this, job](std::uint32_t from)
    {
        auto answer = this->ask_hosts<messages::output_answer>(
            job, messages::output_request{job, from}, ask_limit,
            [](const messages::output_answer& one) { return one.found; });
        return answer && answer->found
                   ? answer
                   : std::optional<messages::output_answer>();
    };
    auto first = fetch(0);
    if (!first)
        return this->refuse({refusal::unknown_job, outcome::not_run, job, {}});
    http::response out;
    out.headers.add("Content-Type", "application/jsonl");
    out.stream = std::make_unique<output_stream>(std::move(*first), fetch);
    return out;
}

http::response batch_gateway::create(const http::request& asked)
{
    json body = json::parse(asked.body, nullptr, false);
    bool valid = body.is_object() && body.contains("input_file_id") &&
                 body["input_file_id"].is_string();
    if (!valid)
        return this->refuse({refusal::bad_request,
                             outcome::not_run,
                             "\"input_file_id\" must be a string",
                             {}});
    auto view_now = this->view.now();
    messages::job_submit submit;
    submit.workspace = workspace_of(asked);
    submit.work_class = asked.headers.get("X-Hatch-Class");
    submit.endpoint = body.value("endpoint", "/v1/completions");
    submit.input_file = body["input_file_id"].get<std::string>();
    submit.created_unix_ms = control::unix_now_ms();
    const core::configuration::work_class* by = nullptr;
    for (const auto& one : view_now->declared.classes)
    {
        bool named = submit.work_class.empty() || one.name == submit.work_class;
        if (by == nullptr && named && one.kind == messages::work_kind::batch)
            by = &one;
    }
    if (view_now->revision == 0)
        return this->refuse(
            {refusal::not_configured, outcome::not_run, {}, {}});
    if (by == nullptr)
        return this->refuse({refusal::unknown_class,
                             outcome::not_run,
                             "no batch class of this name is declared",
                             {}});
    submit.work_class = by->name;
    auto window = by->completion_window;
    if (body.contains("completion_window"))
    {
        auto parsed =
            body["completion_window"].is_string()
                ? parse_window(body["completion_window"].get<std::string>())
                : std::nullopt;
        if (!parsed)
            return this->refuse({refusal::bad_request,
                                 outcome::not_run,
                                 "\"completion_window\" must be a time such "
                                 "as \"24h\"",
                                 {}});
        window = *parsed;
    }
    submit.due_unix_ms = submit.created_unix_ms + window.count();
    std::string key(asked.headers.get("Idempotency-Key"));
    if (key.empty())
        key = process::random_text();
    submit.job = "batch_" + core::hash_hex(submit.workspace + "\n" + key);
    auto answer = this->ask_hosts<messages::submit_answer>(
        submit.job, submit, store_limit,
        [](const messages::submit_answer& one)
        {
            return one.accepted || one.reason == refusal::bad_request ||
                   one.reason == refusal::unknown_job;
        });
    if (!answer)
        return this->refuse(
            {refusal::no_second_copy, outcome::unknown, {}, {}});
    if (!answer->accepted)
        return this->refuse(
            {answer->reason, answer->execution, answer->detail, {}});
    return this->show(submit.job, false);
}

std::optional<messages::job_answer>
batch_gateway::find_job(const std::string& job, bool cancel)
{
    return this->ask_hosts<messages::job_answer>(
        job, messages::job_request{job, cancel}, ask_limit,
        [&](const messages::job_answer& one)
        {
            bool cancelled = one.state == messages::job_state::cancelled ||
                             one.state == messages::job_state::finished;
            return one.authoritative && (!cancel || cancelled);
        });
}

http::response batch_gateway::show(const std::string& job, bool cancel)
{
    auto answer = this->find_job(job, cancel);
    if (!answer || !answer->found)
        return this->refuse({refusal::unknown_job, outcome::not_run, job, {}});
    bool stopped = answer->state == messages::job_state::cancelled ||
                   answer->state == messages::job_state::finished;
    if (cancel && !stopped)
        return this->refuse({refusal::store_unreachable,
                             outcome::unknown,
                             "the cancel may take effect; ask again",
                             {}});
    return json_response(describe(*answer));
}

} // namespace amaranthhatch::entry
