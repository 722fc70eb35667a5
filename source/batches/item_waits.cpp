#include "batches/item_waits.hpp"

namespace amaranthhatch::batches
{

namespace
{

constexpr core::milliseconds round_interval{1000};
constexpr core::milliseconds summary_interval{10000};
// Reasons that usually pass at once are logged for items that have waited with
// them for this time.
constexpr core::milliseconds momentary_time{2000};
constexpr std::size_t most_lines_a_round = 20;

bool momentary(wait_reason reason)
{
    return reason != wait_reason::quarantined &&
           reason != wait_reason::no_lease &&
           reason != wait_reason::not_serving &&
           reason != wait_reason::configuration_unread;
}

} // namespace

std::string_view reason_name(wait_reason reason)
{
    constexpr std::array<std::string_view, wait_reason_count> names{
        "due",
        "quarantined",
        "no_slot",
        "no_slot_when_late",
        "share_used",
        "no_endpoint",
        "retry_after_failure",
        "retry_after_close",
        "retry_after_error",
        "retry_after_refusal",
        "no_lease",
        "not_serving",
        "not_committed",
        "configuration_unread",
        "result_not_committed"};
    return names[static_cast<std::size_t>(reason)];
}

item_waits::item_waits(metrics::recorder& metrics) : metrics(metrics) {}

bool item_waits::begin(core::instant now)
{
    if (now < this->next_round)
        return false;
    this->next_round = now + round_interval;
    this->round++;
    this->lines = 0;
    this->dropped = 0;
    this->counts = {};
    this->total = 0;
    return true;
}

void item_waits::add(const waiting_item& item, core::instant now,
                     const details& write)
{
    auto job = this->waits.find(item.job.id);
    if (job == this->waits.end())
        job = this->waits.try_emplace(item.job.id).first;
    auto [entry, added] = job->second.try_emplace(item.number);
    auto& state = entry->second;
    if (added || state.reason != item.reason)
        state = {item.reason, now, 0, false};
    state.round = this->round;
    this->counts[static_cast<std::size_t>(item.reason)]++;
    auto waited = now - state.since;
    this->note_oldest(item, waited);
    this->total++;
    if (state.logged || (momentary(item.reason) && waited < momentary_time))
        return;
    // The line of an item that is left out here comes in a later round.
    if (this->lines == most_lines_a_round)
    {
        this->dropped++;
        return;
    }
    this->lines++;
    state.logged = true;
    this->log(item, waited, write);
}

void item_waits::log(const waiting_item& item, core::milliseconds waited,
                     const details& write)
{
    logging::event line(logging::level::info, "item_waits");
    line.with("job", item.job.id)
        .with("item", static_cast<std::int64_t>(item.number))
        .with("id", item.job.items[item.number].id)
        .with("reason", reason_name(item.reason))
        .with("since_ms", waited.count());
    write(item, line);
}

void item_waits::note_oldest(const waiting_item& item,
                             core::milliseconds waited)
{
    if (this->total > 0 && item.job.submitted_ms >= this->oldest.submitted_ms)
        return;
    this->oldest = {item.job.submitted_ms,          item.job.id, item.number,
                    item.job.items[item.number].id, item.reason, waited};
}

void item_waits::end(core::instant now)
{
    for (auto& [job, items] : this->waits)
        std::erase_if(items, [this](const auto& item)
                      { return item.second.round != this->round; });
    std::erase_if(this->waits,
                  [](const auto& job) { return job.second.empty(); });
    if (this->dropped > 0)
        logging::event(logging::level::info, "item_waits_dropped")
            .with("count", static_cast<std::int64_t>(this->dropped));
    this->set_gauges();
    if (this->total > 0 && now >= this->next_summary)
        this->log_summary(now);
}

void item_waits::set_gauges()
{
    for (std::size_t reason = 0; reason < wait_reason_count; reason++)
    {
        if (this->counts[reason] == this->shown[reason])
            continue;
        this->shown[reason] = this->counts[reason];
        this->metrics.set("hatch_items_waiting", "reason",
                          reason_name(static_cast<wait_reason>(reason)),
                          static_cast<double>(this->counts[reason]));
    }
}

void item_waits::log_summary(core::instant now)
{
    this->next_summary = now + summary_interval;
    logging::event line(logging::level::info, "items_open");
    line.with("waiting", static_cast<std::int64_t>(this->total));
    for (std::size_t reason = 0; reason < wait_reason_count; reason++)
        if (this->counts[reason] > 0)
            line.with(reason_name(static_cast<wait_reason>(reason)),
                      static_cast<std::int64_t>(this->counts[reason]));
    line.with("oldest_job", this->oldest.job)
        .with("oldest_item", static_cast<std::int64_t>(this->oldest.number))
        .with("oldest_id", this->oldest.id)
        .with("oldest_reason", reason_name(this->oldest.reason))
        .with("oldest_since_ms", this->oldest.waited.count());
}

std::size_t item_waits::size() const
{
    std::size_t count = 0;
    for (const auto& [job, items] : this->waits)
        count += items.size();
    return count;
}

} // namespace amaranthhatch::batches
