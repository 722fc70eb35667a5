#include "batches/item_run.hpp"

#include "forward/leaving_answer.hpp"
#include "host/boot_clock.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::batches
{

using core::endpoints::run_outcome;

namespace
{

// Endpoints send an event every few tens of milliseconds. The first event may
// take longer, as the run can wait in the endpoint's queue while it processes
// other requests.
constexpr core::milliseconds first_event_limit{2500};
constexpr core::milliseconds next_event_limit{1000};
// Share of the longest response that the events of one item may take, so that
// the items of many runs fit into the memory.
constexpr std::size_t item_share = 4;
constexpr std::string_view memory_detail = "memory_over_limit";
constexpr std::string_view event_detail = "event_over_limit";

} // namespace

item_run::item_run(item_scheduler& scheduler, std::string job,
                   std::uint32_t item, const core::batches::item& content,
                   std::string authority,
                   const core::endpoints::endpoint& chosen, int patience,
                   std::shared_ptr<host::trial_permit> trial)
    : scheduler(scheduler), job_id(std::move(job)), item_number(item),
      content(content), authority(std::move(authority)), endpoint_id(chosen.id),
      address(chosen.address), patience(patience), trial(std::move(trial))
{
    const auto* log = scheduler.jobs.find(this->job_id);
    this->accepted_record = log->records().front();
    this->prompt = {content.id, chosen.id, chosen.started_ms, chosen.service,
                    scheduler.shared_parts(content)};
}

// True for headers of the item that the endpoint doesn't get, or gets with
// another value.
bool item_run::is_replaced(std::string_view header) const
{
    const auto& names = this->scheduler.names;
    auto is = [header](std::string_view name)
    { return http::header_list::same_name(header, name); };
    const auto* table = this->scheduler.routes();
    bool keys_required =
        table != nullptr && table->workspaces().keys_required();
    bool has_workspace = !this->accepted_record->accepted->workspace.empty();
    if ((keys_required || has_workspace) &&
        (is(names.credentials) || is(names.workspace)))
        return true;
    return is(names.request_id) || is("Host");
}

void item_run::start()
{
    const auto& names = this->scheduler.names;
    const auto& previous =
        this->scheduler.progress_of(this->job_id, this->item_number).events;
    http::client_request request;
    request.method = "POST";
    request.target = this->content.target;
    request.headers.add("Host", this->authority);
    request.headers.add(names.request_id, this->content.id);
    for (const auto& [name, value] : this->content.headers)
        if (!this->is_replaced(name))
            request.headers.add(name, value);
    const auto& workspace = this->accepted_record->accepted->workspace;
    if (!workspace.empty())
        request.headers.add(names.workspace, workspace);
    request.headers.add(names.target_instance, this->endpoint_id);
    if (!previous.last_id.empty())
        request.headers.add("Last-Event-Id", previous.last_id);
    request.body = std::make_shared<const std::string>(this->content.body);
    request.body_limit = this->scheduler.runtime.settings().response_bytes;
    request.echoed_header = names.request_id;
    auto now = host::boot_now();
    this->started = now;
    this->last_event = now;
    this->prompt.sent_at = now;
    if (this->trial)
        this->trial->begin(this->prompt);
    auto& runtime = this->scheduler.runtime;
    this->event_bytes = previous.bytes();
    std::weak_ptr<item_run> weak = this->shared_from_this();
    this->held_bytes = std::make_unique<http::response_budget::share>(
        runtime.response_budget(),
        [weak]
        {
            if (auto running = weak.lock())
                running->update_flow();
        },
        [weak]
        {
            auto running = weak.lock();
            if (running && running->state == run_state::running)
                running->end_over_limit(memory_detail);
        });
    this->run = runtime.endpoints().begin(
        this->endpoint_id, core::endpoints::load_kind::batch, now);
    runtime.load_changed();
    this->call = runtime.http_client().start(this->endpoint_id, this->address,
                                             request, this->shared_from_this());
}

bool item_run::on_head(int status_code, const http::header_list& headers)
{
    const auto& names = this->scheduler.names;
    forward::record_leaving_answer(this->scheduler.runtime, names, headers,
                                   this->content.id, this->run);
    this->scheduler.runtime.endpoints().progress(this->run, host::boot_now());
    this->status = status_code;
    this->framed = http::is_framed(status_code, headers);
    this->not_run = !headers.get(names.not_run).empty() || status_code == 421;
    bool usable = !headers.get(names.signature).empty() &&
                  headers.get("Content-Encoding").empty();
    bool success = status_code >= 200 && status_code < 300;
    // The rest of an answer that can't be used may be long, or have no end.
    if (success && !usable)
        this->abandon_call("answer not usable");
    return true;
}

void item_run::on_other_head(const http::header_list& headers)
{
    forward::record_leaving_answer(this->scheduler.runtime,
                                   this->scheduler.names, headers,
                                   this->content.id, this->run);
}

void item_run::abandon_call(std::string_view reason)
{
    this->call->cancel();
    this->finish(run_state::retry, run_outcome::broken, reason);
}

void item_run::end_over_limit(std::string_view reason)
{
    this->drop_events(reason);
    this->abandon_call(reason);
}

// An endpoint that sends without end has sent events that are no part of the
// item's output, and nothing tells from which one on.
void item_run::drop_events(std::string_view reason)
{
    this->scheduler.progress_of(this->job_id, this->item_number)
        .events.restart();
    this->scheduler.runtime.metrics_recorder().count(
        "hatch_responses_over_limit_total", "reason", reason);
}

void item_run::update_flow()
{
    if (this->state != run_state::running)
        return;
    this->held_bytes->set(this->event_bytes +
                          this->events.incomplete_event().size());
    bool waits = this->held_bytes->waits();
    if (waits == this->paused)
        return;
    this->paused = waits;
    // The endpoint doesn't answer for the time in which it isn't read.
    this->last_event = host::boot_now();
    if (waits)
        return this->call->pause();
    this->call->resume();
}

void item_run::on_body(std::string_view piece)
{
    auto now = host::boot_now();
    this->scheduler.runtime.endpoints().progress(this->run, now);
    bool success = this->status >= 200 && this->status < 300;
    if (!success)
        return;
    auto complete_events = this->events.feed(piece);
    if (this->events.over_limit())
        return this->end_over_limit(event_detail);
    if (complete_events.empty())
        return this->update_flow();
    if (forward::has_data(complete_events))
        this->last_event = now;
    auto& progress =
        this->scheduler.progress_of(this->job_id, this->item_number).events;
    this->scheduler.runtime.quarantine().record_events(this->prompt,
                                                       complete_events);
    forward::for_each_data(complete_events,
                           [&](std::string_view data)
                           {
                               progress.data.emplace_back(data);
                               this->event_count++;
                               this->event_bytes +=
                                   data.size() + sizeof(std::string);
                           });
    // Empty while this run has sent comments only; earlier runs' events stay.
    if (!this->events.last_id().empty())
        progress.last_id = this->events.last_id();
    if (this->event_bytes >
        this->scheduler.runtime.settings().response_bytes / item_share)
        return this->end_over_limit(http::over_limit_detail);
    this->update_flow();
}

bool item_run::stalled(core::instant now) const
{
    auto limit = this->event_count > 0 ? next_event_limit : first_event_limit;
    return !this->paused && now - this->last_event > limit * this->patience;
}

void item_run::interrupt(std::string_view reason)
{
    if (this->state != run_state::running)
        return;
    this->call->cancel();
    this->finish(run_state::retry, run_outcome::cancelled, reason);
}

void item_run::interrupt_stalled()
{
    this->call->cancel();
    this->has_stalled = true;
    this->finish(run_state::retry, run_outcome::abandoned, "stalled");
}

void item_run::on_end(http::call_end call_result, std::string_view detail)
{
    if (this->state != run_state::running)
        return;
    bool success = this->status >= 200 && this->status < 300;
    bool closed_inside_event =
        call_result == http::call_end::complete && success && !this->framed &&
        (this->prompt.events == 0 || !this->events.incomplete_event().empty());
    if (closed_inside_event)
        call_result = http::call_end::closed;
    if (call_result == http::call_end::not_sent)
        return this->finish(run_state::retry, run_outcome::unreachable, detail);
    if (call_result == http::call_end::closed)
        this->ended_at_start =
            this->scheduler.runtime.quarantine().record_close(this->prompt,
                                                              this->status);
    if (detail == http::over_limit_detail)
        this->drop_events(detail);
    if (call_result != http::call_end::complete)
        return this->finish(run_state::retry, this->broken_outcome(), detail);
    if (this->not_run)
        return this->finish(run_state::retry,
                            this->status == 421 ? run_outcome::replaced
                                                : run_outcome::refused,
                            "endpoint refused");
    if (this->status == 422)
        return this->finish(run_state::impossible, run_outcome::answered,
                            "422");
    if (success)
    {
        bool complete = this->events.incomplete_event().empty();
        if (complete && this->framed && this->prompt.events > 0)
            this->scheduler.runtime.quarantine().record_answer(this->prompt);
        return complete ? this->finish(run_state::complete,
                                       run_outcome::answered, "")
                        : this->finish(run_state::retry, run_outcome::broken,
                                       "answer not whole");
    }
    auto reason = std::to_string(this->status);
    if (this->status == 500)
        return this->finish(run_state::failed, run_outcome::error_status,
                            reason);
    this->endpoint_error = true;
    this->finish(run_state::retry, run_outcome::broken, reason);
}

// A failure that the quarantine attributes to the item's request says nothing
// of the endpoint.
run_outcome item_run::broken_outcome() const
{
    bool by_request =
        this->trial ||
        this->scheduler.runtime.quarantine().blocked_for(this->prompt.parts);
    return by_request ? run_outcome::abandoned : run_outcome::broken;
}

void item_run::finish(run_state final_state, run_outcome endpoint_outcome,
                      std::string_view reason)
{
    auto self = this->shared_from_this();
    this->state = final_state;
    this->call = nullptr;
    if (this->trial)
        this->trial->end(this->prompt,
                         endpoint_outcome == run_outcome::unreachable ||
                             endpoint_outcome == run_outcome::refused ||
                             endpoint_outcome == run_outcome::replaced);
    this->held_bytes = nullptr;
    auto now = host::boot_now();
    auto& runtime = this->scheduler.runtime;
    runtime.endpoints().end(this->run, endpoint_outcome, now);
    runtime.load_changed();
    constexpr std::string_view names[] = {"running", "whole", "failed",
                                          "impossible", "again"};
    auto state_name = names[static_cast<std::size_t>(final_state)];
    runtime.metrics_recorder().count("hatch_item_runs_total", "outcome",
                                     state_name, "reason", reason);
    logging::event(logging::level::info, "item_run")
        .with("job", this->job_id)
        .with("id", this->content.id)
        .with("endpoint", this->endpoint_id)
        .with("outcome", state_name)
        .with("status", this->status)
        .with("reason", reason)
        .with("events", static_cast<std::int64_t>(this->event_count))
        .with("run_ms", (now - this->started).count())
        .with("parts", host::hex_list(this->prompt.parts));
    this->scheduler.on_run_end(self);
}

} // namespace amaranthhatch::batches
