#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/claims/claim_keeper.hpp"
#include "core/claims/claim_vote.hpp"

namespace amaranthhatch::tests
{

/// @brief Which part of the claim protocol a replay leaves out, to show that
/// the check notices.
enum class claim_fault
{
    none,
    /// A restarted keeper votes at once.
    vote_after_restart,
    /// Keepers vote in a new generation without copying.
    vote_without_copies
};

/// @brief Replays keepers, attempts, restarts and changes of generation with
/// messages that are late, lost or out of order, from a seed.
class claim_schedule
{
public:
    claim_schedule(std::uint64_t seed, claim_fault fault);

    /// @brief Runs the schedule; gives the keys that two attempts held.
    std::set<std::string> run();

    std::uint32_t granted() const { return this->grants; }
    std::uint32_t refused() const { return this->refusals; }

private:
    using keeper = core::claims::claim_keeper;

    struct attempt
    {
        std::string key;
        std::string name;
        std::uint64_t generation = 0;
        std::optional<core::claims::claim_vote> vote;
        core::instant asked{};
        bool decided = false;
    };

    struct message
    {
        core::instant due{};
        std::uint64_t order = 0;
        enum class kind
        {
            ask,
            answer,
            release,
            copy_ask,
            copy_answer,
            adopt
        } what = kind::ask;
        std::string from;
        std::string to;
        std::size_t attempt = 0;
        core::messages::claim_answer answer;
        core::messages::claim_copy_answer copy;
        std::uint64_t generation = 0;
        core::messages::keeper_history history;

        bool operator<(const message& other) const
        {
            return std::tie(due, order) < std::tie(other.due, other.order);
        }
    };

    void send(message sent);
    void deliver(const message& got);
    void start_attempt();
    void restart_one();
    void change_generation();
    void ask_for_copies();
    void decide(std::size_t index);
    void boot(const std::string& name, bool new_boot);
    std::uint64_t pick(std::uint64_t below);

    std::mt19937_64 random;
    claim_fault fault;
    core::claims::claim_options options;
    core::instant now{0};
    std::uint64_t order = 0;
    std::multiset<message> in_flight;
    std::map<std::string, std::unique_ptr<keeper>> keepers;
    std::map<std::string, std::string> boots;
    std::set<std::string> cut_off;
    core::messages::keeper_history stored;
    std::vector<attempt> attempts;
    std::map<std::string, std::set<std::string>> holders;
    std::uint32_t grants = 0;
    std::uint32_t refusals = 0;
    std::uint64_t boot_count = 0;
};

} // namespace amaranthhatch::tests
