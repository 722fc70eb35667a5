#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/messages/jobs.hpp"

namespace amaranthhatch::core::jobs
{

/// @brief What to do with an append.
struct append_decision
{
    messages::append_answer::verdict verdict =
        messages::append_answer::verdict::failed;
    /// Records to keep; a shorter length than now cuts a conflicting tail.
    std::uint64_t keep = 0;
    /// Records of the request that are already held.
    std::size_t skip = 0;
};

/// @brief The state of one copy of a job's journal, without its file.
///
/// A result is committed once both copies hold it. A new owner seals one copy
/// with a higher epoch; after that no older epoch can append to it, so no
/// older owner can commit. Records on which the copies differ can only lie
/// behind the committed ones, so the higher epoch's owner may replace them.
class journal_copy
{
public:
    std::uint64_t epoch() const { return this->sealed_epoch; }
    std::uint64_t length() const { return this->hashes.size(); }
    std::uint64_t committed() const { return this->committed_length; }

    /// @brief Decides on records of an owner.
    append_decision decide(const messages::journal_append& request) const;

    /// @brief Refuses appends of lower epochs; false where a higher one holds.
    bool seal(std::uint64_t epoch);

    /// @brief Notes that the file now holds these records from keep on.
    void applied(std::uint64_t keep, std::span<const std::string> added);

    /// @brief Notes up to where records are known to stand in both copies.
    void advance_committed(std::uint64_t position);

private:
    std::uint64_t sealed_epoch = 0;
    std::uint64_t committed_length = 0;
    std::vector<std::uint64_t> hashes;
};

} // namespace amaranthhatch::core::jobs
