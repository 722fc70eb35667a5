#include "batches/item_run.hpp"

#include "host/boot_clock.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::batches
{

using core::endpoints::run_outcome;

namespace
{

// Events come every few ten milliseconds; an endpoint's queue may hold a run
// back for some requests' time before its first event.
constexpr core::milliseconds first_event_limit{2500};
constexpr core::milliseconds next_event_limit{1000};

} // namespace

item_run::item_run(item_scheduler& owner, std::string job, std::uint32_t item,
                   const core::batches::item& content, std::string authority,
                   const core::endpoints::endpoint& chosen)
    : owner(owner), job_id(std::move(job)), item_number(item), content(content),
      authority(std::move(authority)), endpoint_id(chosen.id),
      address(chosen.address)
{
    const auto* log = owner.jobs.find(this->job_id);
    this->held = log->records().front();
}

void item_run::start()
{
    const auto& names = this->owner.names;
    const auto& before =
        this->owner.progress_of(this->job_id, this->item_number).events;
    http::client_request asked;
    asked.method = "POST";
    asked.target = this->content.target;
    asked.headers.add("Host", this->authority);
    asked.headers.add(names.request_id, this->content.id);
    for (const auto& [name, value] : this->content.headers)
        if (!http::header_list::same_name(name, names.request_id) &&
            !http::header_list::same_name(name, "Host"))
            asked.headers.add(name, value);
    asked.headers.add(names.target_instance, this->endpoint_id);
    if (!before.last_id.empty())
        asked.headers.add("Last-Event-Id", before.last_id);
    asked.body = std::make_shared<const std::string>(this->content.body);
    auto now = host::boot_now();
    this->started = now;
    this->last_event = now;
    auto& runtime = this->owner.runtime;
    this->run = runtime.endpoints().begin(
        this->endpoint_id, core::endpoints::load_kind::batch, now);
    runtime.load_changed();
    this->call = runtime.http_client().start(this->endpoint_id, this->address,
                                             asked, this->shared_from_this());
}

bool item_run::on_head(int answered, const http::header_list& headers)
{
    const auto& names = this->owner.names;
    auto echoed = headers.get(names.request_id);
    if (!echoed.empty() && echoed != this->content.id)
        return false;
    this->owner.runtime.endpoints().progress(this->run, host::boot_now());
    this->status = answered;
    this->not_run = !headers.get(names.not_run).empty() || answered == 421;
    this->signed_answer = !headers.get(names.signature).empty() &&
                          headers.get("Content-Encoding").empty();
    return true;
}

void item_run::on_body(std::string_view piece)
{
    auto now = host::boot_now();
    this->owner.runtime.endpoints().progress(this->run, now);
    bool success = this->status >= 200 && this->status < 300;
    if (!success || !this->signed_answer)
        return;
    auto whole = this->events.feed(piece);
    if (whole.empty())
        return;
    this->last_event = now;
    auto& kept =
        this->owner.progress_of(this->job_id, this->item_number).events;
    forward::for_each_data(whole,
                           [&](std::string_view data)
                           {
                               kept.data.emplace_back(data);
                               this->event_count++;
                           });
    kept.last_id = this->events.last_id();
}

bool item_run::stalled(core::instant now) const
{
    auto limit = this->event_count > 0 ? next_event_limit : first_event_limit;
    return now - this->last_event > limit;
}

void item_run::yield(std::string_view reason)
{
    if (this->ended != ending::running)
        return;
    this->call->cancel();
    this->finish(ending::again,
                 reason == "stalled" ? run_outcome::broken
                                     : run_outcome::cancelled,
                 reason);
}

void item_run::on_end(http::call_end how, std::string_view detail)
{
    if (this->ended != ending::running)
        return;
    if (how == http::call_end::not_sent)
        return this->finish(ending::again, run_outcome::unreachable, detail);
    if (how == http::call_end::broken)
        return this->finish(ending::again, run_outcome::broken, detail);
    if (this->not_run)
        return this->finish(ending::again,
                            this->status == 421 ? run_outcome::replaced
                                                : run_outcome::refused,
                            "endpoint refused");
    if (this->status == 422)
        return this->finish(ending::impossible, run_outcome::answered, "422");
    if (this->status >= 200 && this->status < 300)
    {
        bool whole = this->signed_answer && this->events.rest().empty();
        return whole ? this->finish(ending::whole, run_outcome::answered, "")
                     : this->finish(ending::again, run_outcome::broken,
                                    "answer not whole");
    }
    this->finish(ending::failed, run_outcome::answered,
                 std::to_string(this->status));
}

void item_run::finish(ending how, run_outcome health, std::string_view reason)
{
    auto self = this->shared_from_this();
    this->ended = how;
    this->call = nullptr;
    auto now = host::boot_now();
    auto& runtime = this->owner.runtime;
    runtime.endpoints().end(this->run, health, now);
    runtime.load_changed();
    constexpr std::string_view names[] = {"running", "whole", "failed",
                                          "impossible", "again"};
    auto outcome = names[static_cast<std::size_t>(how)];
    runtime.metrics_recorder().count("hatch_item_runs_total", "outcome",
                                     outcome, "reason", reason);
    logging::event(logging::level::info, "item_run")
        .with("job", this->job_id)
        .with("id", this->content.id)
        .with("endpoint", this->endpoint_id)
        .with("outcome", outcome)
        .with("status", this->status)
        .with("reason", reason)
        .with("events", static_cast<std::int64_t>(this->event_count))
        .with("run_ms", (now - this->started).count());
    this->owner.on_run_end(self);
}

} // namespace amaranthhatch::batches
