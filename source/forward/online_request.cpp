#include "forward/online_request.hpp"

#include <algorithm>
#include <charconv>

#include "core/limits/stopping_host.hpp"
#include "core/quarantine/request_identity.hpp"
#include "forward/leaving_answer.hpp"
#include "host/boot_clock.hpp"
#include "http/message_text.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::forward
{

using core::endpoints::run_outcome;
using core::routes::route_kind;

namespace
{

// Limits the calls per request, so that a request that is refused by busy
// endpoints doesn't try every endpoint of the fleet.
constexpr std::uint32_t send_limit = 4;
// Lower bound of Retry-After in refusals: about the time until a concurrency
// slot becomes free.
constexpr core::milliseconds min_retry_after{100};
constexpr core::milliseconds timer_interval{50};
// Pause before the next attempt if no endpoint can be chosen; by then a few
// beacons with newer loads have arrived.
constexpr core::milliseconds retry_pause{50};
// Longest time for which a request isn't repeated while it may have crashed
// endpoints: by then its parts are cleared or quarantined.
constexpr core::milliseconds suspicion_limit{1500};
// Share of the target latency that may pass in an endpoint's queue; the rest is
// for processing the prompt and for the network.
constexpr double queue_share = 0.7;
// A resumable stream without an event for this share of its target latency or
// target gap moves to another endpoint, which then can still meet the target.
constexpr double stall_share = 0.7;

// Details of calls that ended because of the bytes that they would keep.
constexpr std::string_view event_detail = "event_over_limit";
constexpr std::string_view memory_detail = "memory_over_limit";

bool is_stream(const core::routes::route& route)
{
    return route.kind == route_kind::stream;
}

core::milliseconds parse_milliseconds(std::string_view text,
                                      core::milliseconds fallback)
{
    std::int64_t value = 0;
    auto end = text.data() + text.size();
    auto [parsed_end, error] = std::from_chars(text.data(), end, value);
    bool complete = !text.empty() && error == std::errc() && parsed_end == end;
    return complete ? core::milliseconds(value) : fallback;
}

std::uint64_t prompt_size(const header_names& names,
                          const http::header_list& headers)
{
    return names.parse_prompt_size == nullptr
               ? 0
               : names.parse_prompt_size(headers.get(names.prompt_size));
}

} // namespace

online_request::online_request(
    host::host_runtime& runtime, const header_names& names,
    core::hedging::hedge_policy& hedging,
    std::shared_ptr<const core::routes::route_table> table,
    const core::routes::route& matched,
    const core::workspaces::workspace* workspace,
    std::shared_ptr<http::server_exchange> exchange)
    : runtime(runtime), names(names), table(std::move(table)), route(matched),
      workspace(workspace), exchange(std::move(exchange)),
      timer(runtime.event_loop()), retry_timer(runtime.event_loop()),
      request_id(
          this->exchange->received_request().headers.get(names.request_id)),
      service(core::routes::select_service(matched, host::uniform())),
      hedge(runtime, hedging,
            {this->service, is_stream(matched),
             prompt_size(names, this->exchange->received_request().headers)}),
      arrived_at(host::boot_now()),
      body(std::make_shared<const std::string>(
          this->exchange->received_request().body))
{
    auto wait_timeout = parse_milliseconds(
        this->exchange->received_request().headers.get(names.deadline),
        matched.timeout);
    this->deadline = this->arrived_at + std::min(wait_timeout, matched.timeout);
    this->prompt.request = this->request_id;
    this->prompt.service = this->service;
    const auto& received = this->exchange->received_request();
    auto prompt = received.headers.get(names.prompt);
    this->prompt.parts = names.parse_prompt(prompt);
    this->prompt.parts.insert(
        this->prompt.parts.begin(),
        core::quarantine::identify_request(
            {received.method, received.headers.get("Host"), received.target,
             prompt, received.body}));
}

void online_request::start()
{
    auto self = this->shared_from_this();
    this->exchange->on_disconnect([self] { self->on_disconnect(); });
    this->exchange->on_written([self] { self->update_flow(); });
    this->exchange->on_stop(
        [self] { self->give_up(run_outcome::cancelled, "stopping"); });
    std::weak_ptr<online_request> weak = self;
    auto call_back = [weak](void (online_request::*perform)())
    {
        return [weak, perform]
        {
            if (auto running = weak.lock())
                (*running.*perform)();
        };
    };
    this->held_bytes = std::make_unique<http::response_budget::share>(
        this->runtime.response_budget(),
        call_back(&online_request::update_flow),
        call_back(&online_request::on_evicted));
    this->schedule_timer();
    this->attempt();
}

bool online_request::has_time_left() const
{
    return host::boot_now() < this->deadline;
}

bool online_request::repeatable() const
{
    return this->route.kind == route_kind::idempotent ||
           (is_stream(this->route) && this->route.resumable);
}

bool online_request::ends_before_stop() const
{
    auto until_stop = this->runtime.time_until_stop();
    if (!until_stop)
        return true;
    return core::limits::ends_before_stop(
        {*until_stop, this->deadline - host::boot_now(),
         this->runtime.endpoints().mean_slot_time(this->service)},
        this->repeatable());
}

bool online_request::may_retry() const
{
    return this->repeatable() &&
           this->possible_runs < this->route.max_attempts &&
           this->sends < send_limit && this->has_time_left();
}

void online_request::attempt()
{
    auto now = host::boot_now();
    if (auto blocked =
            this->runtime.quarantine().blocked_for(this->prompt.parts))
    {
        if (this->possible_runs > 0)
            return this->fail(502, "quarantined");
        if (!this->trial)
            this->trial = this->runtime.trials().admit(
                this->prompt.parts, host::trial_user::request);
        if (!this->trial)
            return this->refuse("quarantined", *blocked);
    }
    if (this->possible_runs == 0 && !this->ends_before_stop())
        return this->refuse("stopping", this->runtime.settings().retry_after);
    bool suspected = !this->trial && now < this->suspected_until &&
                     this->runtime.quarantine().suspects(this->prompt.parts);
    if (suspected)
        return this->attempt_later();
    auto& endpoints = this->runtime.endpoints();
    bool may_fail = !this->trial && this->repeatable() &&
                    this->possible_runs + 1 < this->route.max_attempts;
    auto choice =
        endpoints.choose_online(this->service, this->excluded_endpoints, now,
                                host::uniform(), may_fail);
    auto allowed_wait = std::chrono::duration_cast<core::milliseconds>(
        this->route.target_latency * queue_share);
    if (this->possible_runs == 0 && choice.chosen == nullptr)
        return this->refuse("no_endpoint",
                            this->runtime.settings().retry_after);
    if (this->possible_runs == 0 &&
        choice.expected_wait + (now - this->arrived_at) > allowed_wait)
        return this->refuse("overload", choice.expected_wait);
    if (choice.chosen == nullptr)
    {
        // No other endpoint is left, so endpoints that failed are tried again.
        this->excluded_endpoints.clear();
        return this->attempt_later();
    }
    this->preempts_batch = choice.preempts;
    this->send_to(*choice.chosen);
}

void online_request::attempt_later()
{
    auto self = this->shared_from_this();
    this->retry_timer.expires_after(retry_pause);
    this->retry_timer.async_wait(
        [self](boost::system::error_code error)
        {
            if (!error && self->phase == call_state::waiting)
                self->attempt();
        });
}

std::string_view online_request::workspace_name() const
{
    return this->workspace == nullptr ? std::string_view()
                                      : this->workspace->name;
}

// True for headers of the caller that the endpoint doesn't get, or gets with
// another value.
bool online_request::is_replaced(std::string_view header) const
{
    auto is = [header](std::string_view name)
    { return http::header_list::same_name(header, name); };
    if (is(this->names.deadline) || is(this->names.target_instance) ||
        is("Expect"))
        return true;
    // The key is for this system only, and no caller names its own workspace.
    if (this->table->workspaces().keys_required() &&
        (is(this->names.credentials) || is(this->names.workspace)))
        return true;
    return !this->events.last_id().empty() && is("Last-Event-Id");
}

http::client_request
online_request::compose_request(const core::endpoints::endpoint& chosen) const
{
    const auto& request = this->exchange->received_request();
    http::client_request forwarded;
    forwarded.method = request.method;
    forwarded.target = request.target;
    for (const auto& header : request.headers.all())
        if (!this->is_replaced(header.name))
            forwarded.headers.add(header.name, header.value);
    if (this->workspace != nullptr)
        forwarded.headers.add(names.workspace, this->workspace->name);
    auto time_left = this->deadline - host::boot_now();
    forwarded.headers.add(names.deadline, std::to_string(time_left.count()));
    forwarded.headers.add(names.target_instance, chosen.id);
    if (!this->events.last_id().empty())
        forwarded.headers.add("Last-Event-Id", this->events.last_id());
    forwarded.body = this->body;
    forwarded.body_limit = this->runtime.settings().response_bytes;
    forwarded.echoed_header = this->names.request_id;
    return forwarded;
}

void online_request::send_to(const core::endpoints::endpoint& chosen)
{
    auto now = host::boot_now();
    this->phase = call_state::running;
    this->sent = now;
    this->last_event_at = now;
    this->status = 0;
    this->framed = false;
    this->not_run = false;
    this->unusable_reason.clear();
    this->response_body = {};
    this->events.drop_incomplete_event();
    this->paused = false;
    this->resumed_after = this->events.last_id();
    this->sends++;
    this->last_endpoint = chosen.id;
    this->prompt.endpoint = chosen.id;
    this->prompt.endpoint_started_ms = chosen.started_ms;
    this->prompt.events = 0;
    this->prompt.sent_at = now;
    if (this->trial)
        this->trial->begin(this->prompt);
    this->hedge.on_sent(now);
    this->run = this->runtime.endpoints().begin(
        chosen.id, core::endpoints::load_kind::online, now);
    this->runtime.load_changed();
    this->call = this->runtime.http_client().start(
        chosen.id, chosen.address, this->compose_request(chosen),
        this->shared_from_this());
    if (this->hedge.time_until_due(now))
        this->schedule_timer();
}

bool online_request::on_head(int status_code,
                             const http::header_list& response_headers)
{
    record_leaving_answer(this->runtime, this->names, response_headers,
                          this->request_id, this->run);
    this->runtime.endpoints().progress(this->run, host::boot_now());
    this->status = status_code;
    this->headers = response_headers;
    this->framed = http::is_framed(status_code, response_headers);
    bool success = status_code >= 200 && status_code < 300;
    this->not_run =
        (!response_headers.get(this->names.not_run).empty() && !success) ||
        status_code == 421;
    if (success && response_headers.get(this->names.signature).empty())
        this->unusable_reason = "no_signature";
    if (!response_headers.get("Content-Encoding").empty())
        this->unusable_reason = "encoded";
    // The rest of an answer that can't be used may be long, or have no end.
    if (!this->unusable_reason.empty())
        this->abandon_call(this->unusable_reason);
    return true;
}

// Any answer on the connection is one of this endpoint.
void online_request::on_other_head(const http::header_list& other_headers)
{
    record_leaving_answer(this->runtime, this->names, other_headers,
                          this->request_id, this->run);
}

void online_request::abandon_call(std::string_view reason)
{
    this->call->cancel();
    this->on_end(http::call_end::broken, reason);
}

void online_request::on_body(std::string_view piece)
{
    this->runtime.endpoints().progress(this->run, host::boot_now());
    bool success = this->status >= 200 && this->status < 300;
    if (is_stream(this->route) && success && this->continues_response())
    {
        this->forward_events(piece);
        if (this->events.over_limit())
            return this->abandon_call(event_detail);
    }
    else
        this->response_body += piece;
    if (success && !is_stream(this->route))
        this->hedge.on_first_event(host::boot_now());
    this->update_flow();
}

// A response that can't be passed on yet isn't read on either, as the memory
// that it may take is for all responses.
void online_request::update_flow()
{
    auto self = this->shared_from_this();
    bool running = this->phase == call_state::running;
    this->held_bytes->set(running ? this->response_body.capacity() +
                                        this->events.incomplete_event().size()
                                  : 0);
    if (!running)
        return;
    auto unread_limit = this->runtime.response_budget()->unread_limit();
    bool waits = this->held_bytes->waits() ||
                 this->exchange->unsent_bytes() > unread_limit;
    if (waits == this->paused)
        return;
    this->paused = waits;
    this->record_pause();
    this->schedule_timer();
    if (waits)
        return this->call->pause();
    this->call->resume();
}

// The endpoint doesn't answer for the time in which it isn't read.
void online_request::record_pause()
{
    this->last_event_at = host::boot_now();
    this->runtime.endpoints().progress(this->run, this->last_event_at);
}

void online_request::on_evicted()
{
    if (this->phase == call_state::running)
        this->abandon_call(memory_detail);
}

void online_request::count_over_limit(std::string_view reason)
{
    this->runtime.metrics_recorder().count("hatch_responses_over_limit_total",
                                           "reason", reason);
}

void online_request::forward_events(std::string_view piece)
{
    auto complete_events = this->events.feed(piece);
    if (complete_events.empty())
        return;
    if (has_data(complete_events))
    {
        this->record_event(host::boot_now());
        this->hedge.on_first_event(this->last_event_at);
    }
    this->runtime.quarantine().record_events(this->prompt, complete_events);
    if (!this->response_started)
    {
        this->response_started = true;
        this->response_status = this->status;
        this->exchange->begin(this->status, this->headers);
    }
    this->exchange->write(complete_events);
}

void online_request::record_event(core::instant now)
{
    if (this->first_event_at == core::instant::zero())
        this->first_event_at = now;
    else
        this->longest_gap =
            std::max(this->longest_gap, now - this->last_event_at);
    this->last_event_at = now;
}

void online_request::end_run(run_outcome result)
{
    this->call = nullptr;
    this->hedge.on_attempt_ended();
    this->runtime.endpoints().end(this->run, result, host::boot_now());
    this->runtime.load_changed();
    this->phase = call_state::waiting;
}

void online_request::drop_call(run_outcome result)
{
    if (this->phase != call_state::running)
        return;
    this->call->cancel();
    this->end_run(result);
}

// A run that resumes a stream may answer an error, or a success without events.
// Neither is the rest of a response that the caller has received in part.
bool online_request::continues_response() const
{
    return !this->response_started || this->status == this->response_status;
}

// An endpoint that crashes during a stream without a length ends the response
// as one that is complete.
bool online_request::closed_inside_event(http::call_end end) const
{
    bool success = this->status >= 200 && this->status < 300;
    return end == http::call_end::complete && is_stream(this->route) &&
           success && !this->framed &&
           (this->prompt.events == 0 ||
            !this->events.incomplete_event().empty());
}

// A first run that is answered is described by the request's own line.
void online_request::log_run(http::call_end end, std::string_view detail) const
{
    bool success = this->status >= 200 && this->status < 300;
    if (end == http::call_end::complete && success && this->sends == 1)
        return;
    constexpr std::string_view names[] = {"complete", "not_sent", "broken",
                                          "closed"};
    logging::event(logging::level::info, "run_ended")
        .with("id", this->request_id)
        .with("endpoint", this->last_endpoint)
        .with("send", this->sends)
        .with("end", names[static_cast<std::size_t>(end)])
        .with("status", this->status)
        .with("not_run", this->not_run ? 1 : 0)
        .with("framed", this->framed ? 1 : 0)
        .with("resumed_after", this->resumed_after)
        .with("last_event", this->events.last_id())
        .with("response_begun", this->response_started ? 1 : 0)
        .with("detail", detail);
}

void online_request::on_end(http::call_end end, std::string_view detail)
{
    if (this->phase != call_state::running)
        return;
    this->log_run(end, detail);
    std::string reason(detail);
    if (reason == http::over_limit_detail || reason == memory_detail ||
        reason == event_detail)
        this->count_over_limit(reason);
    if (end == http::call_end::not_sent)
    {
        this->end_run(run_outcome::unreachable);
        this->excluded_endpoints.push_back(this->last_endpoint);
        return this->on_not_run();
    }
    if (end == http::call_end::complete && this->not_run)
    {
        this->end_run(this->status == 421 ? run_outcome::replaced
                                          : run_outcome::refused);
        this->excluded_endpoints.push_back(this->last_endpoint);
        return this->on_not_run();
    }
    if (this->closed_inside_event(end))
    {
        end = http::call_end::closed;
        reason = "closed inside an event";
    }
    this->possible_runs++;
    bool complete = end == http::call_end::complete &&
                    this->unusable_reason.empty() &&
                    this->events.incomplete_event().empty();
    if (complete && this->status < 400)
        this->hedge.on_first_event(host::boot_now());
    if (end == http::call_end::closed &&
        this->runtime.quarantine().record_close(this->prompt, this->status))
        this->suspected_until = host::boot_now() + suspicion_limit;
    this->end_run(this->outcome_of_run(complete, reason));
    if (complete)
    {
        bool generated = this->status >= 200 && this->status < 300 &&
                         this->framed &&
                         (!is_stream(this->route) || this->prompt.events > 0);
        if (generated)
            this->runtime.quarantine().record_answer(this->prompt);
        if (this->continues_response())
            return this->on_complete();
        reason = "resumed with another status";
    }
    this->excluded_endpoints.push_back(this->last_endpoint);
    this->on_failure(this->unusable_reason.empty() ? reason
                                                   : this->unusable_reason);
}

// What a run that may have been executed shows of its endpoint.
run_outcome online_request::outcome_of_run(bool complete,
                                           std::string_view reason) const
{
    if (complete)
        return this->status >= 500 ? run_outcome::error_status
                                   : run_outcome::answered;
    bool by_request = this->trial || this->runtime.quarantine().blocked_for(
                                         this->prompt.parts);
    return by_request || reason == memory_detail ? run_outcome::abandoned
                                                 : run_outcome::broken;
}

void online_request::on_not_run()
{
    if (this->trial)
        this->trial->end(this->prompt, true);
    bool client_error = this->status == 400;
    if (client_error && this->possible_runs == 0)
        return this->on_complete();
    if (this->sends < send_limit && this->has_time_left())
        return this->attempt();
    if (this->possible_runs > 0)
        return this->on_failure("refused elsewhere");
    this->refuse("endpoints_full",
                 this->runtime.endpoints().mean_slot_time(this->service));
}

void online_request::on_complete()
{
    if (this->response_started)
    {
        this->exchange->finish();
        return this->finish("answered", this->status, {});
    }
    this->exchange->respond(this->status, this->headers, this->response_body);
    this->finish(this->status < 400 ? "answered" : "endpoint_failed",
                 this->status, {});
}

void online_request::on_failure(std::string_view detail)
{
    if (!this->may_retry())
        return this->fail(502, detail);
    this->runtime.metrics_recorder().count("hatch_retries_total", "reason",
                                           this->response_started ? "resume"
                                                                  : "broken");
    this->attempt();
}

void online_request::on_disconnect()
{
    if (this->phase == call_state::ended)
        return;
    this->drop_call(run_outcome::cancelled);
    this->finish("caller_left", 0, {});
}

void online_request::give_up(run_outcome result, std::string_view reason)
{
    if (this->phase == call_state::ended)
        return;
    bool may_have_run =
        this->phase == call_state::running || this->possible_runs > 0;
    this->drop_call(result);
    if (!may_have_run)
        return this->refuse(reason, this->runtime.settings().retry_after);
    this->fail(504, reason);
}

void online_request::schedule_timer()
{
    auto self = this->shared_from_this();
    auto time_left = this->deadline - host::boot_now();
    auto delay = this->route.resumable || this->paused
                     ? std::min(time_left, timer_interval)
                     : time_left;
    if (this->repeatable())
        delay = std::min(
            delay,
            this->hedge.time_until_due(host::boot_now()).value_or(delay));
    this->timer.expires_after(std::max(delay, core::milliseconds(1)));
    this->timer.async_wait(
        [self](boost::system::error_code error)
        {
            if (!error && self->phase != call_state::ended)
                self->on_timer();
        });
}

void online_request::on_timer()
{
    auto now = host::boot_now();
    if (now >= this->deadline)
        // Its caller didn't read it, or others took the memory.
        return this->give_up(this->paused ? run_outcome::cancelled
                                          : run_outcome::abandoned,
                             "timeout");
    if (this->paused)
        this->record_pause();
    this->move_if_stalled(now);
    if (this->phase == call_state::running)
        this->hedge_if_slow(now);
    if (this->phase != call_state::ended)
        this->schedule_timer();
}

// Closes the first attempt before the second one starts, so that no two
// endpoints ever work on the request.
void online_request::hedge_if_slow(core::instant now)
{
    if (!this->hedge.is_due(now))
        return;
    bool quarantine_concerned =
        this->trial != nullptr || now < this->suspected_until ||
        this->runtime.quarantine().blocked_for(this->prompt.parts);
    // The head may come long before the first event or byte of the body.
    bool success = this->status >= 200 && this->status < 300;
    bool answers =
        this->status != 0 && (!success || !this->response_body.empty());
    if (!this->repeatable() || this->possible_runs > 0 || answers ||
        this->response_started || this->paused || this->sends >= send_limit ||
        !this->ends_before_stop() || quarantine_concerned)
        return;
    const auto* second = this->hedge.start(
        {this->last_endpoint, this->excluded_endpoints,
         this->route.max_attempts - std::min(this->route.max_attempts, 1u),
         this->deadline - now},
        now);
    if (second == nullptr)
        return;
    logging::event(logging::level::info, "hedged")
        .with("id", this->request_id)
        .with("endpoint", this->last_endpoint)
        .with("second", second->id)
        .with("waited_ms", (now - this->sent).count());
    // It is no failure of the endpoint, but may have run there.
    this->drop_call(run_outcome::cancelled);
    this->possible_runs++;
    this->excluded_endpoints.push_back(this->last_endpoint);
    this->preempts_batch = false;
    this->send_to(*second);
}

// A resumable stream without progress moves to an endpoint with a free slot.
void online_request::move_if_stalled(core::instant now)
{
    auto target = this->response_started ? this->route.target_gap
                                         : this->route.target_latency;
    auto stall_limit =
        std::chrono::duration_cast<core::milliseconds>(target * stall_share);
    bool stalled = this->phase == call_state::running &&
                   this->route.resumable &&
                   now - this->last_event_at > stall_limit &&
                   this->possible_runs + 1 < this->route.max_attempts;
    if (!stalled)
        return;
    auto alternative = this->runtime.endpoints().choose_online(
        this->service, this->excluded_endpoints, now, host::uniform());
    bool useful = alternative.chosen != nullptr &&
                  alternative.chosen->id != this->last_endpoint &&
                  alternative.expected_wait == core::milliseconds(0);
    if (!useful)
        return;
    this->hedge.on_stall_move(now);
    this->drop_call(run_outcome::abandoned);
    this->possible_runs++;
    this->excluded_endpoints.push_back(this->last_endpoint);
    this->runtime.metrics_recorder().count("hatch_retries_total", "reason",
                                           "stalled");
    this->attempt();
}

void online_request::refuse(std::string_view reason,
                            core::milliseconds retry_after)
{
    if (this->workspace != nullptr)
        this->runtime.quotas().give_back(*this->workspace);
    http::header_list response_headers;
    response_headers.add("Content-Type", "text/plain");
    response_headers.add("Retry-After", http::seconds_text(std::max(
                                            retry_after, min_retry_after)));
    this->exchange->respond(503, response_headers,
                            "not run: " + std::string(reason) + "\n");
    this->finish("refused", 503, reason);
}

void online_request::fail(int status_code, std::string_view reason)
{
    if (this->response_started)
        this->exchange->abort();
    else
    {
        http::header_list response_headers;
        response_headers.add("Content-Type", "text/plain");
        this->exchange->respond(status_code, response_headers,
                                "may have run: " + std::string(reason) + "\n");
    }
    this->finish(this->response_started ? "cut" : "failed", status_code,
                 reason);
}

void online_request::finish(std::string_view outcome, int status_code,
                            std::string_view reason)
{
    auto self = this->shared_from_this();
    this->phase = call_state::ended;
    if (this->trial && this->trial->used())
        this->trial->end(this->prompt, false);
    this->trial = nullptr;
    this->response_body = {};
    this->events.drop_incomplete_event();
    this->update_flow();
    this->timer.cancel();
    this->retry_timer.cancel();
    auto now = host::boot_now();
    auto& metrics = this->runtime.metrics_recorder();
    metrics.count("hatch_requests_total", "outcome", outcome, "reason", reason);
    auto first_event_delay = this->first_event_at == core::instant::zero()
                                 ? core::milliseconds(-1)
                                 : this->first_event_at - this->arrived_at;
    if (first_event_delay.count() >= 0)
        metrics.observe("hatch_first_event_seconds",
                        static_cast<double>(first_event_delay.count()) / 1000);
    metrics.observe("hatch_request_seconds",
                    static_cast<double>((now - this->arrived_at).count()) /
                        1000);
    this->hedge.on_finished();
    bool answered = outcome == "answered";
    logging::event(logging::level::info, "request")
        .with("id", this->request_id)
        .with("route", this->route.name)
        .with("workspace", this->workspace_name())
        .with("config", static_cast<std::int64_t>(this->table->version()))
        .with("endpoint", this->last_endpoint)
        .with("outcome", outcome)
        .with("status", status_code)
        .with("reason", reason)
        .with("sends", this->sends)
        .with("ran", this->possible_runs)
        .with("attempt", answered ? this->possible_runs : 0)
        .with("hedged", this->hedge.started() ? 1 : 0)
        .with("displaced", this->preempts_batch ? 1 : 0)
        .with("first_ms", first_event_delay.count())
        .with("gap_ms", this->longest_gap.count())
        .with("total_ms", (now - this->arrived_at).count());
}

} // namespace amaranthhatch::forward
