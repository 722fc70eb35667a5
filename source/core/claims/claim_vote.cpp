#include "core/claims/claim_vote.hpp"

namespace amaranthhatch::core::claims
{

using messages::claim_verdict;

claim_vote::claim_vote(std::size_t keepers, instant asked, milliseconds limit)
    : keepers(keepers), end(asked + limit)
{
}

void claim_vote::answered(instant now, claim_verdict verdict)
{
    ++this->counted;
    if (now > this->end)
        return;
    this->granted += verdict == claim_verdict::granted ? 1 : 0;
    this->taken += verdict == claim_verdict::taken ? 1 : 0;
    this->full += verdict == claim_verdict::full ? 1 : 0;
    this->other_generation +=
        verdict == claim_verdict::other_generation ? 1 : 0;
}

void claim_vote::missed()
{
    ++this->counted;
}

vote_state claim_vote::state() const
{
    if (this->keepers > 0 && this->granted >= this->majority())
        return vote_state::granted;
    std::size_t left = this->keepers - this->counted;
    if (this->keepers > 0 && this->granted + left >= this->majority())
        return vote_state::open;
    if (this->taken > 0)
        return vote_state::taken;
    if (this->other_generation > 0)
        return vote_state::other_generation;
    if (this->full > 0)
        return vote_state::full;
    return vote_state::no_majority;
}

} // namespace amaranthhatch::core::claims
