#include "coordinator/member_service.hpp"

#include <algorithm>
#include <memory>

#include "logging/event.hpp"
#include "net/codec.hpp"

namespace amaranthhatch::coordinator
{

namespace
{

namespace messages = core::messages;

constexpr core::milliseconds probe_limit{300};
constexpr core::milliseconds indirect_limit{500};
constexpr core::milliseconds asker_limit{5000};
constexpr std::size_t helper_count = 2;
constexpr std::size_t asker_capacity = 4096;

} // namespace

member_service::member_service(core::members::member_table table,
                               std::vector<std::string> seeds,
                               control::control_loop& loop,
                               net::rpc_client& peers,
                               metrics::registry& metrics, newer_handler newer)
    : members(std::move(table)), seeds(std::move(seeds)), loop(loop),
      peers(peers), metrics(metrics), newer(std::move(newer))
{
}

messages::ping member_service::make_ping()
{
    messages::ping request;
    request.sender = this->members.self();
    request.updates = this->members.take_updates();
    return request;
}

messages::pong member_service::ping(core::instant now,
                                    const messages::ping& request)
{
    bool known = false;
    for (const auto& one : this->members.all())
        known = known || one.name == request.sender.name;
    this->members.received_from(now, request.sender);
    this->members.merge(now, request.updates);
    bool behind = request.sender.revision > this->revision;
    if (behind)
        this->newer(request.sender.address);
    messages::pong answer;
    answer.revision = this->revision;
    // A newcomer gets the whole view at once; at the target's size that is
    // some 60 KB, once for each start of a node.
    answer.updates = known ? this->members.take_updates() : this->members.all();
    answer.updates.push_back(this->members.self());
    // What the sender is believed to be is always told, so that a member that
    // is wrongly held for dead can refute it.
    for (const auto& one : this->members.all())
    {
        if (one.name == request.sender.name)
            answer.updates.push_back(one);
    }
    return answer;
}

void member_service::probe_for(const messages::ping_request& request,
                               std::function<void(bool)> done)
{
    messages::ping probe = this->make_ping();
    probe.target = request.target.name;
    this->peers.post(request.target.address, net::encode(probe), probe_limit,
                     [done](std::optional<std::string> frame)
                     {
                         auto answer =
                             net::decode_answer<messages::pong>(frame);
                         done(answer && answer->reached);
                     });
}

void member_service::heard(core::instant now, const messages::member& from)
{
    if (from.process_role == messages::role::batch)
    {
        this->members.received_from(now, from);
        return;
    }
    if (this->askers.size() < asker_capacity ||
        this->askers.contains(from.name))
        this->askers[from.name] = {from, now};
}

void member_service::ping_seed()
{
    if (this->seeds.empty())
        return;
    std::string address = this->seeds[this->next_seed++ % this->seeds.size()];
    if (address == this->members.self().address)
        return;
    this->peers.post(
        address, net::encode(this->make_ping()), probe_limit,
        [this, address](std::optional<std::string> frame)
        {
            auto answer = net::decode_answer<messages::pong>(frame);
            if (!answer)
                return;
            this->loop.post(
                [this, address, told = *answer]
                { this->take_pong(control::monotonic_now(), address, told); });
        });
}

void member_service::probe()
{
    // Seeds are asked now and then for good, so that two halves that lost each
    // other, and forgot each other, meet again.
    constexpr unsigned seed_every = 8;
    auto target = this->members.next_probe();
    if (!target || this->probe_turns++ % seed_every == 0)
        this->ping_seed();
    if (target)
        this->send_probe(*target);
}

void member_service::send_probe(const messages::member& target)
{
    auto request = this->make_ping();
    request.target = target.name;
    this->peers.post(target.address, net::encode(request), probe_limit,
                     [this, target](std::optional<std::string> frame)
                     {
                         auto answer =
                             net::decode_answer<messages::pong>(frame);
                         this->loop.post(
                             [this, target, answer]
                             {
                                 if (answer)
                                     this->take_pong(control::monotonic_now(),
                                                     target.address, *answer);
                                 else
                                     this->probe_indirectly(target);
                             });
                     });
}

void member_service::probe_indirectly(const messages::member& target)
{
    struct tally
    {
        std::size_t open = 0;
        bool reached = false;
    };
    this->metrics.count("hatch_probes_missed_total", "peer", target.name);
    auto helpers = this->members.helpers(target.name, helper_count);
    if (helpers.empty())
    {
        this->members.probe_failed(control::monotonic_now(), target.name);
        return;
    }
    auto votes = std::make_shared<tally>();
    votes->open = helpers.size();
    messages::ping_request request{this->members.self(), target};
    for (const auto& helper : helpers)
    {
        this->peers.post(
            helper.address, net::encode(request), indirect_limit,
            [this, target, votes](std::optional<std::string> frame)
            {
                auto answer = net::decode_answer<messages::pong>(frame);
                bool reached = answer && answer->reached;
                this->loop.post(
                    [this, target, votes, reached]
                    {
                        votes->reached = votes->reached || reached;
                        if (--votes->open == 0 && !votes->reached)
                            this->members.probe_failed(control::monotonic_now(),
                                                       target.name);
                    });
            });
    }
}

void member_service::take_pong(core::instant now, const std::string& address,
                               const messages::pong& answer)
{
    this->members.merge(now, answer.updates);
    if (answer.revision > this->revision)
        this->newer(address);
}

void member_service::tick(core::instant now)
{
    this->members.tick(now);
    std::erase_if(this->askers, [&](const auto& entry)
                  { return now - entry.second.heard > asker_limit; });
    std::size_t alive = 0;
    for (const auto& one : this->members.all())
        alive += one.state == messages::liveness::alive ? 1 : 0;
    this->metrics.set("hatch_members_alive", static_cast<double>(alive));
}

void member_service::leave()
{
    this->members.leave();
    auto request = this->make_ping();
    for (const auto& one : this->members.all())
    {
        if (one.name != this->members.self().name &&
            one.state == messages::liveness::alive)
            this->peers.post(one.address, net::encode(request), probe_limit,
                             [](std::optional<std::string>) {});
    }
}

void member_service::set_revision(std::uint64_t new_revision)
{
    this->revision = new_revision;
    this->members.set_revision(new_revision);
}

std::vector<messages::member> member_service::everyone() const
{
    auto all = this->members.all();
    for (const auto& [name, one] : this->askers)
        all.push_back(one.member);
    return all;
}

} // namespace amaranthhatch::coordinator
