#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/messages/jobs.hpp"

namespace amaranthhatch::core::jobs
{

/// @brief How the journal's file has to change for an append request.
struct append_decision
{
    messages::append_answer::verdict verdict =
        messages::append_answer::verdict::failed;
    /// Number of records to retain; if it is smaller than the current length,
    /// the conflicting tail is truncated.
    std::uint64_t keep = 0;
    /// Number of records of the request that are already stored.
    std::size_t skip = 0;
};

/// @brief The state of one copy of a job's journal, without its file.
///
/// A result is committed once both copies have stored it. A new owner seals one
/// copy with a higher epoch; after that no owner of a lower epoch can append to
/// it, and so none can commit. Copies can differ only after their committed
/// records, so the owner with the higher epoch may replace the differing
/// records.
class journal_copy
{
public:
    std::uint64_t epoch() const { return this->sealed_epoch; }
    std::uint64_t length() const { return this->hashes.size(); }
    std::uint64_t committed() const { return this->committed_length; }

    /// @brief Decides whether an owner's append request is stored, and how.
    append_decision decide(const messages::journal_append& request) const;

    /// @brief Refuses appends of lower epochs from now on; false where the copy
    /// is already sealed with a higher epoch.
    bool seal(std::uint64_t epoch);

    /// @brief Updates the state after the journal's file was truncated to the
    /// first keep records and the added records were appended.
    void applied(std::uint64_t keep, std::span<const std::string> added);

    /// @brief Raises the number of committed records to a position that an
    /// owner reported, but at most to the length of this copy.
    void advance_committed(std::uint64_t position);

private:
    std::uint64_t sealed_epoch = 0;
    std::uint64_t committed_length = 0;
    std::vector<std::uint64_t> hashes;
};

} // namespace amaranthhatch::core::jobs
