#include "batches/item_scheduler.hpp"

#include <algorithm>
#include <cmath>

#include "batches/item_run.hpp"
#include "core/hash.hpp"
#include "host/boot_clock.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::batches
{

namespace model = core::batches;

namespace
{

// Delay before a failed item is run again: about the time in which an endpoint
// recovers from a short disturbance. Doubled for each further run that ends
// with another error, as some errors would come at once and each time.
constexpr core::milliseconds retry_delay{300};
// Mean delay before an item is run again that an endpoint has refused.
constexpr core::milliseconds refused_delay{200};
// Pause after a run whose endpoint closed the connection at its start, doubled
// for each further one: the item may be what crashes the endpoints.
constexpr core::milliseconds closed_delay{1000};
constexpr int most_delay_doublings = 3;
// Pause before an item with a quarantined part is looked at again.
constexpr core::milliseconds quarantined_delay{1000};
// Each stall doubles the time that an item's next run may stay without events,
// up to sixteen times.
constexpr int most_patience_doublings = 4;
// Slots that batch items leave free on each endpoint. Load is published by
// beacon, so an online request that arrives before the next beacon still finds
// a free slot.
constexpr std::uint32_t reserved_slots = 1;
// Share of an endpoint's slots that may be in use where an item that ends late
// anyway is run.
constexpr double late_item_share = 0.5;
// Weight of the newest item in the mean time that an item holds a slot.
constexpr double work_weight = 0.1;
// Until an item has ended, it is taken to need this part of its completion
// target.
constexpr int initial_work_divisor = 4;
// An item that has run for longer than the mean is taken to need this part of
// the mean still.
constexpr int least_work_divisor = 8;
// After a run was interrupted, the loads show it within this time; until then
// the same excess isn't answered again. The lead's sums take longer than
// beacons that come directly.
constexpr core::milliseconds preempt_settle{100};
constexpr core::milliseconds preempt_settle_by_lead{250};

} // namespace

item_scheduler::item_scheduler(host::host_runtime& runtime,
                               placement_agent& placement, job_store& jobs,
                               forward::header_names names)
    : runtime(runtime), placement(placement), jobs(jobs),
      names(std::move(names)), survey(runtime, placement, jobs, *this)
{
}

item_scheduler::~item_scheduler() = default;

void item_scheduler::apply(
    std::shared_ptr<const core::routes::route_table> newer)
{
    if (this->table && newer->version() <= this->table->version())
        return;
    this->table = std::move(newer);
    logging::event(logging::level::info, "configuration_applied")
        .with("version", static_cast<std::int64_t>(this->table->version()))
        .with("routes",
              static_cast<std::int64_t>(this->table->routes().size()));
}

const core::routes::route* item_scheduler::route_of(const model::job& job) const
{
    if (!this->table)
        return nullptr;
    const auto* found = this->table->match(job.authority, job.path);
    bool batch =
        found != nullptr && found->kind == core::routes::route_kind::batch;
    return batch ? found : nullptr;
}

bool item_scheduler::knows_configuration_of(const model::job& job) const
{
    return this->table && this->table->version() >= job.configuration_version;
}

item_progress& item_scheduler::progress_of(const std::string& job,
                                           std::uint32_t item)
{
    auto [entry, added] = this->progress[job].try_emplace(item);
    if (!added)
        return entry->second;
    // An earlier owner of the job may have replicated the item's events here.
    if (const auto* replicated =
            this->jobs.replicated_progress().find(job, item))
        entry->second.events = *replicated;
    return entry->second;
}

std::uint64_t item_scheduler::backlog_key(const core::routes::route& route,
                                          std::string_view workspace)
{
    auto of_route = core::hash(route.name);
    return workspace.empty() ? of_route : core::hash(workspace, of_route);
}

std::vector<core::peers::backlog> item_scheduler::backlogs() const
{
    std::map<std::uint64_t, std::uint64_t> sums;
    for (const auto& [partition, owner] : this->placement.owned())
        for (const auto& id : this->jobs.jobs_of(partition))
        {
            const auto* log = this->jobs.find(id);
            const auto* route = log->submitted() == nullptr
                                    ? nullptr
                                    : this->route_of(*log->submitted());
            if (route != nullptr)
                sums[backlog_key(*route, log->submitted()->workspace)] +=
                    log->open_tokens();
        }
    std::vector<core::peers::backlog> out;
    for (const auto& [key, tokens] : sums)
        if (tokens > 0)
            out.push_back({key, tokens});
    return out;
}

std::uint64_t item_scheduler::backlog_tokens(std::uint64_t key) const
{
    for (const auto& backlog : this->backlogs())
        if (backlog.key == key)
            return backlog.tokens;
    return 0;
}

void item_scheduler::schedule()
{
    if (this->scheduling || this->stopped)
        return;
    this->scheduling = true;
    this->preempt_runs();
    this->start_items();
    this->survey.look(host::boot_now());
    this->scheduling = false;
}

void item_scheduler::preempt_runs()
{
    auto now = host::boot_now();
    std::map<std::string, std::vector<std::shared_ptr<item_run>>>
        runs_by_endpoint;
    for (const auto& run : std::vector(this->runs))
    {
        auto owner = this->placement.owner_of(run->job());
        if (!owner || !owner->serving())
            run->interrupt("not the owner");
        else if (run->stalled(now))
            run->interrupt_stalled();
        else if (!run->on_trial())
            runs_by_endpoint[run->endpoint()].push_back(run);
    }
    for (auto& [endpoint, endpoint_runs] : runs_by_endpoint)
        this->preempt_at(endpoint, endpoint_runs, now);
    auto settle = this->runtime.peers().follows_lead() ? preempt_settle_by_lead
                                                       : preempt_settle;
    std::erase_if(this->preempted_at, [&](const auto& entry)
                  { return now - entry.second >= settle; });
}

void item_scheduler::preempt_at(
    const std::string& endpoint,
    std::vector<std::shared_ptr<item_run>>& endpoint_runs, core::instant now)
{
    auto excess = this->runtime.endpoints().excess(endpoint);
    if (excess == 0 || this->preempted_at.contains(endpoint))
        return;
    // The excess counts the runs of all hosts at the endpoint, so each host
    // interrupts only its share of them. The fraction is rounded at random, as
    // many hosts with one run each would else all interrupt theirs; it counts
    // half as much again, so that seldom none of them does.
    auto own = static_cast<double>(endpoint_runs.size());
    auto peer_runs =
        this->runtime.peers().load(core::endpoints::load_key(endpoint)).batch;
    auto share = excess * own / (own + peer_runs);
    auto count =
        std::min(static_cast<std::size_t>(excess),
                 static_cast<std::size_t>(1.5 * share + host::uniform()));
    if (count == 0)
        return;
    this->preempted_at[endpoint] = now;
    std::vector<std::pair<model::item_demand, std::shared_ptr<item_run>>> order;
    for (const auto& run : endpoint_runs)
        order.emplace_back(this->demand_of(*run, now), run);
    std::sort(order.begin(), order.end(),
              [](const auto& left, const auto& right)
              { return model::runs_before(right.first, left.first); });
    for (std::size_t index = 0; index < std::min(count, order.size()); index++)
        order[index].second->interrupt("online");
}

model::item_demand item_scheduler::demand_of(const item_run& run,
                                             core::instant now)
{
    const auto* log = this->jobs.find(run.job());
    const auto* job = log == nullptr ? nullptr : log->submitted();
    const auto* route = job == nullptr ? nullptr : this->route_of(*job);
    if (route == nullptr)
        return {};
    auto held = this->progress_of(run.job(), run.item()).held_slot +
                run.running_for(now);
    return this->demand(*route, job->submitted_ms, held);
}

model::item_demand item_scheduler::demand(const core::routes::route& route,
                                          std::int64_t submitted_ms,
                                          core::milliseconds held) const
{
    core::milliseconds due(submitted_ms + route.completion_target.count());
    auto mean = this->mean_work.find(route.name);
    auto work =
        mean == this->mean_work.end()
            ? route.completion_target / initial_work_divisor
            : core::milliseconds(static_cast<std::int64_t>(mean->second));
    return {due - core::milliseconds(host::wall_now_ms()),
            std::max(work - held, work / least_work_divisor)};
}

void item_scheduler::record_work(const core::routes::route& route,
                                 core::milliseconds held)
{
    auto [mean, first] = this->mean_work.try_emplace(
        route.name, static_cast<double>(held.count()));
    if (!first)
        mean->second +=
            work_weight * (static_cast<double>(held.count()) - mean->second);
}

void item_scheduler::add_candidates(const model::job_log& log,
                                    core::instant now,
                                    std::vector<candidate>& out)
{
    const auto& job = *log.submitted();
    const auto* route = this->route_of(job);
    auto wall_ms = host::wall_now_ms();
    std::vector<std::uint32_t> expired_items;
    for (std::uint32_t item = 0; item < job.items.size(); item++)
    {
        if (log.finished(item))
            continue;
        auto& state = this->progress_of(job.id, item);
        if (state.running)
            continue;
        bool expired = route == nullptr ||
                       (route->retention.count() > 0 &&
                        wall_ms > job.submitted_ms + route->retention.count());
        if (expired)
        {
            expired_items.push_back(item);
            continue;
        }
        if (now < state.retry_at)
            continue;
        out.push_back(
            {job.id, item, route,
             this->demand(*route, job.submitted_ms, state.held_slot)});
    }
    for (auto item : expired_items)
        this->give_up(job.id, item,
                      route == nullptr ? "no matching batch route"
                                       : "retention time exceeded");
}

std::vector<item_scheduler::candidate>
item_scheduler::candidates(core::instant now)
{
    std::vector<candidate> out;
    std::size_t waiting = 0;
    for (const auto& [partition, owner] : this->placement.owned())
    {
        if (!owner->serving() || !owner->holds_lease())
            continue;
        for (const auto& id : this->jobs.jobs_of(partition))
        {
            const auto* log = this->jobs.find(id);
            bool open = log->submitted() != nullptr && !log->closed() &&
                        owner->committed(id) > 0;
            if (!open)
                continue;
            // An older configuration may lack the job's route, or hold limits
            // and services that no longer apply.
            if (this->knows_configuration_of(*log->submitted()))
                this->add_candidates(*log, now, out);
            else
                waiting++;
        }
    }
    this->report_waiting_jobs(waiting);
    std::stable_sort(out.begin(), out.end(),
                     [](const candidate& left, const candidate& right)
                     { return model::runs_before(left.demand, right.demand); });
    return out;
}

std::set<std::string_view> item_scheduler::batch_services() const
{
    std::set<std::string_view> out;
    for (const auto& route : this->table->routes())
        if (route.kind == core::routes::route_kind::batch)
            for (const auto& share : route.services)
                out.insert(share.service);
    return out;
}

void item_scheduler::report_waiting_jobs(std::size_t count)
{
    if (count == this->waiting_jobs)
        return;
    this->waiting_jobs = count;
    this->runtime.metrics_recorder().set("hatch_jobs_awaiting_configuration",
                                         static_cast<double>(count));
    logging::event(logging::level::info, "jobs_await_configuration")
        .with("jobs", static_cast<std::int64_t>(count))
        .with("version", static_cast<std::int64_t>(this->table->version()));
}

void item_scheduler::start_items()
{
    if (!this->table)
        return;
    auto now = host::boot_now();
    auto open_services = this->batch_services();
    for (const auto& next : this->candidates(now))
    {
        if (open_services.empty())
            return;
        auto service =
            core::routes::select_service(*next.route, host::uniform());
        // Late items come last, so a service that has no slot for one has none
        // for any item after it.
        if (!open_services.contains(service) ||
            this->start_item(next, service, now))
            continue;
        open_services.erase(service);
        this->runtime.metrics_recorder().count(
            "hatch_passes_without_slot_total", "service", service);
    }
}

bool item_scheduler::may_start(std::string_view service, core::instant now)
{
    const auto& peers = this->runtime.peers();
    if (!peers.follows_lead())
        return true;
    auto& share = this->shares[std::string(service)];
    if (share.is_new(peers.view_number()))
        share.begin_view(peers.view_number(),
                         this->runtime.endpoints().free_for_batch(
                             service, {reserved_slots, 1}, now),
                         this->placement.owner_count(), host::uniform());
    return share.may_start();
}

std::vector<std::uint64_t>
item_scheduler::shared_parts(const model::item& content) const
{
    for (const auto& [name, value] : content.headers)
        if (http::header_list::same_name(name, this->names.prompt))
            return this->names.parse_prompt(value);
    return {};
}

// Returns false if the service has no slot for the item. An item that is
// delayed for another reason leaves the service to those after it.
bool item_scheduler::start_item(const candidate& next, std::string_view service,
                                core::instant now)
{
    const auto* log = this->jobs.find(next.job);
    const auto& job = *log->submitted();
    auto& state = this->progress_of(next.job, next.item);
    auto parts = this->shared_parts(job.items[next.item]);
    bool blocked = this->runtime.quarantine().blocked_for(parts).has_value();
    std::shared_ptr<host::trial_permit> trial;
    if (blocked)
        trial = this->runtime.trials().admit(parts, host::trial_user::item);
    if (blocked && !trial)
    {
        // Stays open until its retention time is exceeded.
        state.retry_at = now + quarantined_delay;
        state.held_by = wait_reason::quarantined;
        this->runtime.metrics_recorder().count("hatch_items_delayed_total",
                                               "reason", "quarantined");
        return true;
    }
    state.held_by = wait_reason::none;
    if (!this->may_start(service, now))
    {
        this->survey.record_full(service, wait_reason::share_used);
        return false;
    }
    bool late = model::chance_of(next.demand) == model::item_chance::late;
    auto chosen = this->runtime.endpoints().choose_batch(
        service, {reserved_slots, late ? late_item_share : 1}, now,
        host::uniform());
    if (chosen.chosen == nullptr)
    {
        this->survey.record_full(service, late ? wait_reason::no_slot_when_late
                                               : wait_reason::no_slot);
        return false;
    }
    state.running = true;
    // Where every endpoint is slow but sound, an item gets its time in the end.
    auto patience = 1 << std::min(state.stalls, most_patience_doublings);
    auto run = std::make_shared<item_run>(
        *this, next.job, next.item, job.items[next.item], job.authority,
        *chosen.chosen, patience, std::move(trial));
    this->runs.push_back(run);
    this->shares[run->service()].on_start();
    run->start();
    return true;
}

void item_scheduler::on_run_end(const std::shared_ptr<item_run>& run)
{
    std::erase(this->runs, run);
    auto& state = this->progress_of(run->job(), run->item());
    state.running = false;
    state.held_slot += run->running_for(host::boot_now());
    switch (run->result())
    {
    case item_run::run_state::complete:
    {
        this->shares[run->service()].on_complete();
        const auto* log = this->jobs.find(run->job());
        const auto* route = log == nullptr || log->submitted() == nullptr
                                ? nullptr
                                : this->route_of(*log->submitted());
        if (route != nullptr)
            this->record_work(*route, state.held_slot);
        std::string text;
        for (const auto& data : state.events.data)
        {
            text += &data == &state.events.data.front() ? "" : "\n";
            text += data;
        }
        this->store_result(run->job(), run->item(), model::item_state::done,
                           std::move(text));
        break;
    }
    case item_run::run_state::impossible:
        this->give_up(run->job(), run->item(), "impossible");
        break;
    case item_run::run_state::failed:
    {
        state.events = {state.events.attempt + 1, {}, {}};
        state.held_slot = {};
        state.retry_at = host::boot_now() + retry_delay;
        state.held_by = wait_reason::retry_after_failure;
        const auto* log = this->jobs.find(run->job());
        const auto* route = log == nullptr || log->submitted() == nullptr
                                ? nullptr
                                : this->route_of(*log->submitted());
        if (route != nullptr &&
            model::failed_attempts(state.events.attempt) >= route->max_attempts)
            this->give_up(run->job(), run->item(),
                          "maximum number of attempts reached");
        break;
    }
    case item_run::run_state::retry:
        state.stalls += run->ended_stalled() ? 1 : 0;
        if (run->closed_at_start())
        {
            state.held_by = wait_reason::retry_after_close;
            state.retry_at =
                host::boot_now() +
                closed_delay *
                    (1 << std::min(state.closes++, most_delay_doublings));
        }
        if (run->endpoint_failed())
        {
            state.held_by = wait_reason::retry_after_error;
            state.retry_at =
                host::boot_now() +
                retry_delay * (1 << std::min(state.endpoint_errors++,
                                             most_delay_doublings));
        }
        // The loads don't show yet that the endpoint is full.
        if (run->refused())
        {
            state.held_by = wait_reason::retry_after_refusal;
            state.retry_at = host::boot_now() +
                             std::chrono::duration_cast<core::milliseconds>(
                                 refused_delay * (0.5 + host::uniform()));
        }
        break;
    case item_run::run_state::running:
        break;
    }
    this->schedule();
}

void item_scheduler::give_up(const std::string& job, std::uint32_t item,
                             std::string_view reason)
{
    logging::event(logging::level::info, "item_given_up")
        .with("job", job)
        .with("item", static_cast<std::int64_t>(item))
        .with("reason", reason);
    this->store_result(job, item, model::item_state::given_up, {});
}

void item_scheduler::store_result(const std::string& job, std::uint32_t item,
                                  model::item_state state, std::string text)
{
    auto owner = this->placement.owner_of(job);
    const auto* log = this->jobs.find(job);
    bool accepts_result = owner && owner->serving() && log != nullptr &&
                          !log->finished(item) && !log->ended();
    this->progress[job].erase(item);
    if (!accepts_result)
        return;
    auto record = std::make_shared<model::record>();
    record->kind = model::record_kind::result;
    record->epoch = owner->epoch();
    record->item = item;
    record->state = state;
    record->text = std::move(text);
    owner->add(job, {std::move(record)});
    if (log->closed())
        this->progress.erase(job);
}

void item_scheduler::forget_unowned()
{
    std::erase_if(this->progress,
                  [this](const auto& entry)
                  {
                      bool running = std::any_of(
                          entry.second.begin(), entry.second.end(),
                          [](const auto& item) { return item.second.running; });
                      return !running && !this->placement.owner_of(entry.first);
                  });
}

void item_scheduler::end_job(const std::string& job)
{
    for (const auto& run : std::vector(this->runs))
        if (run->job() == job)
            run->interrupt("job ended");
    this->progress.erase(job);
}

void item_scheduler::stop()
{
    this->stopped = true;
    for (const auto& run : std::vector(this->runs))
        run->interrupt("stopping");
}

} // namespace amaranthhatch::batches
