#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/instant.hpp"
#include "core/messages/claims.hpp"
#include "core/messages/members.hpp"

namespace amaranthhatch::core::claims
{

/// @brief Times and sizes of request claims.
struct claim_options
{
    /// A granted key is remembered this long.
    milliseconds window{600'000};
    /// An attempt must have its majority within this time of asking.
    milliseconds ask_limit{600};
    /// Claims remembered at once.
    std::size_t capacity = 200'000;
    /// Claims in one message of a copy.
    std::size_t copy_part = 2'000;
};

/// @brief One keeper's memory of which attempt may send which request.
///
/// A key is granted to one attempt by a majority of its three keepers.
/// Majorities meet, so two attempts never both hold a key, provided that no
/// keeper votes on a key whose grants it may have forgotten or not yet heard
/// of. may_vote() is that condition.
class claim_keeper
{
public:
    claim_keeper(std::string name, std::string boot, claim_options options,
                 instant started);

    /// @brief Moves to a higher generation; from then on no claim of a lower
    /// one is granted.
    bool adopt(instant now, const messages::keeper_history& history);

    messages::claim_answer ask(instant now,
                               const messages::claim_request& request);

    void release(const messages::claim_release& request);

    /// @brief A part of this keeper's table, once it has moved as far as the
    /// asker has.
    messages::claim_copy_answer
    copy(instant now, const messages::claim_copy_request& request) const;

    /// @brief Keepers whose tables this one still lacks.
    std::vector<messages::keeper> missing_copies(instant now) const;

    /// @brief Takes a part of another keeper's table.
    void take_copy(instant now, std::string_view source,
                   std::uint64_t generation,
                   const messages::claim_copy_answer& part);

    /// @brief True where no grant of this key can be unknown to this keeper.
    bool may_vote(instant now, std::string_view key) const;

    /// @brief Forgets claims older than the window.
    void expire(instant now);

    const messages::keeper_history& history() const { return this->known; }
    std::size_t size() const { return this->claims.size(); }

    /// @brief True where every keeper of an earlier set has moved on or was
    /// retired, and the window has passed since: nothing that the set granted
    /// is still to be remembered.
    bool may_drop(instant now, const messages::keeper_set& earlier) const;

private:
    struct claim
    {
        std::string attempt;
        instant granted{};
        std::uint64_t number = 0;
    };

    void remember(const std::string& key, const std::string& attempt,
                  instant granted);
    struct copied_table
    {
        std::string boot;
        bool restored = false;
    };

    bool is_continuous(const messages::keeper_set& set) const;
    bool is_restored(instant now) const;
    bool has_heard(const messages::keeper& one) const;
    bool has_heard_others(const messages::keeper_set& set) const;
    std::size_t unheard(std::string_view key,
                        const messages::keeper_set& set) const;

    std::string name;
    std::string boot;
    claim_options options;
    instant started;
    messages::keeper_history known;
    std::map<std::string, claim, std::less<>> claims;
    std::map<std::uint64_t, std::string> by_number;
    std::uint64_t last_number = 0;
    /// Keepers copied from since this keeper moved to its generation.
    std::map<std::string, copied_table, std::less<>> copied;
    instant last_copied{};
};

} // namespace amaranthhatch::core::claims
