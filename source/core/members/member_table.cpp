#include "core/members/member_table.hpp"

#include <algorithm>
#include <bit>

namespace amaranthhatch::core::members
{

namespace
{

using messages::liveness;

// Each update is sent this many times the binary logarithm of the number of
// members. With this factor, SWIM's updates reach all members with high
// probability.
constexpr unsigned sends_per_doubling = 3;

bool is_dead_or_left(liveness state)
{
    return state == liveness::dead || state == liveness::left;
}

// Within one incarnation, the more severe state wins.
bool overrides(const messages::member& update, const messages::member& record)
{
    if (update.incarnation != record.incarnation)
        return update.incarnation > record.incarnation;
    if (update.state != record.state)
        return update.state > record.state;
    return update.revision > record.revision;
}

} // namespace

member_table::member_table(messages::member self, member_options options,
                           std::uint64_t seed)
    : own(std::move(self)), options(options), random(seed)
{
    this->own_sends_left = this->send_count();
}

unsigned member_table::send_count() const
{
    auto doublings =
        static_cast<unsigned>(std::bit_width(this->records.size() + 1));
    return sends_per_doubling * doublings;
}

bool member_table::merge(instant now, std::span<const messages::member> updates)
{
    bool changed = false;
    for (const auto& update : updates)
        changed = this->merge_one(now, update) || changed;
    return changed;
}

bool member_table::merge_one(instant now, const messages::member& update)
{
    if (update.name == this->own.name)
        return this->merge_self(update);
    auto found = this->records.find(update.name);
    if (found == this->records.end())
    {
        // Ignores a dead member that this node has removed or never recorded.
        if (is_dead_or_left(update.state))
            return false;
        this->store(now, update);
        return true;
    }
    if (!overrides(update, found->second.member))
        return false;
    this->store(now, update);
    return true;
}

bool member_table::merge_self(const messages::member& update)
{
    bool must_refute =
        update.state != liveness::alive && this->own.state == liveness::alive;
    if (update.incarnation < this->own.incarnation ||
        (!must_refute && update.incarnation == this->own.incarnation))
        return false;
    this->own.incarnation = update.incarnation + 1;
    this->own_sends_left = this->send_count();
    ++this->view_digest;
    return true;
}

void member_table::store(instant now, const messages::member& update)
{
    auto& record = this->records[update.name];
    bool only_revision = record.member.state == update.state &&
                         record.member.incarnation == update.incarnation &&
                         record.member.name == update.name;
    record.member = update;
    record.sends_left = this->send_count();
    if (only_revision)
        return;
    record.changed = now;
    ++this->view_digest;
}

std::vector<messages::member> member_table::take_updates()
{
    std::vector<member_record*> pending;
    for (auto& [name, record] : this->records)
    {
        if (record.sends_left > 0)
            pending.push_back(&record);
    }
    std::sort(pending.begin(), pending.end(),
              [](const member_record* first, const member_record* second)
              { return first->sends_left > second->sends_left; });
    std::vector<messages::member> updates;
    if (this->own_sends_left > 0)
    {
        --this->own_sends_left;
        updates.push_back(this->own);
    }
    for (member_record* record : pending)
    {
        if (updates.size() >= this->options.max_updates)
            break;
        --record->sends_left;
        updates.push_back(record->member);
    }
    return updates;
}

std::optional<messages::member> member_table::next_probe()
{
    // Members are probed in shuffled rounds. Unlike independent random choices,
    // this bounds the time until each member is probed.
    while (true)
    {
        if (this->probe_round.empty())
        {
            for (const auto& [name, record] : this->records)
            {
                if (!is_dead_or_left(record.member.state))
                    this->probe_round.push_back(name);
            }
            std::shuffle(this->probe_round.begin(), this->probe_round.end(),
                         this->random);
            if (this->probe_round.empty())
                return std::nullopt;
        }
        std::string name = std::move(this->probe_round.back());
        this->probe_round.pop_back();
        auto found = this->records.find(name);
        bool usable = found != this->records.end() &&
                      !is_dead_or_left(found->second.member.state);
        if (usable)
            return found->second.member;
    }
}

std::vector<messages::member> member_table::helpers(std::string_view target,
                                                    std::size_t count)
{
    std::vector<messages::member> usable;
    for (const auto& [name, record] : this->records)
    {
        if (name != target && record.member.state == liveness::alive &&
            record.member.process_role == messages::role::coordinator)
            usable.push_back(record.member);
    }
    std::shuffle(usable.begin(), usable.end(), this->random);
    usable.resize(std::min(usable.size(), count));
    return usable;
}

void member_table::probe_failed(instant now, std::string_view name)
{
    auto found = this->records.find(name);
    if (found == this->records.end() ||
        found->second.member.state != liveness::alive)
        return;
    messages::member suspected = found->second.member;
    suspected.state = liveness::suspect;
    this->store(now, suspected);
}

void member_table::received_from(instant now, const messages::member& sender)
{
    this->merge_one(now, sender);
}

void member_table::tick(instant now)
{
    std::vector<std::string> expired;
    for (auto& [name, record] : this->records)
    {
        auto age = now - record.changed;
        if (record.member.state == liveness::suspect &&
            age > this->options.suspect_limit)
        {
            messages::member dead = record.member;
            dead.state = liveness::dead;
            this->store(now, dead);
        }
        else if (is_dead_or_left(record.member.state) &&
                 age > this->options.forget_limit)
        {
            expired.push_back(name);
        }
    }
    for (const auto& name : expired)
    {
        this->records.erase(name);
        ++this->view_digest;
    }
}

void member_table::set_revision(std::uint64_t revision)
{
    if (revision <= this->own.revision)
        return;
    this->own.revision = revision;
    this->own_sends_left = this->send_count();
}

void member_table::leave()
{
    this->own.state = liveness::left;
    this->own_sends_left = this->send_count();
    ++this->view_digest;
}

std::vector<messages::member> member_table::all() const
{
    std::vector<messages::member> members{this->own};
    for (const auto& [name, record] : this->records)
        members.push_back(record.member);
    return members;
}

std::optional<messages::member> member_table::newest_configuration() const
{
    const messages::member* newest = nullptr;
    for (const auto& [name, record] : this->records)
    {
        if (is_dead_or_left(record.member.state))
            continue;
        if (newest == nullptr || record.member.revision > newest->revision)
            newest = &record.member;
    }
    if (newest == nullptr)
        return std::nullopt;
    return *newest;
}

} // namespace amaranthhatch::core::members
