#include "core/claims/claim_vote.hpp"

#include <algorithm>

namespace amaranthhatch::core::claims
{

using messages::claim_verdict;

claim_vote::claim_vote(std::size_t keepers, instant asked, milliseconds limit)
    : keepers(keepers), end(asked + limit)
{
}

void claim_vote::answered(instant now, const messages::claim_answer& answer)
{
    claim_verdict verdict = answer.verdict;
    ++this->counted;
    if (verdict == claim_verdict::taken)
        ++this->holders[answer.holder];
    if (now > this->end)
        return;
    this->granted += verdict == claim_verdict::granted ? 1 : 0;
    this->full += verdict == claim_verdict::full ? 1 : 0;
    this->other_generation +=
        verdict == claim_verdict::other_generation ? 1 : 0;
}

void claim_vote::missed()
{
    ++this->counted;
}

bool claim_vote::other_may_hold() const
{
    // A keeper that granted this attempt, or told of yet another one, can't
    // have granted the other; one that said nothing of use may have.
    std::size_t told = this->granted;
    for (const auto& [holder, count] : this->holders)
        told += count;
    std::size_t silent = this->keepers - std::min(told, this->keepers);
    return std::any_of(this->holders.begin(), this->holders.end(),
                       [&](const auto& entry)
                       { return entry.second + silent >= this->majority(); });
}

bool claim_vote::other_holds() const
{
    return std::any_of(this->holders.begin(), this->holders.end(),
                       [this](const auto& entry)
                       { return entry.second >= this->majority(); });
}

vote_state claim_vote::state() const
{
    if (this->keepers > 0 && this->granted >= this->majority())
        return vote_state::granted;
    std::size_t left = this->keepers - this->counted;
    if (this->keepers > 0 && this->granted + left >= this->majority())
        return vote_state::open;
    if (!this->holders.empty())
        return this->other_holds() ? vote_state::taken : vote_state::split;
    if (this->other_generation > 0)
        return vote_state::other_generation;
    if (this->full > 0)
        return vote_state::full;
    return vote_state::no_majority;
}

} // namespace amaranthhatch::core::claims
