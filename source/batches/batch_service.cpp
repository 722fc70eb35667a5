#include "batches/batch_service.hpp"

#include <algorithm>
#include <charconv>

#include "batches/results.hpp"
#include "core/hash.hpp"
#include "errors/contain.hpp"
#include "host/boot_clock.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::batches
{

namespace model = core::batches;

namespace
{

constexpr core::milliseconds tick_interval{100};
// How long a request waits until its record is committed. A caller's attempt
// lasts some seconds; this leaves the entry time to respond to the caller that
// the outcome is unknown.
constexpr core::milliseconds commit_timeout{2500};
constexpr core::milliseconds expiry_interval{1000};
constexpr std::size_t page_target_bytes = 900u << 10;
// Jobs are removed this long after the time in which callers may request them.
constexpr core::milliseconds retention_margin{10000};
constexpr std::string_view jobs_prefix = "/jobs";

std::int64_t number_of(std::string_view text)
{
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

batch_service::batch_service(host::host_runtime& runtime, disk_log& disk,
                             forward::header_names names)
    : runtime(runtime), jobs(disk, 0),
      placement(runtime, this->jobs,
                [this](const std::string& job) { this->on_commit(job); }),
      scheduler(runtime, this->placement, this->jobs, std::move(names)),
      progress(runtime, this->placement, this->jobs, this->scheduler),
      timer(runtime.event_loop())
{
    runtime.serve("/batches/append",
                  [this](exchange_ptr exchange) { this->on_append(exchange); });
    runtime.serve("/batches/reconcile", [this](exchange_ptr exchange)
                  { this->on_reconcile(exchange); });
    runtime.serve("/batches/progress", [this](exchange_ptr exchange)
                  { this->progress.handle(exchange); });
    runtime.serve(std::string(jobs_prefix),
                  [this](exchange_ptr exchange) { this->on_jobs(exchange); });
    runtime.extend_beacon([this](core::peers::beacon& out)
                          { out.backlogs = this->scheduler.backlogs(); });
    runtime.on_beacon([this] { this->scheduler.schedule(); });
    runtime.on_change(host::mirrored_part::placement,
                      [this] { this->placement.tick(); });
}

void batch_service::start()
{
    this->schedule_tick();
}

void batch_service::stop()
{
    this->stopped = true;
    this->timer.cancel();
    this->scheduler.stop();
}

void batch_service::apply(
    std::shared_ptr<const core::routes::route_table> table)
{
    this->scheduler.apply(std::move(table));
}

void batch_service::set_retiring(std::set<std::string> hosts)
{
    this->placement.set_retiring(std::move(hosts));
}

void batch_service::schedule_tick()
{
    this->timer.expires_after(tick_interval);
    this->timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (error || this->stopped)
                return;
            errors::contain("run the batch tick", [this] { this->tick(); });
            this->schedule_tick();
        });
}

void batch_service::tick()
{
    this->placement.tick();
    this->scheduler.schedule();
    this->scheduler.forget_unowned();
    this->progress.tick();
    this->expire_waiting_requests();
    auto now = host::boot_now();
    if (now < this->next_expiry)
        return;
    this->next_expiry = now + expiry_interval;
    this->expire_jobs();
    this->jobs.compact_if_large(this->runtime.settings().disk_bytes);
}

void batch_service::on_append(const exchange_ptr& exchange)
{
    auto call = unpack_append(exchange->received_request().body);
    if (!call)
        return exchange->respond(400, {}, "unreadable append\n");
    this->jobs.handle(*call, [exchange](const append_response& response)
                      { exchange->respond(200, {}, pack(response)); });
}

void batch_service::on_reconcile(const exchange_ptr& exchange)
{
    auto call = unpack_reconcile(exchange->received_request().body);
    if (!call)
        return exchange->respond(400, {}, "unreadable reconcile\n");
    exchange->respond(200, {}, pack(this->jobs.handle(*call)));
}

void batch_service::on_jobs(const exchange_ptr& exchange)
{
    const auto& request = exchange->received_request();
    std::string_view subpath(request.path);
    subpath.remove_prefix(jobs_prefix.size());
    if (subpath.empty() && request.method == "POST")
        return this->submit(exchange);
    subpath.remove_prefix(subpath.empty() ? 0 : 1);
    auto slash = subpath.find('/');
    std::string job(subpath.substr(0, slash));
    auto subresource =
        slash == subpath.npos ? std::string_view() : subpath.substr(slash);
    if (request.method == "DELETE")
        return this->end(job, exchange);
    if (subresource == "/results")
        return this->read(job, exchange);
    if (subresource == "/body")
        return this->read_body(job, exchange);
    exchange->respond(400, {}, "no such call\n");
}

void batch_service::submit(const exchange_ptr& exchange)
{
    auto job = unpack_job(exchange->received_request().body);
    if (!job)
        return exchange->respond(400, {}, "unreadable job\n");
    auto owner = this->placement.owner_of(job->id);
    if (!owner || !owner->serving())
        return exchange->respond(421, {}, "not the owner\n");
    const auto* log = this->jobs.find(job->id);
    bool already_stored = log != nullptr && log->submitted() != nullptr;
    if (already_stored && log->submitted()->workspace != job->workspace)
        return this->refuse(*job, *exchange, 404, "job of another workspace");
    if (already_stored && owner->committed(job->id) > 0)
        return exchange->respond(202, {}, {});
    if (!already_stored)
    {
        // Without a lease another host may already own the partition and have
        // accepted this job, and the backlog of that host is not available for
        // the check of the route's limit.
        if (!owner->holds_lease() || !owner->recovered())
            return this->refuse(*job, *exchange, 503, "no lease");
        // The entry tries again until this host has read the configuration.
        if (!this->scheduler.knows_configuration_of(*job))
        {
            this->runtime.metrics_recorder().count(
                "hatch_jobs_refused_total", "reason", "configuration not read");
            return exchange->respond(421, {}, "configuration not read yet\n");
        }
        if (this->scheduler.route_of(*job) == nullptr)
            return this->refuse(*job, *exchange, 503,
                                "no matching batch route");
        if (this->jobs.full(this->runtime.settings().disk_bytes))
            return this->refuse(*job, *exchange, 503, "disk full");
        if (this->over_limit(*job))
            return this->refuse(*job, *exchange, 429, "over the route's limit");
    }
    this->submissions.push_back(
        {job->id, exchange, host::boot_now() + commit_timeout});
    if (!already_stored)
        this->accept(std::move(*job));
}

void batch_service::refuse(const model::job& job,
                           http::server_exchange& exchange, int status,
                           std::string_view reason)
{
    auto owner = this->placement.owner_of(job.id);
    this->runtime.metrics_recorder().count("hatch_jobs_refused_total", "reason",
                                           reason);
    logging::event(logging::level::warning, "job_refused")
        .with("job", job.id)
        .with("workspace", job.workspace)
        .with("status", status)
        .with("reason", reason)
        .with("epoch", owner ? static_cast<std::int64_t>(owner->epoch()) : -1)
        .with("recovered", owner && owner->recovered() ? 1 : 0);
    exchange.respond(status, {}, std::string(reason) + "\n");
}

bool batch_service::over_limit(const model::job& job) const
{
    const auto* route = this->scheduler.route_of(job);
    if (route->backlog_tokens == 0)
        return false;
    std::uint64_t job_tokens = 0;
    for (const auto& item : job.items)
        job_tokens += item.tokens;
    auto now = host::boot_now();
    auto key = item_scheduler::backlog_key(*route, job.workspace);
    auto queued_tokens = this->scheduler.backlog_tokens(key) +
                         this->runtime.peers().backlog_tokens(key, now);
    return queued_tokens + job_tokens > route->backlog_tokens;
}

void batch_service::accept(model::job&& job)
{
    auto owner = this->placement.owner_of(job.id);
    auto record = std::make_shared<model::record>();
    record->kind = model::record_kind::accepted;
    record->epoch = owner->epoch();
    auto id = job.id;
    logging::event(logging::level::info, "job_submitted")
        .with("job", id)
        .with("workspace", job.workspace)
        .with("items", static_cast<std::int64_t>(job.items.size()))
        .with("epoch", static_cast<std::int64_t>(owner->epoch()));
    record->accepted = std::make_shared<const model::job>(std::move(job));
    owner->add(id, {std::move(record)});
    this->runtime.load_changed();
}

void batch_service::on_commit(const std::string& job)
{
    auto owner = this->placement.owner_of(job);
    if (!owner)
        return;
    auto count = owner->committed(job);
    for (auto entry = this->submissions.begin();
         entry != this->submissions.end();)
    {
        bool finished = entry->job == job && count > 0;
        if (finished)
            entry->exchange->respond(202, {}, {});
        entry = finished ? this->submissions.erase(entry) : std::next(entry);
    }
    for (auto entry = this->ends.begin(); entry != this->ends.end();)
    {
        bool finished = entry->job == job && count >= entry->records;
        if (finished)
            entry->exchange->respond(200, {}, {});
        entry = finished ? this->ends.erase(entry) : std::next(entry);
    }
    for (auto entry = this->reads.begin(); entry != this->reads.end();)
    {
        bool responded = entry->job == job &&
                         this->respond_with_results(entry->job, entry->after,
                                                    *entry->exchange, false);
        entry = responded ? this->reads.erase(entry) : std::next(entry);
    }
    this->scheduler.schedule();
}

std::shared_ptr<partition_owner>
batch_service::owner_for_reading(std::string_view job,
                                 http::server_exchange& exchange)
{
    auto owner = this->placement.owner_of(job);
    if (!owner || !owner->serving())
    {
        exchange.respond(421, {}, "not the owner\n");
        return nullptr;
    }
    if (!owner->recovered() || !owner->holds_lease())
    {
        exchange.respond(503, {}, "not sure yet\n");
        return nullptr;
    }
    return owner;
}

bool batch_service::check_visible(const std::string& job,
                                  http::server_exchange& exchange) const
{
    const auto* log = this->jobs.find(job);
    if (log == nullptr || log->submitted() == nullptr)
        return true;
    const auto& owner = log->submitted()->workspace;
    for (const auto& header : exchange.received_request().headers.all())
        if (http::header_list::same_name(header.name, workspace_header) &&
            !owner.empty() && header.value != owner)
        {
            exchange.respond(404, {}, "no such job\n");
            return false;
        }
    return true;
}

void batch_service::read(const std::string& job, const exchange_ptr& exchange)
{
    if (!this->owner_for_reading(job, *exchange) ||
        !this->check_visible(job, *exchange))
        return;
    const auto& request = exchange->received_request();
    auto after = static_cast<std::uint32_t>(
        number_of(http::query_value(request.query, "after")));
    auto wait = number_of(http::query_value(request.query, "wait"));
    bool responded =
        this->respond_with_results(job, after, *exchange, wait <= 0);
    if (!responded)
        this->reads.push_back({job, after, exchange,
                               host::boot_now() + core::milliseconds(wait)});
}

bool batch_service::respond_with_results(const std::string& job,
                                         std::uint32_t after,
                                         http::server_exchange& exchange,
                                         bool respond_if_empty)
{
    auto owner = this->placement.owner_of(job);
    const auto* log = this->jobs.find(job);
    if (!owner || log == nullptr || log->submitted() == nullptr ||
        owner->committed(job) == 0)
    {
        bool confirmed_missing = owner && owner->recovered() &&
                                 owner->holds_lease() && log == nullptr;
        exchange.respond(confirmed_missing ? 404 : 503, {}, "no such job\n");
        return true;
    }
    auto committed_results = log->results_within(owner->committed(job));
    auto total = static_cast<std::uint32_t>(log->submitted()->items.size());
    bool no_new_results = after >= committed_results;
    bool complete = log->closed() && committed_results == log->finished_count();
    if (no_new_results && !respond_if_empty && !complete)
        return false;
    result_page page{total, {}};
    std::size_t bytes = 0;
    for (auto position = after; position < committed_results; position++)
    {
        const auto& result = log->result_at(position);
        bytes += result.text.size();
        if (!page.results.empty() && bytes > page_target_bytes)
            break;
        page.results.push_back({log->submitted()->items[result.item].id,
                                result.state == model::item_state::done,
                                result.text});
    }
    exchange.respond(200, {}, pack(page));
    return true;
}

void batch_service::read_body(const std::string& job,
                              const exchange_ptr& exchange)
{
    if (!this->owner_for_reading(job, *exchange) ||
        !this->check_visible(job, *exchange))
        return;
    const auto* log = this->jobs.find(job);
    if (log == nullptr || log->submitted() == nullptr)
        return exchange->respond(404, {}, "no such job\n");
    auto id = http::query_value(exchange->received_request().query, "item");
    for (const auto& item : log->submitted()->items)
        if (item.id == id)
            return exchange->respond(200, {}, item.body);
    exchange->respond(404, {}, "no such item\n");
}

void batch_service::end(const std::string& job, const exchange_ptr& exchange)
{
    auto owner = this->owner_for_reading(job, *exchange);
    if (!owner || !this->check_visible(job, *exchange))
        return;
    const auto* log = this->jobs.find(job);
    if (log == nullptr || log->submitted() == nullptr)
        return exchange->respond(404, {}, "no such job\n");
    if (!log->ended())
    {
        auto record = std::make_shared<model::record>();
        record->kind = model::record_kind::ended;
        record->epoch = owner->epoch();
        owner->add(job, {std::move(record)});
        this->scheduler.end_job(job);
        logging::event(logging::level::info, "job_ended").with("job", job);
    }
    auto records = log->records().size();
    if (owner->committed(job) >= records)
        return exchange->respond(200, {}, {});
    this->ends.push_back(
        {job, records, exchange, host::boot_now() + commit_timeout});
}

void batch_service::expire_waiting_requests()
{
    auto now = host::boot_now();
    for (auto entry = this->submissions.begin();
         entry != this->submissions.end();)
    {
        bool expired = now > entry->deadline;
        if (expired)
            entry->exchange->respond(504, {}, "outcome unknown\n");
        entry = expired ? this->submissions.erase(entry) : std::next(entry);
    }
    for (auto entry = this->ends.begin(); entry != this->ends.end();)
    {
        bool expired = now > entry->deadline;
        if (expired)
            entry->exchange->respond(504, {}, "outcome unknown\n");
        entry = expired ? this->ends.erase(entry) : std::next(entry);
    }
    for (auto entry = this->reads.begin(); entry != this->reads.end();)
    {
        bool expired = now > entry->deadline;
        if (expired && this->owner_for_reading(entry->job, *entry->exchange))
            this->respond_with_results(entry->job, entry->after,
                                       *entry->exchange, true);
        entry = expired ? this->reads.erase(entry) : std::next(entry);
    }
}

void batch_service::expire_jobs()
{
    auto wall_ms = host::wall_now_ms();
    auto retention = this->runtime.settings().job_status + retention_margin;
    for (const auto& [partition, owner] : this->placement.owned())
    {
        if (!owner->recovered())
            continue;
        for (const auto& id : this->jobs.jobs_of(partition))
        {
            const auto* log = this->jobs.find(id);
            const auto* job = log->submitted();
            bool expired = job != nullptr && log->closed() &&
                           wall_ms > job->submitted_ms + retention.count();
            if (expired)
                owner->expire(id);
        }
    }
}

} // namespace amaranthhatch::batches
