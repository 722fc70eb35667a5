#include "forward/online_run.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>

#include "host/boot_clock.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::forward
{

using core::endpoints::run_outcome;
using core::routes::route_kind;

namespace
{

// Sends that were refused are bounded, so that a full fleet isn't walked.
constexpr std::uint32_t send_limit = 4;
// A refusal says to come back after about the time in which a slot frees.
constexpr core::milliseconds least_retry_after{100};
constexpr core::milliseconds timer_step{50};
// Where no endpoint may be chosen, one may a few beacons later.
constexpr core::milliseconds retry_pause{50};
// Share of the target that may pass in an endpoint's queue; the rest is for
// reading the prompt and the way to the caller.
constexpr double queue_share = 0.7;
// A resumable stream that pauses for this share of its longest pause that is
// on time still has time to go on elsewhere.
constexpr double stall_share = 0.7;

bool is_stream(const core::routes::route& on)
{
    return on.kind == route_kind::stream;
}

std::string seconds_text(core::milliseconds time)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.2f",
                  static_cast<double>(time.count()) / 1000);
    return text;
}

core::milliseconds number_of(std::string_view text, core::milliseconds other)
{
    std::int64_t value = 0;
    auto end = text.data() + text.size();
    auto [at, error] = std::from_chars(text.data(), end, value);
    bool whole = !text.empty() && error == std::errc() && at == end;
    return whole ? core::milliseconds(value) : other;
}

} // namespace

online_run::online_run(host::host_runtime& runtime, const call_names& names,
                       std::shared_ptr<const core::routes::route_table> table,
                       const core::routes::route& matched,
                       std::shared_ptr<http::server_exchange> exchange)
    : runtime(runtime), names(names), table(std::move(table)), route(matched),
      exchange(std::move(exchange)), timer(runtime.event_loop()),
      retry_timer(runtime.event_loop()),
      request_id(
          this->exchange->received_request().headers.get(names.request_id)),
      service(core::routes::select_service(matched, host::uniform())),
      arrived(host::boot_now()), body(std::make_shared<const std::string>(
                                     this->exchange->received_request().body))
{
    auto patience = number_of(
        this->exchange->received_request().headers.get(names.deadline),
        matched.timeout);
    this->deadline = this->arrived + std::min(patience, matched.timeout);
}

void online_run::start()
{
    auto self = this->shared_from_this();
    this->exchange->on_disconnect([self] { self->on_disconnect(); });
    this->schedule_timer();
    this->attempt();
}

bool online_run::time_left() const
{
    return host::boot_now() < this->deadline;
}

bool online_run::may_repeat() const
{
    bool idempotent = this->route.kind == route_kind::idempotent ||
                      (is_stream(this->route) && this->route.resumable);
    return idempotent && this->ran < this->route.max_attempts &&
           this->sends < send_limit && this->time_left();
}

void online_run::attempt()
{
    auto now = host::boot_now();
    auto& endpoints = this->runtime.endpoints();
    auto best = endpoints.choose_online(this->service, this->excluded, now,
                                        host::uniform());
    auto allowed = std::chrono::duration_cast<core::milliseconds>(
        this->route.target_latency * queue_share);
    if (this->ran == 0 && best.chosen == nullptr)
        return this->refuse("no_endpoint",
                            this->runtime.settings().retry_after);
    if (this->ran == 0 && best.expected_wait + (now - this->arrived) > allowed)
        return this->refuse("overload", best.expected_wait);
    if (best.chosen == nullptr)
        return this->attempt_later();
    this->displaced = best.preempts;
    this->send_to(*best.chosen);
}

void online_run::attempt_later()
{
    // Those that failed are asked again, rather than nobody.
    this->excluded.clear();
    auto self = this->shared_from_this();
    this->retry_timer.expires_after(retry_pause);
    this->retry_timer.async_wait(
        [self](boost::system::error_code error)
        {
            if (!error && self->phase == state::waiting)
                self->attempt();
        });
}

http::client_request
online_run::compose(const core::endpoints::endpoint& chosen) const
{
    const auto& asked = this->exchange->received_request();
    http::client_request out;
    out.method = asked.method;
    out.target = asked.target;
    for (const auto& line : asked.headers.all())
    {
        bool ours =
            http::header_list::same_name(line.name, names.deadline) ||
            http::header_list::same_name(line.name, names.target_instance) ||
            http::header_list::same_name(line.name, "Expect") ||
            (!this->events.last_id().empty() &&
             http::header_list::same_name(line.name, "Last-Event-Id"));
        if (!ours)
            out.headers.add(line.name, line.value);
    }
    auto left = this->deadline - host::boot_now();
    out.headers.add(names.deadline, std::to_string(left.count()));
    out.headers.add(names.target_instance, chosen.id);
    if (!this->events.last_id().empty())
        out.headers.add("Last-Event-Id", this->events.last_id());
    out.body = this->body;
    return out;
}

