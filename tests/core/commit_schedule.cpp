#include "commit_schedule.hpp"

#include <algorithm>

namespace amaranthhatch::tests
{

namespace
{

namespace messages = core::messages;

using core::jobs::job_manifest;
using core::jobs::manifest_state;
using verdict = messages::append_answer::verdict;

constexpr unsigned step_count = 300;
constexpr std::uint64_t most_delay = 12;
const std::string host_names[] = {"a", "b", "c", "d"};

} // namespace

commit_schedule::commit_schedule(std::uint64_t seed, commit_fault fault)
    : random(seed), fault(fault)
{
    for (const auto& name : host_names)
        this->disks[name];
    this->manifest.job = "job";
    this->manifest.epoch = 1;
    this->manifest.owner = "a";
    this->manifest.copies = {"a", "b"};
    this->manifest.state = manifest_state::running;
    messages::journal_append first{"job", 1, 0, 0, {"description"}};
    this->apply(this->disks["a"], first);
    this->apply(this->disks["b"], first);
    owner made;
    made.host = "a";
    made.epoch = 1;
    made.version = this->version;
    made.manifest = this->manifest;
    made.commits.choose_second("b", 1);
    made.commits.list_second();
    this->owners.push_back(made);
    this->check_committed(this->owners[0]);
}

std::uint64_t commit_schedule::pick(std::uint64_t below)
{
    return this->random() % below;
}

verdict commit_schedule::apply(disk& on,
                               const messages::journal_append& request)
{
    // A host that lost its disk has lost its sealed epoch, so it reads the
    // manifest's current epoch before it accepts a first record.
    bool ask = on.records.empty() && request.position == 0 &&
               this->fault != commit_fault::accept_any_epoch;
    if (ask && request.epoch < this->manifest.epoch)
        return verdict::sealed;
    auto decision = on.copy.decide(request);
    if (decision.verdict != verdict::stored)
        return decision.verdict;
    on.copy.seal(request.epoch);
    auto added = std::span(request.records).subspan(decision.skip);
    on.copy.applied(decision.keep, added);
    on.copy.advance_committed(request.committed);
    on.records.resize(decision.keep);
    on.records.insert(on.records.end(), added.begin(), added.end());
    return verdict::stored;
}

bool commit_schedule::swap(owner& by, const job_manifest& next)
{
    if (by.version != this->version)
        return false;
    this->manifest = next;
    by.manifest = next;
    by.version = ++this->version;
    return true;
}

void commit_schedule::check_committed(const owner& by)
{
    std::uint64_t committed = by.commits.committed();
    if (this->fault == commit_fault::count_unlisted_second &&
        !by.commits.is_superseded())
        committed = std::max(committed, by.commits.confirmed());
    const auto& held = this->disks[by.host].records;
    for (std::uint64_t at = 0; at < committed; ++at)
    {
        if (at >= held.size())
        {
            this->failure = "an owner counts records that it has not stored";
            return;
        }
        if (at == this->records.size())
            this->records.push_back(held[at]);
        else if (this->records[at] != held[at])
            this->failure = "a committed record was replaced";
    }
}

void commit_schedule::produce(std::size_t index)
{
    owner& by = this->owners[index];
    disk& local = this->disks[by.host];
    if (!by.alive || by.commits.is_superseded())
        return;
    messages::journal_append request{
        "job", by.epoch, local.copy.length(), 0, {}};
    request.records = {"result " + std::to_string(++this->produced)};
    if (this->apply(local, request) != verdict::stored)
    {
        by.commits.supersede();
        return;
    }
    if (!by.commits.second())
        return;
    append sent;
    sent.due = this->now + 1 + this->pick(most_delay);
    sent.owner = index;
    sent.to = *by.commits.second();
    sent.request.job = "job";
    sent.request.epoch = by.epoch;
    sent.request.position = by.commits.confirmed();
    sent.request.committed = by.commits.committed();
    sent.request.records.assign(local.records.begin() +
                                    static_cast<long>(by.commits.confirmed()),
                                local.records.end());
    if (this->pick(8) != 0)
        this->in_flight.push_back(sent);
}

void commit_schedule::deliver(const append& one)
{
    auto result = this->apply(this->disks[one.to], one.request);
    owner& by = this->owners[one.owner];
    // The response may be lost, or arrive after the owner died or chose another
    // second copy.
    bool acknowledged =
        by.alive && this->pick(8) != 0 && by.commits.second() == one.to;
    if (!acknowledged)
        return;
    if (result == verdict::behind && one.request.position > 0)
    {
        append whole = one;
        whole.due = this->now + 1 + this->pick(most_delay);
        whole.request.position = 0;
        whole.request.records = this->disks[by.host].records;
        this->in_flight.push_back(whole);
        return;
    }
    by.commits.handle_append_result(result, one.request.position +
                                                one.request.records.size());
    this->check_committed(by);
}

void commit_schedule::choose_second(std::size_t index)
{
    owner& by = this->owners[index];
    if (!by.alive || !by.commits.needs_second())
        return;
    const auto& host = host_names[this->pick(std::size(host_names))];
    if (host == by.host)
        return;
    messages::journal_append whole{"job", by.epoch, 0, 0,
                                   this->disks[by.host].records};
    auto result = this->apply(this->disks[host], whole);
    if (result == verdict::sealed)
        by.commits.supersede();
    if (result != verdict::stored)
        return;
    by.commits.choose_second(host, whole.records.size());
    this->check_committed(by);
}

void commit_schedule::list_second(std::size_t index)
{
    owner& by = this->owners[index];
    if (!by.alive || by.commits.is_second_listed() || !by.commits.second())
        return;
    job_manifest next = by.manifest;
    next.copies = {by.host, *by.commits.second()};
    if (!this->swap(by, next))
        return;
    by.commits.list_second();
    this->check_committed(by);
}

void commit_schedule::take_over()
{
    const auto& host = host_names[this->pick(std::size(host_names))];
    if (!this->manifest.holds_copy(host) || this->disks[host].records.empty())
        return;
    owner made;
    made.host = host;
    made.version = this->version;
    made.manifest = this->manifest;
    job_manifest next = this->manifest;
    ++next.epoch;
    next.owner = host;
    made.epoch = next.epoch;
    if (!this->swap(made, next))
        return;
    if (this->fault != commit_fault::take_over_unsealed)
        this->disks[host].copy.seal(made.epoch);
    // The new owner's copy must contain every committed record.
    const auto& held = this->disks[host].records;
    for (std::size_t at = 0; at < this->records.size(); ++at)
    {
        if (at >= held.size() || held[at] != this->records[at])
            this->failure = "a new owner lacks a committed record";
    }
    this->owners.push_back(made);
}

void commit_schedule::crash()
{
    for (auto& one : this->owners)
    {
        if (this->pick(2) == 0)
            one.alive = false;
    }
}

// Only one disk is lost at a time: the other listed copy must have records.
void commit_schedule::lose_disk()
{
    const auto& host = host_names[this->pick(std::size(host_names))];
    for (const auto& other : this->manifest.copies)
    {
        if (other != host && this->disks[other].records.empty())
            return;
    }
    this->disks[host] = disk();
    for (auto& one : this->owners)
        one.alive = one.alive && one.host != host;
}

std::string commit_schedule::run()
{
    for (unsigned step = 0; step < step_count && this->failure.empty(); ++step)
    {
        ++this->now;
        std::vector<append> due;
        std::erase_if(this->in_flight,
                      [&](const append& one)
                      {
                          if (one.due > this->now)
                              return false;
                          due.push_back(one);
                          return true;
                      });
        for (const auto& one : due)
            this->deliver(one);
        std::size_t index = this->pick(this->owners.size());
        // Mostly the newest owner acts, occasionally a superseded one.
        if (this->pick(3) != 0)
            index = this->owners.size() - 1;
        auto choice = this->pick(40);
        if (choice < 20)
            this->produce(index);
        else if (choice < 27)
            this->choose_second(index);
        else if (choice < 35)
            this->list_second(index);
        else if (choice < 38)
            this->take_over();
        else if (choice == 38)
            this->crash();
        else if (this->pick(3) == 0)
            this->lose_disk();
    }
    return this->failure;
}

} // namespace amaranthhatch::tests
