#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/messages/jobs.hpp"

namespace amaranthhatch::core::jobs
{

/// @brief Tracks which journal records an owner may treat as committed in its
/// epoch.
///
/// A record is committed once both copies have stored it and the manifest lists
/// both copies. Otherwise another host that the manifest still lists could take
/// the job over without the record. An owner that was superseded by a later
/// epoch commits nothing more.
class commit_state
{
public:
    /// @brief Sets the host of the second copy, after the owner has sent it all
    /// records up to a length.
    void choose_second(std::string_view host, std::uint64_t length);

    /// @brief Called once the manifest lists the second copy.
    void list_second();

    /// @brief Handles the second copy's response to an append up to a length.
    void handle_append_result(messages::append_answer::verdict result,
                              std::uint64_t length);

    /// @brief Called when a copy refused the owner's epoch: a later owner has
    /// sealed it.
    void supersede();

    bool is_superseded() const { return this->superseded; }
    bool is_second_listed() const { return this->second_listed; }
    bool needs_second() const;

    /// @brief The second copy's host, where there is one.
    const std::optional<std::string>& second() const
    {
        return this->second_host;
    }

    /// @brief Number of records that the second copy has confirmed.
    std::uint64_t confirmed() const { return this->confirmed_length; }

    /// @brief Number of committed records.
    std::uint64_t committed() const { return this->committed_length; }

private:
    std::optional<std::string> second_host;
    bool second_listed = false;
    bool superseded = false;
    std::uint64_t confirmed_length = 0;
    std::uint64_t committed_length = 0;
};

} // namespace amaranthhatch::core::jobs
