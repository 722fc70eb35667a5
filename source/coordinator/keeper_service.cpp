#include "coordinator/keeper_service.hpp"

#include "logging/event.hpp"
#include "net/codec.hpp"

namespace amaranthhatch::coordinator
{

namespace
{

namespace messages = core::messages;

constexpr core::milliseconds copy_limit{1000};

constexpr std::string_view verdict_names[] = {"granted", "taken", "abstain",
                                              "other_generation", "full"};

} // namespace

keeper_service::keeper_service(core::claims::claim_keeper keeper,
                               std::string name, control::control_loop& loop,
                               net::rpc_client& peers,
                               metrics::registry& metrics)
    : keeper(std::move(keeper)), name(std::move(name)), loop(loop),
      peers(peers), metrics(metrics)
{
}

messages::claim_answer
keeper_service::ask(core::instant now, const messages::claim_request& request)
{
    auto answer = this->keeper.ask(now, request);
    this->metrics.count(
        "hatch_claim_votes_total", "verdict",
        verdict_names[static_cast<std::size_t>(answer.verdict)]);
    this->metrics.set("hatch_claims", static_cast<double>(this->keeper.size()));
    return answer;
}

void keeper_service::release(const messages::claim_release& request)
{
    this->keeper.release(request);
}

messages::claim_copy_answer
keeper_service::copy(core::instant now,
                     const messages::claim_copy_request& request)
{
    return this->keeper.copy(now, request);
}

void keeper_service::adopt(const messages::keeper_history& history)
{
    if (!this->keeper.adopt(control::monotonic_now(), history))
        return;
    logging::event(logging::level::info, "keepers_changed")
        .with("generation",
              static_cast<std::int64_t>(history.current.generation))
        .with("keepers",
              static_cast<std::int64_t>(history.current.keepers.size()));
}

void keeper_service::tick(core::instant now)
{
    this->keeper.expire(now);
    auto generation = this->keeper.history().current.generation;
    for (const auto& from : this->keeper.missing_copies(now))
    {
        if (this->fetching.insert(from.name).second)
            this->fetch(from, generation, 0);
    }
}

void keeper_service::fetch(const messages::keeper& from,
                           std::uint64_t generation, std::uint64_t after)
{
    messages::claim_copy_request request{generation, this->name, after};
    this->peers.post(from.address, net::encode(request), copy_limit,
                     [this, from, generation](std::optional<std::string> frame)
                     {
                         this->loop.post(
                             [this, from, generation, frame]
                             { this->fetched(from, generation, frame); });
                     });
}

void keeper_service::fetched(const messages::keeper& from,
                             std::uint64_t generation,
                             const std::optional<std::string>& frame)
{
    auto part = net::decode_answer<messages::claim_copy_answer>(frame);
    bool usable = part && part->moved;
    if (usable)
        this->keeper.take_copy(control::monotonic_now(), from.name, generation,
                               *part);
    if (usable && !part->last)
    {
        this->fetch(from, generation, part->next);
        return;
    }
    this->fetching.erase(from.name);
}

} // namespace amaranthhatch::coordinator
