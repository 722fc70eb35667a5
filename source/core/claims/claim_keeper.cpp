#include "core/claims/claim_keeper.hpp"

#include <algorithm>

#include "core/members/rendezvous.hpp"

namespace amaranthhatch::core::claims
{

namespace
{

using messages::claim_verdict;

bool holds(const messages::keeper_set& set, std::string_view name)
{
    return std::any_of(set.keepers.begin(), set.keepers.end(),
                       [&](const auto& one) { return one.name == name; });
}

// Every majority includes one of the heard keepers as long as fewer than a
// majority are unheard: one of three, one of two, none of one.
std::size_t may_be_unheard(std::string_view key,
                           const messages::keeper_set& set)
{
    return members::keepers_of(key, set).size() / 2;
}

} // namespace

claim_keeper::claim_keeper(std::string name, std::string boot,
                           claim_options options, instant started)
    : name(std::move(name)), boot(std::move(boot)), options(options),
      started(started)
{
}

bool claim_keeper::adopt(instant now, const messages::keeper_history& history)
{
    if (history.current.generation <= this->known.current.generation)
        return false;
    this->known = history;
    this->last_copied = now;
    // Copies taken in a lower generation may lack grants made after them.
    this->copied.clear();
    return true;
}

messages::claim_answer claim_keeper::ask(instant now,
                                         const messages::claim_request& request)
{
    messages::claim_answer answer;
    answer.generation = this->known.current.generation;
    if (request.generation != answer.generation)
    {
        answer.verdict = claim_verdict::other_generation;
        return answer;
    }
    this->expire(now);
    auto found = this->claims.find(request.key);
    if (found != this->claims.end())
    {
        bool same = found->second.attempt == request.attempt;
        bool vote = this->may_vote(now, request.key);
        answer.verdict = !same  ? claim_verdict::taken
                         : vote ? claim_verdict::granted
                                : claim_verdict::abstain;
        answer.holder = found->second.attempt;
        return answer;
    }
    if (!this->may_vote(now, request.key))
        return answer;
    if (this->claims.size() >= this->options.capacity)
    {
        answer.verdict = claim_verdict::full;
        return answer;
    }
    this->remember(request.key, request.attempt, now);
    answer.verdict = claim_verdict::granted;
    return answer;
}

void claim_keeper::remember(const std::string& key, const std::string& attempt,
                            instant granted)
{
    std::uint64_t number = ++this->last_number;
    this->claims[key] = {attempt, granted, number};
    this->by_number[number] = key;
}

void claim_keeper::release(const messages::claim_release& request)
{
    auto found = this->claims.find(request.key);
    if (found == this->claims.end() || found->second.attempt != request.attempt)
        return;
    this->by_number.erase(found->second.number);
    this->claims.erase(found);
}

messages::claim_copy_answer
claim_keeper::copy(instant now,
                   const messages::claim_copy_request& request) const
{
    messages::claim_copy_answer answer;
    answer.moved = this->known.current.generation >= request.generation;
    if (!answer.moved)
        return answer;
    auto at = this->by_number.upper_bound(request.after);
    answer.next = request.after;
    answer.boot = this->boot;
    answer.restored = this->is_restored(now);
    while (at != this->by_number.end() &&
           answer.claims.size() < this->options.copy_part)
    {
        const auto& held = this->claims.find(at->second)->second;
        auto age = std::max(now - held.granted, instant{0});
        answer.claims.push_back({at->second, held.attempt,
                                 static_cast<std::uint32_t>(age.count())});
        answer.next = at->first;
        ++at;
    }
    answer.last = at == this->by_number.end();
    return answer;
}

bool claim_keeper::is_continuous(const messages::keeper_set& set) const
{
    return std::any_of(set.keepers.begin(), set.keepers.end(),
                       [&](const auto& one) {
                           return one.name == this->name &&
                                  one.boot == this->boot;
                       });
}

std::vector<messages::keeper> claim_keeper::missing_copies(instant now) const
{
    std::vector<messages::keeper> missing;
    bool whole =
        this->is_continuous(this->known.current) && this->known.earlier.empty();
    // Answers to asks that this keeper's forgotten self took part in may be
    // on their way to other keepers until the ask limit has passed.
    bool too_early = now < this->started + 2 * this->options.ask_limit &&
                     !this->is_continuous(this->known.current);
    if (whole || too_early)
        return missing;
    auto add = [&](const messages::keeper_set& set)
    {
        for (const auto& one : set.keepers)
        {
            bool listed = std::any_of(missing.begin(), missing.end(),
                                      [&](const auto& other)
                                      { return other.name == one.name; });
            if (one.name != this->name && !listed && !this->has_heard(one))
                missing.push_back(one);
        }
    };
    add(this->known.current);
    for (const auto& set : this->known.earlier)
        add(set);
    return missing;
}

void claim_keeper::take_copy(instant now, std::string_view source,
                             std::uint64_t generation,
                             const messages::claim_copy_answer& part)
{
    if (!part.moved || generation != this->known.current.generation)
        return;
    for (const auto& told : part.claims)
    {
        if (this->claims.contains(told.key))
            continue;
        this->remember(told.key, told.attempt, now - milliseconds(told.age_ms));
    }
    if (!part.last)
        return;
    this->copied.insert_or_assign(std::string(source),
                                  copied_table{part.boot, part.restored});
    this->last_copied = now;
}

// A table tells of a set's grants only where the keeper has not restarted
// since it was listed, or has regained what it forgot: two keepers that
// restarted together would else take each other's empty tables for the truth.
bool claim_keeper::has_heard(const messages::keeper& one) const
{
    if (one.name == this->name)
        return one.boot == this->boot;
    auto found = this->copied.find(one.name);
    return found != this->copied.end() &&
           (found->second.restored || found->second.boot == one.boot);
}

bool claim_keeper::has_heard_others(const messages::keeper_set& set) const
{
    return std::all_of(set.keepers.begin(), set.keepers.end(),
                       [this](const auto& one) {
                           return one.name == this->name ||
                                  this->has_heard(one);
                       });
}

bool claim_keeper::is_restored(instant now) const
{
    if (now >= this->started + this->options.window + this->options.ask_limit)
        return true;
    const auto& earlier = this->known.earlier;
    return this->has_heard_others(this->known.current) &&
           std::all_of(earlier.begin(), earlier.end(),
                       [this](const auto& set)
                       { return this->has_heard_others(set); });
}

std::size_t claim_keeper::unheard(std::string_view key,
                                  const messages::keeper_set& set) const
{
    std::size_t count = 0;
    for (const auto& one : members::keepers_of(key, set))
    {
        count += this->has_heard(one) ? 0 : 1;
    }
    return count;
}

bool claim_keeper::may_vote(instant now, std::string_view key) const
{
    if (!holds(this->known.current, this->name))
        return false;
    for (const auto& set : this->known.earlier)
    {
        if (this->unheard(key, set) > may_be_unheard(key, set))
            return false;
    }
    if (this->is_continuous(this->known.current))
        return true;
    if (now >= this->started + this->options.window + this->options.ask_limit)
        return true;
    return this->unheard(key, this->known.current) <=
           may_be_unheard(key, this->known.current);
}

void claim_keeper::expire(instant now)
{
    // Own grants come in the order of their time; copied ones are older than
    // their number says and are kept a little longer than they need to be.
    while (!this->by_number.empty())
    {
        auto oldest = this->by_number.begin();
        auto found = this->claims.find(oldest->second);
        if (found->second.granted + this->options.window > now)
            return;
        this->claims.erase(found);
        this->by_number.erase(oldest);
    }
}

bool claim_keeper::may_drop(instant now,
                            const messages::keeper_set& earlier) const
{
    if (now < this->last_copied + this->options.window)
        return false;
    return std::all_of(earlier.keepers.begin(), earlier.keepers.end(),
                       [&](const auto& one)
                       {
                           return one.name == this->name ||
                                  this->has_heard(one) ||
                                  !holds(this->known.current, one.name);
                       });
}

} // namespace amaranthhatch::core::claims
