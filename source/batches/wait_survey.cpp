#include "batches/wait_survey.hpp"

#include "batches/item_scheduler.hpp"

namespace amaranthhatch::batches
{

namespace model = core::batches;

wait_survey::wait_survey(host::host_runtime& runtime,
                         const placement_agent& placement,
                         const job_store& jobs, const item_scheduler& scheduler)
    : runtime(runtime), placement(placement), jobs(jobs), scheduler(scheduler),
      waits(runtime.metrics_recorder())
{
}

void wait_survey::record_full(std::string_view service, wait_reason reason)
{
    auto found = this->full_services.find(service);
    if (found == this->full_services.end())
        this->full_services.emplace(service, reason);
    else
        found->second = reason;
}

void wait_survey::look(core::instant now)
{
    if (!this->waits.begin(now))
        return;
    for (const auto& [partition, owner] : this->placement.owned())
        for (const auto& id : this->jobs.jobs_of(partition))
        {
            const auto* log = this->jobs.find(id);
            if (log->submitted() != nullptr)
                this->look_at({*log, partition, *owner,
                               this->scheduler.route_of(*log->submitted()),
                               now});
        }
    this->waits.end(now);
}

void wait_survey::look_at(const seen_job& seen)
{
    const auto& job = *seen.log.submitted();
    item_waits::details write =
        [this, &seen](const waiting_item& item, logging::event& line)
    { this->describe(seen, item, line); };
    // Until it serves, an owner doesn't know yet what the copies have.
    auto known = seen.owner.serving()
                     ? seen.log.results_within(seen.owner.committed(job.id))
                     : seen.log.finished_count();
    for (auto at = known; at < seen.log.finished_count(); at++)
        this->waits.add({job, seen.log.result_at(at).item,
                         wait_reason::result_not_committed},
                        seen.now, write);
    if (seen.log.closed())
        return;
    auto shared_reason = this->reason_of_job(seen);
    auto due_reason = this->reason_of_service(seen);
    bool any_quarantined = !this->runtime.quarantine().quarantined().empty();
    for (std::uint32_t item = 0; item < job.items.size(); item++)
    {
        if (seen.log.finished(item))
            continue;
        const auto* progress = this->progress_of(job.id, item);
        if (progress != nullptr && progress->running)
            continue;
        auto reason = shared_reason;
        // An item that the quarantine held back at the last look at it still
        // counts as held back while no slot leads to the next look.
        bool held = progress != nullptr &&
                    (seen.now < progress->retry_at ||
                     (any_quarantined &&
                      progress->held_by == wait_reason::quarantined));
        if (reason == wait_reason::none)
            reason = held ? progress->held_by : due_reason;
        this->waits.add({job, item, reason}, seen.now, write);
    }
}

const item_progress* wait_survey::progress_of(std::string_view job,
                                              std::uint32_t item) const
{
    const auto& open = this->scheduler.open_items();
    auto items = open.find(std::string(job));
    if (items == open.end())
        return nullptr;
    auto found = items->second.find(item);
    return found == items->second.end() ? nullptr : &found->second;
}

wait_reason wait_survey::reason_of_job(const seen_job& seen) const
{
    const auto& job = *seen.log.submitted();
    if (!seen.owner.serving())
        return wait_reason::not_serving;
    if (!seen.owner.holds_lease())
        return wait_reason::no_lease;
    if (seen.owner.committed(job.id) == 0)
        return wait_reason::not_committed;
    if (!this->scheduler.knows_configuration_of(job))
        return wait_reason::configuration_unread;
    return wait_reason::none;
}

wait_reason wait_survey::reason_of_service(const seen_job& seen) const
{
    if (seen.route == nullptr)
        return wait_reason::none;
    bool usable = false;
    auto reason = wait_reason::none;
    for (const auto& share : seen.route->services)
    {
        if (this->runtime.endpoints().usable(share.service, seen.now) == 0)
            continue;
        usable = true;
        auto full = this->full_services.find(share.service);
        if (full != this->full_services.end())
            reason = full->second;
    }
    return usable ? reason : wait_reason::no_endpoint;
}

void wait_survey::describe(const seen_job& seen, const waiting_item& item,
                           logging::event& line) const
{
    const auto& job = item.job;
    switch (item.reason)
    {
    case wait_reason::quarantined:
        this->describe_block(job.items[item.number], line);
        break;
    case wait_reason::retry_after_failure:
    case wait_reason::retry_after_close:
    case wait_reason::retry_after_error:
    case wait_reason::retry_after_refusal:
        if (const auto* progress = this->progress_of(job.id, item.number))
            line.with("retry_in_ms", (progress->retry_at - seen.now).count());
        break;
    case wait_reason::none:
    case wait_reason::no_slot:
    case wait_reason::no_slot_when_late:
    case wait_reason::share_used:
    case wait_reason::no_endpoint:
        line.with("route", seen.route == nullptr ? "" : seen.route->name);
        break;
    case wait_reason::no_lease:
    case wait_reason::not_serving:
    case wait_reason::not_committed:
    case wait_reason::result_not_committed:
        line.with("partition", static_cast<std::int64_t>(seen.partition))
            .with("epoch", static_cast<std::int64_t>(seen.owner.epoch()))
            .with("latest_epoch",
                  static_cast<std::int64_t>(seen.owner.latest_epoch()))
            .with("suspended", seen.owner.suspended() ? "yes" : "no");
        break;
    case wait_reason::configuration_unread:
    {
        const auto* read = this->scheduler.routes();
        line.with("needs", static_cast<std::int64_t>(job.configuration_version))
            .with("read", read == nullptr
                              ? std::int64_t{0}
                              : static_cast<std::int64_t>(read->version()));
        break;
    }
    }
}

void wait_survey::describe_block(const model::item& content,
                                 logging::event& line) const
{
    auto parts = this->scheduler.shared_parts(content);
    line.with("parts", host::hex_list(parts));
    auto block = this->runtime.quarantine().block_of(parts);
    if (!block)
        return;
    line.with("part", host::hex_text(block->part))
        .with("with", host::hex_list(block->common))
        .with("crashes", host::crash_list(block->crashes))
        .with("blocked_ms", block->left.count());
}

} // namespace amaranthhatch::batches
