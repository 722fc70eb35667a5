#include "core/members/member_table.hpp"

#include <algorithm>
#include <bit>

namespace amaranthhatch::core::members
{

namespace
{

using messages::liveness;

// Each piece of news is sent this many times per doubling of the members, the
// factor with which SWIM reaches all of them with high probability.
constexpr unsigned sends_per_doubling = 3;

bool is_gone(liveness state)
{
    return state == liveness::dead || state == liveness::left;
}

// Within one incarnation the graver belief wins.
bool overrides(const messages::member& told, const messages::member& held)
{
    if (told.incarnation != held.incarnation)
        return told.incarnation > held.incarnation;
    if (told.state != held.state)
        return told.state > held.state;
    return told.revision > held.revision;
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

bool member_table::merge(instant now, std::span<const messages::member> news)
{
    bool changed = false;
    for (const auto& told : news)
        changed = this->merge_one(now, told) || changed;
    return changed;
}

bool member_table::merge_one(instant now, const messages::member& told)
{
    if (told.name == this->own.name)
        return this->merge_self(told);
    auto found = this->records.find(told.name);
    if (found == this->records.end())
    {
        // A dead member that this node has forgotten or never knew is no news.
        if (is_gone(told.state))
            return false;
        this->store(now, told);
        return true;
    }
    if (!overrides(told, found->second.member))
        return false;
    this->store(now, told);
    return true;
}

bool member_table::merge_self(const messages::member& told)
{
    bool wrong =
        told.state != liveness::alive && this->own.state == liveness::alive;
    if (told.incarnation < this->own.incarnation ||
        (!wrong && told.incarnation == this->own.incarnation))
        return false;
    this->own.incarnation = told.incarnation + 1;
    this->own_sends_left = this->send_count();
    ++this->view_digest;
    return true;
}

void member_table::store(instant now, const messages::member& told)
{
    auto& held = this->records[told.name];
    bool only_revision = held.member.state == told.state &&
                         held.member.incarnation == told.incarnation &&
                         held.member.name == told.name;
    held.member = told;
    held.sends_left = this->send_count();
    if (only_revision)
        return;
    held.changed = now;
    ++this->view_digest;
}

std::vector<messages::member> member_table::take_news()
{
    std::vector<record*> pending;
    for (auto& [name, held] : this->records)
    {
        if (held.sends_left > 0)
            pending.push_back(&held);
    }
    std::sort(pending.begin(), pending.end(),
              [](const record* one, const record* other)
              { return one->sends_left > other->sends_left; });
    std::vector<messages::member> news;
    if (this->own_sends_left > 0)
    {
        --this->own_sends_left;
        news.push_back(this->own);
    }
    for (record* held : pending)
    {
        if (news.size() >= this->options.news_limit)
            break;
        --held->sends_left;
        news.push_back(held->member);
    }
    return news;
}

std::optional<messages::member> member_table::next_probe()
{
    // Members are probed in a shuffled round, which bounds the time until each
    // one's turn, unlike a free random choice.
    while (true)
    {
        if (this->probe_round.empty())
        {
            for (const auto& [name, held] : this->records)
            {
                if (!is_gone(held.member.state))
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
                      !is_gone(found->second.member.state);
        if (usable)
            return found->second.member;
    }
}

std::vector<messages::member> member_table::helpers(std::string_view target,
                                                    std::size_t count)
{
    std::vector<messages::member> usable;
    for (const auto& [name, held] : this->records)
    {
        if (name != target && held.member.state == liveness::alive &&
            held.member.does == messages::role::coordinator)
            usable.push_back(held.member);
    }
    std::shuffle(usable.begin(), usable.end(), this->random);
    usable.resize(std::min(usable.size(), count));
    return usable;
}

void member_table::missed(instant now, std::string_view name)
{
    auto found = this->records.find(name);
    if (found == this->records.end() ||
        found->second.member.state != liveness::alive)
        return;
    messages::member suspected = found->second.member;
    suspected.state = liveness::suspect;
    this->store(now, suspected);
}

void member_table::heard(instant now, const messages::member& from)
{
    this->merge_one(now, from);
}

void member_table::tick(instant now)
{
    std::vector<std::string> forgotten;
    for (auto& [name, held] : this->records)
    {
        auto age = now - held.changed;
        if (held.member.state == liveness::suspect &&
            age > this->options.suspect_limit)
        {
            messages::member dead = held.member;
            dead.state = liveness::dead;
            this->store(now, dead);
        }
        else if (is_gone(held.member.state) && age > this->options.forget_limit)
        {
            forgotten.push_back(name);
        }
    }
    for (const auto& name : forgotten)
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
    for (const auto& [name, held] : this->records)
        members.push_back(held.member);
    return members;
}

std::optional<messages::member> member_table::newest_configuration() const
{
    const messages::member* newest = nullptr;
    for (const auto& [name, held] : this->records)
    {
        if (is_gone(held.member.state))
            continue;
        if (newest == nullptr || held.member.revision > newest->revision)
            newest = &held.member;
    }
    if (newest == nullptr)
        return std::nullopt;
    return *newest;
}

} // namespace amaranthhatch::core::members
