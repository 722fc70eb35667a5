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

/// @brief Settings of the membership protocol.
struct member_options
{
    /// A suspect that doesn't refute the suspicion within this time is dead.
    milliseconds suspect_limit{1200};
    /// Records of dead members are stored this long, so that delayed updates
    /// can't make them alive again.
    milliseconds forget_limit{120'000};
    /// Largest number of updates in one message.
    std::size_t max_updates = 8;
};

/// @brief One node's view of all members, by the SWIM protocol, without I/O.
///
/// Updates travel with probes and their responses. A member that receives an
/// update that suspects it increments its incarnation to refute it. The
/// platform's registry isn't involved.
class member_table
{
public:
    member_table(messages::member self, member_options options,
                 std::uint64_t seed);

    /// @brief Merges updates from another node; returns true if anything
    /// changed.
    bool merge(instant now, std::span<const messages::member> updates);

    /// @brief Returns updates for the next message.
    ///
    /// Each update is returned a limited number of times.
    std::vector<messages::member> take_updates();

    /// @brief Returns the next member to probe, in shuffled rounds.
    std::optional<messages::member> next_probe();

    /// @brief Returns coordinators that can probe a target for this node.
    std::vector<messages::member> helpers(std::string_view target,
                                          std::size_t count);

    /// @brief Suspects a member that responded neither to a direct probe nor to
    /// those of the helpers.
    void probe_failed(instant now, std::string_view name);

    /// @brief Merges the record that a member sent of itself.
    void received_from(instant now, const messages::member& sender);

    /// @brief Declares suspects dead after suspect_limit and removes dead
    /// members after forget_limit.
    void tick(instant now);

    /// @brief Sets the configuration revision that this node's updates report.
    void set_revision(std::uint64_t revision);

    /// @brief Marks this node as left, which its next updates report.
    void leave();

    const messages::member& self() const { return this->own; }

    /// @brief Returns all recorded members, including this node.
    std::vector<messages::member> all() const;

    /// @brief Returns a number that changes whenever a member is added, removed
    /// or changes its state or incarnation, but not with its revision alone.
    std::uint64_t digest() const { return this->view_digest; }

    /// @brief Returns the other member with the highest configuration revision;
    /// dead members and members that left are ignored.
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
