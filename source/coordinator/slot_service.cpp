#include "coordinator/slot_service.hpp"

#include <utility>

#include "net/codec.hpp"
#include "process/program.hpp"

namespace amaranthhatch::coordinator
{

namespace
{

namespace messages = core::messages;

// Ticket numbers of two coordinators must not meet, since a ticket outlives
// the coordinator that granted it.
std::uint64_t first_ticket()
{
    constexpr unsigned counter_bits = 32;
    constexpr std::uint64_t positive_mask = 0x7fffffff;
    return (process::random_number() & positive_mask) << counter_bits | 1u;
}

} // namespace

std::string group_name(std::string_view serves, std::string_view region)
{
    return std::string(serves) + "@" + std::string(region);
}

slot_service::slot_service(core::slots::scheduler_options options,
                           metrics::registry& metrics, prober probe)
    : options(options), metrics(metrics), probe(std::move(probe))
{
}

core::slots::slot_scheduler* slot_service::find(const std::string& group)
{
    auto found = this->groups.find(group);
    return found == this->groups.end() ? nullptr : &found->second;
}

void slot_service::set_endpoints(
    core::instant now, const std::vector<adapters::listed_endpoint>& listed)
{
    std::map<std::string, std::vector<core::slots::group_endpoint>> by_group;
    for (const auto& [name, group] : this->groups)
        by_group[name];
    for (const auto& one : listed)
    {
        bool engine = one.kind == adapters::endpoint_kind::engine;
        by_group[group_name(one.serves, one.region)].push_back(
            {one.name, one.address, one.region, one.leaving, engine});
    }
    for (const auto& [name, endpoints] : by_group)
    {
        auto at =
            this->groups.try_emplace(name, name, this->options, first_ticket())
                .first;
        at->second.set_endpoints(now, endpoints);
        this->send_output(name, at->second);
    }
}

void slot_service::want(core::instant now, const messages::want_slot& request,
                        net::reply_handle reply)
{
    auto* group = this->find(request.group);
    if (group == nullptr)
    {
        messages::slot_answer answer;
        answer.reason = core::refusal::no_endpoint;
        this->metrics.count("hatch_slot_refusals_total", "reason",
                            name_of(answer.reason));
        reply.send(net::encode(answer));
        return;
    }
    auto number = this->next_waiter++;
    this->waiters.emplace(number, std::move(reply));
    group->request_slot(now, number, request);
    this->send_output(request.group, *group);
}

void slot_service::report(core::instant now, const messages::slot_report& told,
                          net::reply_handle reply)
{
    messages::report_answer answer;
    if (auto* group = this->find(told.group))
    {
        answer = group->report(now, told);
        this->send_output(told.group, *group);
    }
    reply.send(net::encode(answer));
}

void slot_service::await_preemption(core::instant now,
                                    const messages::await_preemption& request,
                                    net::reply_handle reply)
{
    auto& waiting = this->yields[request.requester];
    waiting.end = now + core::milliseconds(request.wait_timeout_ms);
    waiting.reply = std::make_unique<net::reply_handle>(std::move(reply));
    this->send_yields();
}

void slot_service::endpoints(const messages::endpoints_request& request,
                             net::reply_handle reply) const
{
    messages::endpoints_answer answer;
    auto found = this->groups.find(request.group);
    if (found != this->groups.end())
        answer = found->second.endpoints();
    reply.send(net::encode(answer));
}

void slot_service::tick(core::instant now)
{
    for (auto& [name, group] : this->groups)
    {
        group.tick(now);
        this->send_output(name, group);
    }
    for (auto& [asker, waiting] : this->yields)
    {
        if (waiting.reply == nullptr || now < waiting.end)
            continue;
        waiting.reply->send(net::encode(messages::preemption_answer{}));
        waiting.reply.reset();
    }
}

void slot_service::send_output(const std::string& group,
                               core::slots::slot_scheduler& from)
{
    auto output = from.take_output();
    for (const auto& decision : output.decisions)
    {
        auto found = this->waiters.find(decision.waiter);
        if (found == this->waiters.end())
            continue;
        bool refused = decision.answer.reason != core::refusal::none;
        this->metrics.count(refused ? "hatch_slot_refusals_total"
                                    : "hatch_slot_grants_total",
                            "reason", name_of(decision.answer.reason));
        found->second.send(net::encode(decision.answer));
        this->waiters.erase(found);
    }
    for (const auto& one : output.preemptions)
    {
        this->metrics.count("hatch_yields_total", "asker", one.requester);
        this->yields[one.requester].tickets.push_back(one.ticket);
    }
    if (!output.preemptions.empty())
        this->send_yields();
    for (const auto& one : output.probes)
    {
        this->metrics.count("hatch_probes_total", "endpoint", one.endpoint);
        this->probe(group, one);
    }
}

void slot_service::probe_ended(core::instant now, const std::string& group,
                               const std::string& endpoint,
                               std::uint32_t tokens, core::milliseconds time)
{
    auto* found = this->find(group);
    if (found == nullptr)
        return;
    found->probe_ended(now, endpoint, tokens, time);
    this->send_output(group, *found);
}

void slot_service::send_yields()
{
    for (auto& [asker, waiting] : this->yields)
    {
        if (waiting.reply == nullptr || waiting.tickets.empty())
            continue;
        messages::preemption_answer answer;
        answer.tickets = std::exchange(waiting.tickets, {});
        waiting.reply->send(net::encode(answer));
        waiting.reply.reset();
    }
}

std::vector<messages::endpoint_status> slot_service::status() const
{
    std::vector<messages::endpoint_status> all;
    for (const auto& [name, group] : this->groups)
    {
        auto part = group.status();
        all.insert(all.end(), part.begin(), part.end());
    }
    return all;
}

} // namespace amaranthhatch::coordinator
