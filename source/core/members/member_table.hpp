#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "core/instant.hpp"
#include "core/messages/members.hpp"

namespace amaranthhatch::core::members
{

/// @brief Times and sizes of the membership protocol.
struct member_options
{
    /// A suspect that doesn't refute within this time counts as dead.
    milliseconds suspect_limit{1200};
    /// Dead members are remembered this long, so that late news of their
    /// being alive is recognized as old.
    milliseconds forget_limit{120'000};
    /// News in one message.
    std::size_t max_updates = 8;
};

/// @brief What one node believes of the others: SWIM's rules without I/O.
///
/// News travel on probes and their answers. A member that is suspected bumps
/// its incarnation to refute. The platform's service plays no part in it.
class member_table
{
public:
    member_table(messages::member self, member_options options,
                 std::uint64_t seed);

    /// @brief Merges what another node told; true where anything changed.
    bool merge(instant now, std::span<const messages::member> updates);

    /// @brief News to send along, each a bounded number of times.
    std::vector<messages::member> take_updates();

    /// @brief The next member to probe; every member's turn comes.
    std::optional<messages::member> next_probe();

    /// @brief Members that can probe a target on this node's behalf.
    std::vector<messages::member> helpers(std::string_view target,
                                          std::size_t count);

    /// @brief A probe went unanswered, also by way of helpers.
    void probe_failed(instant now, std::string_view name);

    /// @brief A member answered or sent something itself.
    void received_from(instant now, const messages::member& from);

    /// @brief Declares overdue suspects dead and forgets old dead ones.
    void tick(instant now);

    /// @brief This node's own configuration revision, told with its news.
    void set_revision(std::uint64_t revision);

    /// @brief This node is leaving and says so.
    void leave();

    const messages::member& self() const { return this->own; }

    /// @brief All members that are not forgotten, this node among them.
    std::vector<messages::member> all() const;

    /// @brief Changes whenever the view does.
    std::uint64_t digest() const { return this->view_digest; }

    /// @brief The highest configuration revision any member has told of.
    std::optional<messages::member> newest_configuration() const;

private:
    struct member_record
    {
        messages::member member;
        instant changed{};
        unsigned sends_left = 0;
    };

    bool merge_one(instant now, const messages::member& update);
    bool merge_self(const messages::member& update);
    void store(instant now, const messages::member& update);
    unsigned send_count() const;

    messages::member own;
    member_options options;
    std::mt19937_64 random;
    std::map<std::string, member_record, std::less<>> records;
    unsigned own_sends_left = 0;
    std::vector<std::string> probe_round;
    std::uint64_t view_digest = 1;
};

} // namespace amaranthhatch::core::members
