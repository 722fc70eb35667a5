#include "core/batches/item_progress.hpp"

#include <algorithm>

namespace amaranthhatch::core::batches
{

std::size_t item_events::bytes() const
{
    std::size_t sum = 0;
    for (const auto& event : this->data)
        sum += event.size() + sizeof event;
    return sum;
}

void item_events::restart()
{
    this->attempt += restart_step;
    this->data = {};
    this->last_id = {};
}

progress_mark progress_copies::store(const progress_delta& delta)
{
    auto& stored = this->items[{delta.job, delta.item}];
    if (delta.epoch < stored.epoch)
        return {delta.job, delta.item, stored.epoch, stored.events.attempt, 0};
    bool restarted =
        stored.epoch != delta.epoch || stored.events.attempt != delta.attempt;
    if (restarted)
        stored = {delta.epoch, {delta.attempt, {}, {}}};
    auto& events = stored.events;
    // Events after a gap are dropped; the owner resends from the count that
    // this response reports.
    if (delta.offset <= events.data.size())
    {
        events.data.resize(delta.offset);
        events.data.insert(events.data.end(), delta.data.begin(),
                           delta.data.end());
        events.last_id = delta.last_id;
    }
    return {delta.job, delta.item, delta.epoch, delta.attempt,
            events.data.size()};
}

const item_events* progress_copies::find(std::string_view job,
                                         std::uint32_t item) const
{
    auto found = this->items.find({std::string(job), item});
    return found == this->items.end() ? nullptr : &found->second.events;
}

std::vector<progress_delta> progress_copies::all_deltas() const
{
    std::vector<progress_delta> out;
    for (const auto& [name, copied] : this->items)
        out.push_back({name.first, name.second, copied.epoch,
                       copied.events.attempt, 0, copied.events.data,
                       copied.events.last_id});
    return out;
}

void progress_copies::erase_if(
    const std::function<bool(const std::string&, std::uint32_t)>& done)
{
    std::erase_if(this->items, [&](const auto& entry)
                  { return done(entry.first.first, entry.first.second); });
}

std::optional<progress_delta>
progress_marks::missing(const std::string& job, std::uint32_t item,
                        std::uint64_t epoch, const item_events& all) const
{
    progress_delta out{job, item, epoch, all.attempt, 0, {}, all.last_id};
    auto found = this->marks.find({job, item});
    bool current = found != this->marks.end() && found->second.epoch == epoch &&
                   found->second.attempt == all.attempt;
    if (current)
        out.offset =
            std::min<std::uint64_t>(found->second.count, all.data.size());
    out.data.assign(all.data.begin() + static_cast<std::ptrdiff_t>(out.offset),
                    all.data.end());
    // A copy has to drop the events of an attempt that was given up.
    bool replaces = found != this->marks.end() &&
                    found->second.epoch == epoch && !current &&
                    found->second.count > 0;
    if (out.data.empty() && !replaces)
        return std::nullopt;
    return out;
}

void progress_marks::set_mark(const progress_mark& stored)
{
    this->marks[{stored.job, stored.item}] = stored;
}

void progress_marks::erase_if(
    const std::function<bool(const std::string&, std::uint32_t)>& done)
{
    std::erase_if(this->marks, [&](const auto& entry)
                  { return done(entry.first.first, entry.first.second); });
}

} // namespace amaranthhatch::core::batches
