#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

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
    /// Other attempts hold a part of the keepers each, and none is known to
    /// have a majority: worth another try.
    split,
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
    void answered(instant now, const messages::claim_answer& answer);

    /// @brief Counts a keeper that did not answer.
    void missed();

    vote_state state() const;

    /// @brief True where another attempt may hold the key, for all that the
    /// answers tell.
    bool other_may_hold() const;

private:
    std::size_t majority() const { return this->keepers / 2 + 1; }

    std::size_t keepers;
    instant end;
    std::size_t granted = 0;
    bool other_holds() const;

    /// Keepers that each other attempt is known to hold.
    std::map<std::string, std::size_t, std::less<>> holders;
    std::size_t other_generation = 0;
    std::size_t full = 0;
    std::size_t counted = 0;
};

} // namespace amaranthhatch::core::claims
