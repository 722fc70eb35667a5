#pragma once

#include <cstddef>
#include <cstdint>

#include "core/instant.hpp"
#include "core/messages/claims.hpp"

namespace amaranthhatch::core::claims
{

/// @brief How an attempt's claim stands.
enum class vote_state : std::uint8_t
{
    open,
    granted,
    /// Another attempt holds the key; it may have run.
    taken,
    /// No majority can come about; nothing was sent.
    no_majority,
    /// The keepers are of another generation; ask again with a newer view.
    other_generation,
    full
};

/// @brief Counts the keepers' votes on one attempt.
class claim_vote
{
  public:
    claim_vote(std::size_t keepers, instant asked, milliseconds limit);

    /// @brief Counts an answer; an answer after the limit counts as none.
    void answered(instant now, messages::claim_verdict verdict);

    /// @brief Counts a keeper that did not answer.
    void missed();

    vote_state state() const;

  private:
    std::size_t majority() const { return this->keepers / 2 + 1; }

    std::size_t keepers;
    instant end;
    std::size_t granted = 0;
    std::size_t taken = 0;
    std::size_t other_generation = 0;
    std::size_t full = 0;
    std::size_t counted = 0;
};

} // namespace amaranthhatch::core::claims
