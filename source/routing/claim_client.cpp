#include "routing/claim_client.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>

#include "control/control_loop.hpp"
#include "core/members/rendezvous.hpp"
#include "net/codec.hpp"

namespace amaranthhatch::routing
{

namespace
{

namespace messages = core::messages;

using core::claims::claim_vote;
using core::claims::vote_state;

constexpr int generation_tries = 3;

constexpr std::string_view state_names[] = {
    "open", "granted", "taken", "no_majority", "other_generation", "full"};

struct open_vote
{
    open_vote(std::size_t keepers, core::milliseconds limit)
        : vote(keepers, control::monotonic_now(), limit)
    {
    }

    std::mutex guard;
    std::condition_variable changed;
    claim_vote vote;
};

void count_answer(open_vote& open, const std::optional<std::string>& frame)
{
    auto answer = net::decode_answer<messages::claim_answer>(frame);
    std::lock_guard lock(open.guard);
    if (answer)
        open.vote.answered(control::monotonic_now(), answer->verdict);
    else
        open.vote.missed();
    open.changed.notify_all();
}

} // namespace

claim_client::claim_client(core::milliseconds ask_limit, view_client& view,
                           net::rpc_client& peers, metrics::registry& metrics)
    : ask_limit(ask_limit), view(view), peers(peers), metrics(metrics)
{
}

vote_state claim_client::claim(const std::string& key,
                               const std::string& attempt)
{
    vote_state state = vote_state::no_majority;
    for (int tries = 0; tries < generation_tries; ++tries)
    {
        state = this->ask_once(key, attempt);
        if (state != vote_state::other_generation)
            break;
        this->view.refresh();
    }
    this->metrics.count("hatch_claims_total", "result",
                        state_names[static_cast<std::size_t>(state)]);
    if (state != vote_state::granted)
        this->release(key, attempt);
    return state;
}

vote_state claim_client::ask_once(const std::string& key,
                                  const std::string& attempt)
{
    auto view_now = this->view.now();
    const auto& current = view_now->keepers.current;
    auto keepers = core::members::keepers_of(key, current);
    auto open = std::make_shared<open_vote>(keepers.size(), this->ask_limit);
    messages::claim_request request{key, attempt, current.generation};
    std::string frame = net::encode(request);
    for (const auto& one : keepers)
        this->peers.post(one.address, frame, this->ask_limit,
                         [open](std::optional<std::string> answer)
                         { count_answer(*open, answer); });
    std::unique_lock lock(open->guard);
    open->changed.wait(lock,
                       [&] { return open->vote.state() != vote_state::open; });
    return open->vote.state();
}

void claim_client::release(const std::string& key, const std::string& attempt)
{
    auto view_now = this->view.now();
    std::string frame = net::encode(messages::claim_release{key, attempt});
    for (const auto& one :
         core::members::keepers_of(key, view_now->keepers.current))
        this->peers.post(one.address, frame, this->ask_limit,
                         [](std::optional<std::string>) {});
}

} // namespace amaranthhatch::routing
