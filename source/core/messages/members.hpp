#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "core/messages/message_kind.hpp"

namespace amaranthhatch::core::messages
{

/// @brief The role of a member process.
enum class role : std::uint8_t
{
    coordinator,
    batch,
    entry
};

/// @brief State of a member in the membership protocol.
enum class liveness : std::uint8_t
{
    alive,
    suspect,
    dead,
    left
};

/// @brief A member's record as exchanged between nodes.
struct member
{
    std::string name;
    std::string zone;
    std::string region;
    std::string address;
    role process_role = role::coordinator;
    liveness state = liveness::alive;
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0;
    /// Random at each start; distinguishes a restarted process from one that
    /// was paused.
    std::string start_id;

    auto fields()
    {
        return std::tie(name, zone, region, address, process_role, state,
                        incarnation, revision, start_id);
    }
};

/// @brief A liveness probe with membership updates.
struct ping
{
    static constexpr auto kind_of_message = message_kind::ping;

    member sender;
    std::string target;
    std::vector<member> updates;

    auto fields() { return std::tie(sender, target, updates); }
};

/// @brief Response to ping and ping_request.
struct pong
{
    static constexpr auto kind_of_message = message_kind::pong;

    bool reached = true;
    std::uint64_t revision = 0;
    std::vector<member> updates;

    auto fields() { return std::tie(reached, revision, updates); }
};

/// @brief Request to another member to probe a target that didn't respond.
struct ping_request
{
    static constexpr auto kind_of_message = message_kind::ping_request;

    member sender;
    member target;

    auto fields() { return std::tie(sender, target); }
};

/// @brief Request of an entry or batch host for the member list.
///
/// Also reports the sender's own record to the coordinator.
struct view_request
{
    static constexpr auto kind_of_message = message_kind::view_request;

    member sender;
    std::uint64_t cached_digest = 0;

    auto fields() { return std::tie(sender, cached_digest); }
};

/// @brief Response to view_request.
///
/// members is empty if cached_digest in the request is up to date.
struct view_answer
{
    static constexpr auto kind_of_message = message_kind::view_answer;

    std::uint64_t digest = 0;
    std::uint64_t revision = 0;
    std::vector<member> members;

    auto fields() { return std::tie(digest, revision, members); }
};

/// @brief Request for the current configuration if its revision is higher than
/// above_revision.
struct configuration_request
{
    static constexpr auto kind_of_message = message_kind::configuration_request;

    std::uint64_t above_revision = 0;

    auto fields() { return std::tie(above_revision); }
};

/// @brief Response to configuration_request; the text is empty if the
/// requester's revision is current.
struct configuration_answer
{
    static constexpr auto kind_of_message = message_kind::configuration_answer;

    std::uint64_t revision = 0;
    std::string text;

    auto fields() { return std::tie(revision, text); }
};

/// @brief Request of the operator's tool for a coordinator's status.
struct status_request
{
    static constexpr auto kind_of_message = message_kind::status_request;

    bool with_endpoints = true;

    auto fields() { return std::tie(with_endpoints); }
};

/// @brief Status of an endpoint in its coordinator's scheduler.
struct endpoint_status
{
    std::string name;
    std::string group;
    std::uint32_t limit = 0;
    std::uint32_t online = 0;
    std::uint32_t batch = 0;
    bool leaving = false;
    bool ejected = false;

    auto fields()
    {
        return std::tie(name, group, limit, online, batch, leaving, ejected);
    }
};

/// @brief Response to status_request.
struct status_answer
{
    static constexpr auto kind_of_message = message_kind::status_answer;

    std::string name;
    std::uint64_t revision = 0;
    bool store_reachable = false;
    std::vector<member> members;
    std::vector<endpoint_status> endpoints;

    auto fields()
    {
        return std::tie(name, revision, store_reachable, members, endpoints);
    }
};

} // namespace amaranthhatch::core::messages
