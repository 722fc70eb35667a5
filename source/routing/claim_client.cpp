#include "routing/claim_client.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

#include "control/control_loop.hpp"
#include "core/members/rendezvous.hpp"
#include "net/codec.hpp"
#include "process/program.hpp"

namespace amaranthhatch::routing
{

namespace
{

namespace messages = core::messages;

using core::claims::claim_vote;
using core::claims::vote_state;

constexpr core::milliseconds claim_patience{1000};
constexpr std::uint64_t split_pause_ms = 20;

constexpr std::string_view state_names[] = {
    "open",  "granted",          "taken", "no_majority",
    "split", "other_generation", "full"};

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
        open.vote.answered(control::monotonic_now(), *answer);
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

claim_result claim_client::claim(const std::string& key)
{
    claim_result result;
    auto end = control::monotonic_now() + claim_patience;
    for (unsigned tries = 0;; ++tries)
    {
        // Each try is an attempt of its own: the release of an earlier one may
        // reach a keeper late and must not take this one's grant away.
        result.attempt = process::random_text();
        auto asked = this->ask_once(key, result.attempt);
        result.state = asked.state;
        if (asked.state == vote_state::granted)
            break;
        this->release(key, result.attempt);
        if (asked.state == vote_state::taken || asked.state == vote_state::full)
            break;
        if (control::monotonic_now() > end)
        {
            // What may have run elsewhere must be said so.
            if (asked.other_may_hold)
                result.state = vote_state::taken;
            break;
        }
        // Callers that sent the key at the same moment step back for times
        // that differ, so that one of them finds all keepers free; keepers
        // that abstain after a change need a moment too.
        std::this_thread::sleep_for(core::milliseconds(
            process::random_number() % (split_pause_ms << tries)));
        this->view.refresh();
    }
    this->metrics.count("hatch_claims_total", "result",
                        state_names[static_cast<std::size_t>(result.state)]);
    return result;
}

claim_client::ask_result claim_client::ask_once(const std::string& key,
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
    return {open->vote.state(), open->vote.other_may_hold()};
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
