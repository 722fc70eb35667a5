#include "claim_schedule.hpp"

#include "core/claims/keeper_change.hpp"
#include "core/members/rendezvous.hpp"

namespace amaranthhatch::tests
{

namespace
{

namespace messages = core::messages;

using core::milliseconds;
using core::claims::claim_vote;
using core::claims::vote_state;

constexpr unsigned node_count = 6;
constexpr unsigned step_count = 220;
constexpr std::uint64_t key_count = 12;
constexpr std::uint64_t usual_delay_ms = 120;
constexpr std::uint64_t most_delay_ms = 900;
constexpr milliseconds step_time{40};
const char* const zones[] = {"poa-a", "poa-b", "sp-a"};

std::string node_name(unsigned index)
{
    return "n" + std::to_string(index);
}

} // namespace

claim_schedule::claim_schedule(std::uint64_t seed, claim_fault fault)
    : random(seed), fault(fault)
{
    this->options.window = milliseconds(60'000);
    this->options.ask_limit = milliseconds(400);
    this->options.copy_part = 2;
    std::vector<messages::keeper> first;
    for (unsigned index = 0; index + 1 < node_count; ++index)
    {
        std::string name = node_name(index);
        this->boot(name, true);
        first.push_back({name, zones[index % 3], name, this->boots[name]});
    }
    this->stored.current = {1, 0, first};
    for (auto& [name, one] : this->keepers)
        one->adopt(this->now, this->stored);
}

std::uint64_t claim_schedule::pick(std::uint64_t below)
{
    return this->random() % below;
}

void claim_schedule::boot(const std::string& name, bool new_boot)
{
    if (new_boot)
        this->boots[name] = "boot" + std::to_string(++this->boot_count);
    this->keepers[name] = std::make_unique<keeper>(name, this->boots[name],
                                                   this->options, this->now);
}

void claim_schedule::send(message sent)
{
    bool lost = this->pick(12) == 0 || this->cut_off.contains(sent.from) !=
                                           this->cut_off.contains(sent.to);
    if (lost)
        return;
    auto limit = this->pick(8) == 0 ? most_delay_ms : usual_delay_ms;
    sent.due = this->now + milliseconds(this->pick(limit));
    sent.order = ++this->order;
    this->in_flight.insert(std::move(sent));
}

void claim_schedule::start_attempt()
{
    attempt made;
    made.key = "key" + std::to_string(this->pick(key_count));
    made.name = "attempt" + std::to_string(this->attempts.size());
    // The asker's own view may be a generation behind.
    const auto& view = this->stored;
    bool stale = !view.earlier.empty() && this->pick(3) == 0;
    const auto& set = stale ? view.earlier.back() : view.current;
    made.generation = set.generation;
    made.asked = this->now;
    auto asked = core::members::keepers_of(made.key, set);
    made.vote.emplace(asked.size(), this->now, this->options.ask_limit);
    this->attempts.push_back(made);
    std::string asker = "entry" + std::to_string(this->pick(2));
    for (const auto& one : asked)
    {
        message ask;
        ask.what = message::kind::ask;
        ask.from = asker;
        ask.to = one.name;
        ask.attempt = this->attempts.size() - 1;
        this->send(ask);
    }
}

void claim_schedule::decide(std::size_t index)
{
    attempt& one = this->attempts[index];
    bool late = this->now > one.asked + this->options.ask_limit;
    auto state = one.vote->state();
    if (one.decided || (state == vote_state::open && !late))
        return;
    one.decided = true;
    if (state == vote_state::granted && !late)
    {
        this->holders[one.key].insert(one.name);
        ++this->grants;
        return;
    }
    ++this->refusals;
    for (const auto& [name, held] : this->keepers)
    {
        message release;
        release.what = message::kind::release;
        release.from = "entry0";
        release.to = name;
        release.attempt = index;
        this->send(release);
    }
}

void claim_schedule::restart_one()
{
    std::string name = node_name(static_cast<unsigned>(this->pick(node_count)));
    if (!this->keepers.contains(name))
        return;
    // With the fault, the keeper passes for one that never stopped.
    this->boot(name, this->fault != claim_fault::vote_after_restart);
    this->keepers[name]->adopt(this->now, this->stored);
}

void claim_schedule::change_generation()
{
    std::string name = node_name(static_cast<unsigned>(this->pick(node_count)));
    bool listed = false;
    for (const auto& one : this->stored.current.keepers)
        listed = listed || one.name == name;
    if (listed && this->stored.current.keepers.size() > 4)
    {
        this->stored = core::claims::without_keeper(this->stored, name, 0);
    }
    else if (!listed)
    {
        if (!this->keepers.contains(name))
            this->boot(name, true);
        std::vector<messages::keeper> added = {
            {name, zones[this->pick(3)], name, this->boots[name]}};
        this->stored = core::claims::with_keepers(
            this->stored, added, 0,
            [](const messages::keeper_set&) { return false; });
    }
    if (this->fault == claim_fault::vote_without_copies)
        this->stored.earlier.clear();
    for (const auto& [target, held] : this->keepers)
    {
        message news;
        news.what = message::kind::adopt;
        news.from = "store";
        news.to = target;
        news.history = this->stored;
        this->send(news);
    }
}

void claim_schedule::ask_for_copies()
{
    for (const auto& [name, held] : this->keepers)
    {
        for (const auto& from : held->missing_copies(this->now))
        {
            message ask;
            ask.what = message::kind::copy_ask;
            ask.from = name;
            ask.to = from.name;
            ask.generation = held->history().current.generation;
            this->send(ask);
        }
        // News that were lost are told again by gossip.
        message news;
        news.what = message::kind::adopt;
        news.from = "store";
        news.to = name;
        news.history = this->stored;
        this->send(news);
    }
}

void claim_schedule::deliver(const message& got)
{
    auto found = this->keepers.find(got.to);
    switch (got.what)
    {
    case message::kind::ask:
    {
        if (found == this->keepers.end())
            return;
        const auto& one = this->attempts[got.attempt];
        message answer;
        answer.what = message::kind::answer;
        answer.from = got.to;
        answer.to = got.from;
        answer.attempt = got.attempt;
        answer.answer =
            found->second->ask(this->now, {one.key, one.name, one.generation});
        this->send(answer);
        return;
    }
    case message::kind::answer:
        this->attempts[got.attempt].vote->answered(this->now, got.answer);
        this->decide(got.attempt);
        return;
    case message::kind::release:
        if (found != this->keepers.end())
            found->second->release({this->attempts[got.attempt].key,
                                    this->attempts[got.attempt].name});
        return;
    case message::kind::copy_ask:
    {
        if (found == this->keepers.end())
            return;
        // All parts travel in one message here.
        message answer;
        answer.what = message::kind::copy_answer;
        answer.from = got.to;
        answer.to = got.from;
        answer.generation = got.generation;
        messages::claim_copy_request request{got.generation, got.from, 0};
        do
        {
            auto part = found->second->copy(this->now, request);
            answer.copy.moved = part.moved;
            answer.copy.boot = part.boot;
            answer.copy.restored = part.restored;
            answer.copy.last = part.last || !part.moved;
            answer.copy.claims.insert(answer.copy.claims.end(),
                                      part.claims.begin(), part.claims.end());
            request.after = part.next;
        } while (!answer.copy.last);
        this->send(answer);
        return;
    }
    case message::kind::copy_answer:
        if (found != this->keepers.end())
            found->second->take_copy(this->now, got.from, got.generation,
                                     got.copy);
        return;
    case message::kind::adopt:
        if (found != this->keepers.end())
            found->second->adopt(this->now, got.history);
        return;
    }
}

std::set<std::string> claim_schedule::run()
{
    for (unsigned step = 0; step < step_count; ++step)
    {
        this->now += step_time;
        while (!this->in_flight.empty() &&
               this->in_flight.begin()->due <= this->now)
        {
            message next = *this->in_flight.begin();
            this->in_flight.erase(this->in_flight.begin());
            this->deliver(next);
        }
        for (std::size_t index = 0; index < this->attempts.size(); ++index)
            this->decide(index);
        auto choice = this->pick(20);
        if (choice < 9)
            this->start_attempt();
        else if (choice < 14)
            this->ask_for_copies();
        else if (choice == 14)
            this->restart_one();
        else if (choice == 15)
            this->change_generation();
        else if (choice == 16 && this->cut_off.empty())
            this->cut_off = {node_name(2), node_name(5), "entry1"};
        else if (choice == 17)
            this->cut_off.clear();
    }
    std::set<std::string> doubled;
    for (const auto& [key, names] : this->holders)
    {
        if (names.size() > 1)
            doubled.insert(key);
    }
    return doubled;
}

} // namespace amaranthhatch::tests