void online_run::send_to(const core::endpoints::endpoint& chosen)
{
    auto now = host::boot_now();
    this->phase = state::running;
    this->sent = now;
    this->last_event = now;
    this->status = 0;
    this->not_run = false;
    this->unusable.clear();
    this->answer.clear();
    this->events.drop_rest();
    this->sends++;
    this->last_endpoint = chosen.id;
    this->run = this->runtime.endpoints().begin(
        chosen.id, core::endpoints::load_kind::online, now);
    this->runtime.load_changed();
    this->call = this->runtime.http_client().start(chosen.id, chosen.address,
                                                   this->compose(chosen),
                                                   this->shared_from_this());
}

bool online_run::on_head(int answered, const http::header_list& lines)
{
    auto echoed = lines.get(this->names.request_id);
    if (!echoed.empty() && echoed != this->request_id)
        return false;
    this->runtime.endpoints().progress(this->run, host::boot_now());
    this->status = answered;
    this->headers = lines;
    this->not_run = !lines.get(this->names.not_run).empty() || answered == 421;
    bool success = answered >= 200 && answered < 300;
    if (success && lines.get(this->names.signature).empty())
        this->unusable = "no_signature";
    if (!lines.get("Content-Encoding").empty())
        this->unusable = "encoded";
    return true;
}

void online_run::on_body(std::string_view piece)
{
    this->runtime.endpoints().progress(this->run, host::boot_now());
    bool success = this->status >= 200 && this->status < 300;
    if (!this->unusable.empty())
        return;
    if (is_stream(this->route) && success)
        return this->hear_event_bytes(piece);
    this->answer += piece;
}

void online_run::hear_event_bytes(std::string_view piece)
{
    auto whole = this->events.feed(piece);
    if (whole.empty())
        return;
    auto now = host::boot_now();
    if (this->first_event == core::instant::zero())
        this->first_event = now;
    else
        this->longest_gap = std::max(this->longest_gap, now - this->last_event);
    this->last_event = now;
    if (!this->begun)
    {
        this->begun = true;
        this->exchange->begin(this->status, this->headers);
    }
    this->exchange->write(whole);
}

void online_run::end_run(run_outcome how)
{
    this->call = nullptr;
    this->runtime.endpoints().end(this->run, how, host::boot_now());
    this->runtime.load_changed();
    this->phase = state::waiting;
}

void online_run::drop_call(run_outcome how)
{
    if (this->phase != state::running)
        return;
    this->call->cancel();
    this->end_run(how);
}

void online_run::on_end(http::call_end how, std::string_view detail)
{
    if (this->phase != state::running)
        return;
    std::string reason(detail);
    if (how == http::call_end::not_sent)
    {
        this->end_run(run_outcome::unreachable);
        this->excluded.push_back(this->last_endpoint);
        return this->on_not_run();
    }
    if (how == http::call_end::complete && this->not_run)
    {
        this->end_run(this->status == 421 ? run_outcome::replaced
                                          : run_outcome::refused);
        this->excluded.push_back(this->last_endpoint);
        return this->on_not_run();
    }
    this->ran++;
    bool whole = how == http::call_end::complete && this->unusable.empty() &&
                 this->events.rest().empty();
    this->end_run(whole ? run_outcome::answered : run_outcome::broken);
    if (whole)
        return this->on_complete();
    this->excluded.push_back(this->last_endpoint);
    this->on_broken(this->unusable.empty() ? reason : this->unusable);
}

void online_run::on_not_run()
{
    bool client_error = this->status == 400;
    if (client_error && this->ran == 0)
        return this->on_complete();
    if (this->sends < send_limit && this->time_left())
        return this->attempt();
    if (this->ran > 0)
        return this->on_broken("refused elsewhere");
    this->refuse("endpoints_full",
                 this->runtime.endpoints().mean_slot_time(this->service));
}

