#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "core/messages/message_kind.hpp"

namespace amaranthhatch::core::messages
{

/// @brief What a member process does.
enum class role : std::uint8_t
{
    coordinator,
    batch,
    entry
};

/// @brief What the membership protocol believes of a member.
enum class liveness : std::uint8_t
{
    alive,
    suspect,
    dead,
    left
};

/// @brief One member as told from node to node.
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
    /// Drawn at each start; tells a restarted process from a paused one.
    std::string start_id;

    auto fields()
    {
        return std::tie(name, zone, region, address, process_role, state,
                        incarnation, revision, start_id);
    }
};

/// @brief A liveness probe, with news about members.
struct ping
{
    static constexpr auto kind_of_message = message_kind::ping;

    member sender;
    std::string target;
    std::vector<member> updates;

    auto fields() { return std::tie(sender, target, updates); }
};

/// @brief The answer to a probe.
struct pong
{
    static constexpr auto kind_of_message = message_kind::pong;

    bool reached = true;
    std::uint64_t revision = 0;
    std::vector<member> updates;

    auto fields() { return std::tie(reached, revision, updates); }
};

/// @brief Asks a third member to probe a target that did not answer.
struct ping_request
{
    static constexpr auto kind_of_message = message_kind::ping_request;

    member sender;
    member target;

    auto fields() { return std::tie(sender, target); }
};

/// @brief An entry or batch host tells of itself and asks what is new.
struct view_request
{
    static constexpr auto kind_of_message = message_kind::view_request;

    member sender;
    std::uint64_t cached_digest = 0;

    auto fields() { return std::tie(sender, cached_digest); }
};

/// @brief The member view; the lists are empty where the asker knows them.
struct view_answer
{
    static constexpr auto kind_of_message = message_kind::view_answer;

    std::uint64_t digest = 0;
    std::uint64_t revision = 0;
    std::vector<member> members;

    auto fields() { return std::tie(digest, revision, members); }
};

/// @brief Asks for the configuration in force.
struct configuration_request
{
    static constexpr auto kind_of_message = message_kind::configuration_request;

    std::uint64_t above_revision = 0;

    auto fields() { return std::tie(above_revision); }
};

/// @brief The configuration's text; empty where none is newer.
struct configuration_answer
{
    static constexpr auto kind_of_message = message_kind::configuration_answer;

    std::uint64_t revision = 0;
    std::string text;

    auto fields() { return std::tie(revision, text); }
};

/// @brief Asks a coordinator what it knows, for the operator's tool.
struct status_request
{
    static constexpr auto kind_of_message = message_kind::status_request;

    bool with_endpoints = true;

    auto fields() { return std::tie(with_endpoints); }
};

/// @brief One endpoint as its coordinator sees it.
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

/// @brief A coordinator's view of the members and of its endpoints.
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
