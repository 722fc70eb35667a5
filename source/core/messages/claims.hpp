#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "core/messages/message_kind.hpp"

namespace amaranthhatch::core::messages
{

/// @brief A keeper's verdict on a claim.
enum class claim_verdict : std::uint8_t
{
    granted,
    /// Another attempt holds the key.
    taken,
    /// The keeper may have forgotten claims and can't vote yet.
    abstain,
    /// The claim was asked in another generation than the keeper's.
    other_generation,
    /// The keeper's table is full.
    full
};

/// @brief Asks a keeper to grant a key to one attempt.
struct claim_request
{
    static constexpr auto kind_of_message = message_kind::claim_request;

    std::string key;
    std::string attempt;
    std::uint64_t generation = 0;

    auto fields() { return std::tie(key, attempt, generation); }
};

/// @brief The keeper's vote.
struct claim_answer
{
    static constexpr auto kind_of_message = message_kind::claim_answer;

    claim_verdict verdict = claim_verdict::abstain;
    std::uint64_t generation = 0;
    /// The attempt that holds the key where it is taken.
    std::string holder;

    auto fields() { return std::tie(verdict, generation, holder); }
};

/// @brief Gives a grant back; sent only by an attempt that will never send.
struct claim_release
{
    static constexpr auto kind_of_message = message_kind::claim_release;

    std::string key;
    std::string attempt;

    auto fields() { return std::tie(key, attempt); }
};

/// @brief Asks a keeper for the claims it remembers.
struct claim_copy_request
{
    static constexpr auto kind_of_message = message_kind::claim_copy_request;

    std::uint64_t generation = 0;
    std::string asker;
    /// Position to go on from; zero for the first part.
    std::uint64_t after = 0;

    auto fields() { return std::tie(generation, asker, after); }
};

/// @brief One remembered claim.
struct claim_record
{
    std::string key;
    std::string attempt;
    std::uint32_t age_ms = 0;

    auto fields() { return std::tie(key, attempt, age_ms); }
};

/// @brief Part of a keeper's table; refused where its generation is lower.
struct claim_copy_answer
{
    static constexpr auto kind_of_message = message_kind::claim_copy_answer;

    bool moved = false;
    bool last = false;
    std::uint64_t next = 0;
    std::vector<claim_record> claims;
    /// The start that the keeper's memory reaches back to.
    std::string boot;
    /// True where it has regained what earlier starts of it may have granted.
    bool restored = false;

    auto fields()
    {
        return std::tie(moved, last, next, claims, boot, restored);
    }
};

} // namespace amaranthhatch::core::messages