void online_run::on_complete()
{
    if (this->begun)
    {
        this->exchange->finish();
        return this->finish("answered", this->status, {});
    }
    this->exchange->respond(this->status, this->headers, this->answer);
    this->finish(this->status < 400 ? "answered" : "endpoint_failed",
                 this->status, {});
}

void online_run::on_broken(std::string_view detail)
{
    if (this->may_repeat())
        return this->attempt();
    this->fail(502, detail);
}

void online_run::on_disconnect()
{
    if (this->phase == state::ended)
        return;
    this->drop_call(run_outcome::cancelled);
    this->finish("caller_left", 0, {});
}

void online_run::schedule_timer()
{
    auto self = this->shared_from_this();
    auto left = this->deadline - host::boot_now();
    auto step = this->route.resumable ? std::min(left, timer_step) : left;
    this->timer.expires_after(std::max(step, core::milliseconds(1)));
    this->timer.async_wait(
        [self](boost::system::error_code error)
        {
            if (!error && self->phase != state::ended)
                self->on_timer();
        });
}

void online_run::on_timer()
{
    auto now = host::boot_now();
    if (now >= this->deadline)
    {
        bool sent_on = this->phase == state::running || this->ran > 0;
        this->drop_call(run_outcome::broken);
        if (!sent_on)
            return this->refuse("timeout",
                                this->runtime.settings().retry_after);
        return this->fail(504, "timeout");
    }
    auto limit =
        this->begun ? this->route.target_gap : this->route.target_latency;
    auto stall =
        std::chrono::duration_cast<core::milliseconds>(limit * stall_share);
    bool stalled = this->phase == state::running && this->route.resumable &&
                   now - this->last_event > stall &&
                   this->ran + 1 < this->route.max_attempts;
    if (stalled)
    {
        auto other = this->runtime.endpoints().choose_online(
            this->service, this->excluded, now, host::uniform());
        bool useful = other.chosen != nullptr &&
                      other.chosen->id != this->last_endpoint &&
                      other.expected_wait == core::milliseconds(0);
        if (useful)
        {
            this->drop_call(run_outcome::broken);
            this->ran++;
            this->excluded.push_back(this->last_endpoint);
            this->runtime.metrics_recorder().count("hatch_retries_total",
                                                   "reason", "stalled");
            this->attempt();
        }
    }
    if (this->phase != state::ended)
        this->schedule_timer();
}

void online_run::refuse(std::string_view reason, core::milliseconds retry_after)
{
    http::header_list lines;
    lines.add("Content-Type", "text/plain");
    lines.add("Retry-After",
              seconds_text(std::max(retry_after, least_retry_after)));
    this->exchange->respond(503, lines,
                            "not run: " + std::string(reason) + "\n");
    this->finish("refused", 503, reason);
}

void online_run::fail(int answered, std::string_view reason)
{
    if (this->begun)
        this->exchange->abort();
    else
    {
        http::header_list lines;
        lines.add("Content-Type", "text/plain");
        this->exchange->respond(answered, lines,
                                "may have run: " + std::string(reason) + "\n");
    }
    this->finish(this->begun ? "cut" : "failed", answered, reason);
}

void online_run::finish(std::string_view outcome, int answered,
                        std::string_view reason)
{
    auto self = this->shared_from_this();
    this->phase = state::ended;
    this->timer.cancel();
    this->retry_timer.cancel();
    auto now = host::boot_now();
    auto& metrics = this->runtime.metrics_recorder();
    metrics.count("hatch_requests_total", "outcome", outcome, "reason", reason);
    auto first = this->first_event == core::instant::zero()
                     ? core::milliseconds(-1)
                     : this->first_event - this->arrived;
    if (first.count() >= 0)
        metrics.observe("hatch_first_event_seconds",
                        static_cast<double>(first.count()) / 1000);
    metrics.observe("hatch_request_seconds",
                    static_cast<double>((now - this->arrived).count()) / 1000);
    logging::event(logging::level::info, "request")
        .with("id", this->request_id)
        .with("route", this->route.name)
        .with("config", static_cast<std::int64_t>(this->table->version()))
        .with("endpoint", this->last_endpoint)
        .with("outcome", outcome)
        .with("status", answered)
        .with("reason", reason)
        .with("sends", this->sends)
        .with("ran", this->ran)
        .with("displaced", this->displaced ? 1 : 0)
        .with("first_ms", first.count())
        .with("gap_ms", this->longest_gap.count())
        .with("total_ms", (now - this->arrived).count());
}

} // namespace amaranthhatch::forward
