#include "core/batches/job_log.hpp"

#include <algorithm>

namespace amaranthhatch::core::batches
{

job_log::job_log(std::string id) : job_id(std::move(id)) {}

log_mark job_log::mark() const
{
    return {this->epoch_before(this->log.size()), this->log.size()};
}

std::uint64_t job_log::epoch_before(std::uint64_t place) const
{
    return place == 0 || place > this->log.size() ? 0
                                                  : this->log[place - 1]->epoch;
}

append_result job_log::append(std::uint64_t place, std::uint64_t previous_epoch,
                              std::span<const record_ptr> added)
{
    bool fits = place <= this->log.size() &&
                this->epoch_before(place) == previous_epoch;
    if (!fits)
        return append_result::mismatch;
    for (const auto& added_record : added)
    {
        bool same = place < this->log.size() &&
                    this->log[place]->epoch == added_record->epoch;
        if (!same)
        {
            this->truncate(place);
            this->log.push_back(added_record);
            this->apply_record(*added_record, place);
        }
        place++;
    }
    return append_result::appended;
}

void job_log::truncate_stale_tail(std::uint64_t owner_count,
                                  std::uint64_t owner_epoch)
{
    bool stale = owner_count < this->log.size() &&
                 this->log[owner_count]->epoch < owner_epoch;
    if (stale)
        this->truncate(owner_count);
}

void job_log::truncate(std::uint64_t place)
{
    if (place >= this->log.size())
        return;
    this->log.resize(place);
    this->rebuild();
}

void job_log::rebuild()
{
    this->result_places.clear();
    this->has_result.clear();
    this->end_place = 0;
    for (std::uint64_t place = 0; place < this->log.size(); place++)
        this->apply_record(*this->log[place], place);
}

void job_log::apply_record(const record& added, std::uint64_t place)
{
    switch (added.kind)
    {
    case record_kind::accepted:
        this->has_result.assign(added.accepted->items.size(), false);
        break;
    case record_kind::result:
        if (added.item < this->has_result.size())
            this->has_result[added.item] = true;
        this->result_places.push_back(place);
        break;
    case record_kind::ended:
        this->end_place = place;
        break;
    }
}

const job* job_log::submitted() const
{
    return this->log.empty() ? nullptr : this->log.front()->accepted.get();
}

bool job_log::finished(std::uint32_t item) const
{
    return item < this->has_result.size() && this->has_result[item];
}

bool job_log::closed() const
{
    const auto* own = this->submitted();
    return own != nullptr &&
           (this->ended() || this->finished_count() == own->items.size());
}

std::uint32_t job_log::results_within(std::uint64_t records) const
{
    auto end = std::lower_bound(this->result_places.begin(),
                                this->result_places.end(), records);
    return static_cast<std::uint32_t>(end - this->result_places.begin());
}

const record& job_log::result_at(std::uint32_t position) const
{
    return *this->log[this->result_places[position]];
}

std::uint64_t job_log::open_tokens() const
{
    const auto* own = this->submitted();
    if (own == nullptr || this->ended())
        return 0;
    std::uint64_t total = 0;
    for (std::size_t at = 0; at < own->items.size(); at++)
        if (!this->has_result[at])
            total += own->items[at].tokens;
    return total;
}

} // namespace amaranthhatch::core::batches
