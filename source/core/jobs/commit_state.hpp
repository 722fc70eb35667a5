#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/messages/jobs.hpp"

namespace amaranthhatch::core::jobs
{

/// @brief What an owner in one epoch may count as committed.
///
/// A record counts once both copies hold it and the manifest lists both: a
/// host that the manifest lists instead could else take over without it. An
/// owner whose epoch was sealed out counts nothing more.
class commit_state
{
public:
    /// @brief A host was brought up to date and is to hold the second copy.
    void choose_second(std::string_view host, std::uint64_t length);

    /// @brief The manifest lists the second copy.
    void list_second();

    /// @brief The second copy answered an append up to a length.
    void handle_append_result(messages::append_answer::verdict result,
                              std::uint64_t length);

    /// @brief This host's own copy refused the owner's epoch.
    void supersede();

    bool is_superseded() const { return this->superseded; }
    bool is_second_listed() const { return this->second_listed; }
    bool needs_second() const;

    /// @brief The second copy's host, where there is one.
    const std::optional<std::string>& second() const
    {
        return this->second_host;
    }

    /// @brief Records that the second copy is known to hold.
    std::uint64_t confirmed() const { return this->confirmed_length; }

    /// @brief Records that count.
    std::uint64_t committed() const { return this->committed_length; }

private:
    std::optional<std::string> second_host;
    bool second_listed = false;
    bool superseded = false;
    std::uint64_t confirmed_length = 0;
    std::uint64_t committed_length = 0;
};

} // namespace amaranthhatch::core::jobs
