#include "core/batches/job_log.hpp"

#include <algorithm>

namespace amaranthhatch::core::batches
{

job_log::job_log(std::string id) : job_id(std::move(id)) {}

log_mark job_log::mark() const
{
    return {this->epoch_before(this->log.size()), this->log.size()};
}

std::uint64_t job_log::epoch_before(std::uint64_t position) const
{
    return position == 0 || position > this->log.size()
               ? 0
               : this->log[position - 1]->epoch;
}

append_result job_log::append(std::uint64_t position,
                              std::uint64_t previous_epoch,
                              std::span<const record_ptr> added)
{
    bool fits = position <= this->log.size() &&
                this->epoch_before(position) == previous_epoch;
    if (!fits)
        return append_result::mismatch;
    for (const auto& added_record : added)
    {
        bool same = position < this->log.size() &&
                    this->log[position]->epoch == added_record->epoch;
        if (!same)
        {
            this->truncate(position);
            this->log.push_back(added_record);
            this->apply_record(*added_record, position);
        }
        position++;
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

void job_log::truncate(std::uint64_t position)
{
    if (position >= this->log.size())
        return;
    this->log.resize(position);
    this->rebuild();
}

void job_log::rebuild()
{
    this->result_positions.clear();
    this->has_result.clear();
    this->end_position = 0;
    for (std::uint64_t position = 0; position < this->log.size(); position++)
        this->apply_record(*this->log[position], position);
}

void job_log::apply_record(const record& added, std::uint64_t position)
{
    switch (added.kind)
    {
    case record_kind::accepted:
        this->has_result.assign(added.accepted->items.size(), false);
        break;
    case record_kind::result:
        if (added.item < this->has_result.size())
            this->has_result[added.item] = true;
        this->result_positions.push_back(position);
        break;
    case record_kind::ended:
        this->end_position = position;
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
    auto end = std::lower_bound(this->result_positions.begin(),
                                this->result_positions.end(), records);
    return static_cast<std::uint32_t>(end - this->result_positions.begin());
}

const record& job_log::result_at(std::uint32_t result_index) const
{
    return *this->log[this->result_positions[result_index]];
}

std::uint64_t job_log::open_tokens() const
{
    const auto* own = this->submitted();
    if (own == nullptr || this->ended())
        return 0;
    std::uint64_t total = 0;
    for (std::size_t item = 0; item < own->items.size(); item++)
        if (!this->has_result[item])
            total += own->items[item].tokens;
    return total;
}

} // namespace amaranthhatch::core::batches
