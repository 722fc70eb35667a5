#include "entry/completion_handler.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include "core/hash.hpp"
#include "entry/refusal_response.hpp"
#include "logging/event.hpp"
#include "process/program.hpp"

namespace amaranthhatch::entry
{

namespace
{

using core::milliseconds;
using core::outcome;
using core::refusal;
using routing::generation_run;

constexpr milliseconds pump_wait{20};
constexpr std::size_t prefix_bytes = 256;
constexpr std::size_t bytes_per_token = 4;

/// @brief A running generation with what must live as long as it does.
struct running_completion
{
    std::string id;
    openai::completion_request request;
    std::unique_ptr<generation_run> run;
    workspace_limits::place place;
    std::vector<adapters::token> first_tokens;
    generation_run::state state = generation_run::state::running;
};

refusal_notice notice_of(const generation_run& run)
{
    return {run.reason(), run.known(), run.detail(), run.retry_after()};
}

class completion_stream : public http::body_source
{
public:
    completion_stream(std::unique_ptr<running_completion> started,
                      metrics::registry& metrics)
        : running(std::move(started)), metrics(metrics)
    {
    }

    state read(std::string& chunk) override
    {
        if (this->ended)
            return this->failed ? state::failed : state::end;
        auto tokens = std::exchange(this->running->first_tokens, {});
        while (tokens.empty() &&
               this->running->state == generation_run::state::running)
            this->running->state = this->running->run->pump(pump_wait, tokens);
        for (const auto& one : tokens)
            chunk += openai::completion_event(
                this->running->request, this->running->id, one.text, false);
        if (this->running->state != generation_run::state::running)
            this->finish(chunk);
        return state::data;
    }

private:
    // A failed stream gets an error event and no end mark, and the connection
    // is closed short, so that nobody takes it for whole.
    void finish(std::string& chunk)
    {
        this->ended = true;
        if (this->running->state == generation_run::state::done)
        {
            chunk += openai::completion_event(this->running->request,
                                              this->running->id, "", true);
            chunk += "data: [DONE]\n\n";
            this->metrics.count("hatch_answers_total", "kind", "streamed");
            return;
        }
        this->failed = true;
        auto notice = notice_of(*this->running->run);
        chunk += refusal_event(notice);
        this->metrics.count("hatch_refusals_total", "reason",
                            name_of(notice.reason));
        logging::event(logging::level::warning, "stream_failed")
            .with("request", this->running->id)
            .with("reason", name_of(notice.reason))
            .with("outcome", name_of(notice.known));
    }

    std::unique_ptr<running_completion> running;
    metrics::registry& metrics;
    bool ended = false;
    bool failed = false;
};

} // namespace

const core::configuration::work_class*
choose_class(const core::configuration::declarations& declared,
             const core::configuration::model& model, std::string_view wanted)
{
    auto serves = [&](const std::string& name)
    {
        const auto* found = declared.find_class(name);
        return found != nullptr &&
               found->kind == core::messages::work_kind::online &&
               (wanted.empty() || name == wanted);
    };
    auto found =
        std::find_if(model.classes.begin(), model.classes.end(), serves);
    return found == model.classes.end() ? nullptr : declared.find_class(*found);
}

core::messages::want_slot want_for(const core::configuration::work_class& by,
                                   std::uint32_t expected_tokens,
                                   std::string_view prompt)
{
    core::messages::want_slot want;
    want.kind = by.kind;
    want.rank = by.rank;
    want.expected_tokens = expected_tokens;
    want.prompt_tokens =
        static_cast<std::uint32_t>(prompt.size() / bytes_per_token);
    want.prefix = core::hash(prompt.substr(0, prefix_bytes));
    want.first_token_ms = static_cast<std::uint32_t>(by.first_token.count());
    want.token_gap_ms = static_cast<std::uint32_t>(by.token_gap.count());
    return want;
}

completion_handler::completion_handler(routing::generation_tools tools,
                                       routing::view_client& view,
                                       workspace_limits& limits,
                                       metrics::registry& metrics)
    : tools(tools), view(view), limits(limits), metrics(metrics)
{
}

http::response completion_handler::handle(const http::request& asked, bool chat)
{
    openai::completion_request request;
    try
    {
        request = openai::parse_completion(asked.body, chat);
    }
    catch (const openai::bad_completion& error)
    {
        return refusal_response(
            {refusal::bad_request, outcome::not_run, error.what(), {}});
    }
    auto view_now = this->view.now();
    const auto& declared = view_now->declared;
    if (view_now->revision == 0)
        return refusal_response(
            {refusal::not_configured, outcome::not_run, {}, {}});
    const auto* model = declared.find_model(request.model);
    if (model == nullptr)
        return refusal_response(
            {refusal::unknown_model, outcome::not_run, request.model, {}});
    if (request.max_tokens > model->max_tokens)
        return refusal_response(
            {refusal::bad_request,
             outcome::not_run,
             "\"max_tokens\" is over the model's limit of " +
                 std::to_string(model->max_tokens),
             {}});
    const auto* by =
        choose_class(declared, *model, asked.headers.get("X-Hatch-Class"));
    if (by == nullptr)
        return refusal_response({refusal::unknown_class,
                                 outcome::not_run,
                                 asked.headers.get("X-Hatch-Class"),
                                 {}});
    return this->run(asked, request, *by);
}

http::response
completion_handler::run(const http::request& asked,
                        const openai::completion_request& request,
                        const core::configuration::work_class& by)
{
    auto running = std::make_unique<running_completion>();
    running->id =
        (request.chat ? "chatcmpl-" : "cmpl-") + process::random_text();
    running->request = request;
    auto workspace = asked.headers.get("X-Hatch-Workspace");
    running->place = this->limits.enter(this->view.now()->declared, workspace);
    if (!running->place)
        return refusal_response({refusal::queue_full,
                                 outcome::not_run,
                                 "the workspace's limit is reached",
                                 {}});
    adapters::generation generation;
    generation.request = running->id;
    generation.model = request.model;
    generation.prompt = request.prompt;
    generation.max_tokens = request.max_tokens;
    generation.authorization = asked.headers.get("Authorization");
    routing::slot_request wanted{
        request.model, want_for(by, request.max_tokens, request.prompt)};
    running->run = std::make_unique<generation_run>(
        this->tools, generation, wanted, by.deadline, by.deadline);
    // The status line waits for the first token, so that a request that can't
    // be placed gets a proper refusal; a whole answer waits for the last one.
    std::string text;
    bool more = true;
    while (running->state == generation_run::state::running && more)
    {
        running->state = running->run->pump(pump_wait, running->first_tokens);
        more = !request.stream || running->first_tokens.empty();
    }
    if (running->state == generation_run::state::failed)
    {
        auto notice = notice_of(*running->run);
        this->metrics.count("hatch_refusals_total", "reason",
                            name_of(notice.reason));
        return refusal_response(notice);
    }
    http::response answer;
    answer.headers.add("X-Request-Id", running->id);
    answer.headers.add("X-Hatch-Outcome", name_of(outcome::done));
    if (request.stream)
    {
        answer.headers.add("Content-Type", "text/event-stream");
        answer.headers.add("Cache-Control", "no-cache");
        answer.stream = std::make_unique<completion_stream>(std::move(running),
                                                            this->metrics);
        return answer;
    }
    answer.headers.add("Content-Type", "application/json");
    answer.body = completion_body(request, running->id, running->run->text(),
                                  running->run->received());
    this->metrics.count("hatch_answers_total", "kind", "whole");
    return answer;
}

} // namespace amaranthhatch::entry
