#include "routing/local_slots.hpp"

#include <algorithm>

#include "control/control_loop.hpp"
#include "coordinator/slot_service.hpp"
#include "core/members/rendezvous.hpp"
#include "net/codec.hpp"

namespace amaranthhatch::routing
{

namespace
{

namespace messages = core::messages;

constexpr core::milliseconds endpoints_interval{1000};
constexpr core::milliseconds ask_limit{300};

} // namespace

const local_slots::policy_row local_slots::policies[] = {
    {"round_robin", &local_slots::choose_round_robin},
    {"least_outstanding", &local_slots::choose_least_outstanding},
};

bool local_slots::is_policy(std::string_view name)
{
    return std::any_of(std::begin(policies), std::end(policies),
                       [&](const auto& one) { return one.name == name; });
}

local_slots::local_slots(std::string_view policy, std::string region,
                         view_client& view, net::rpc_client& peers)
    : region(std::move(region)), view(view), peers(peers)
{
    for (const auto& one : policies)
    {
        if (one.name == policy)
            this->choose = one.choose;
    }
}

std::size_t local_slots::choose_round_robin(
    const std::vector<messages::endpoint_address>& from)
{
    return this->turn++ % from.size();
}

std::size_t local_slots::choose_least_outstanding(
    const std::vector<messages::endpoint_address>& from)
{
    // The turn breaks ties, or all entries would start with the same endpoint.
    std::size_t start = this->turn++ % from.size();
    std::size_t best = start;
    for (std::size_t step = 1; step < from.size(); ++step)
    {
        std::size_t index = (start + step) % from.size();
        if (this->outstanding[from[index].name] <
            this->outstanding[from[best].name])
            best = index;
    }
    return best;
}

std::vector<messages::endpoint_address>
local_slots::endpoints_of(const std::string& group, const std::string& in)
{
    auto now = control::monotonic_now();
    {
        std::lock_guard lock(this->guard);
        auto& state = this->groups[group];
        if (!state.endpoints.empty() && now - state.read < endpoints_interval)
            return state.endpoints;
    }
    auto members = this->view.now()->members;
    for (const auto& home : core::members::coordinators_for(group, in, members))
    {
        auto answer =
            net::decode_answer<messages::endpoints_answer>(this->peers.ask(
                home.address, net::encode(messages::endpoints_request{group}),
                ask_limit));
        if (!answer)
            continue;
        std::lock_guard lock(this->guard);
        this->groups[group] = {answer->endpoints, now};
        return answer->endpoints;
    }
    std::lock_guard lock(this->guard);
    return this->groups[group].endpoints;
}

slot_result local_slots::acquire(const slot_request& request)
{
    slot_result result;
    result.reason = core::refusal::no_endpoint;
    for (const auto& one : this->view.now()->regions(this->region))
    {
        auto group = coordinator::group_name(request.serves, one);
        auto usable = this->endpoints_of(group, one);
        std::erase_if(usable,
                      [&](const auto& endpoint)
                      {
                          const auto& excluded = request.want.excluded;
                          return std::find(excluded.begin(), excluded.end(),
                                           endpoint.name) != excluded.end();
                      });
        if (usable.empty())
            continue;
        std::lock_guard lock(this->guard);
        const auto& chosen = usable[(this->*this->choose)(usable)];
        ++this->outstanding[chosen.name];
        auto slot = std::make_shared<held_slot>();
        slot->group = group;
        slot->endpoint = chosen.name;
        slot->address = chosen.address;
        slot->kind = request.want.kind;
        slot->local = true;
        result.reason = core::refusal::none;
        result.slot = std::move(slot);
        return result;
    }
    return result;
}

void local_slots::release(const slot_ptr& slot, bool, core::milliseconds)
{
    std::lock_guard lock(this->guard);
    --this->outstanding[slot->endpoint];
}

} // namespace amaranthhatch::routing
