#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/endpoints/endpoint_table.hpp"
#include "core/peers/beacon.hpp"
#include "core/quarantine/part_quarantine.hpp"
#include "metrics/recorder.hpp"

namespace amaranthhatch::host
{

/// @brief The hexadecimal text of a part's id.
std::string hex_text(core::quarantine::part_id part);

/// @brief The hexadecimal texts of parts, separated by commas.
std::string hex_list(std::span<const core::quarantine::part_id> parts);

/// @brief Each crash as its endpoint's incarnation and its age in milliseconds.
std::string crash_list(std::span<const core::quarantine::crash_report> reports);

/// @brief Why requests with certain parts are refused.
struct quarantine_block
{
    core::quarantine::part_id part = 0;
    /// The parts that all requests refused for it contain.
    std::vector<core::quarantine::part_id> common;
    std::vector<core::quarantine::crash_report> crashes;
    core::milliseconds left{};
};

/// An endpoint that crashes on a prompt does so as it begins to generate. It
/// may have sent one event by then.
inline constexpr std::uint32_t events_of_sound_run = 2;

/// @brief A run of a request, as far as its endpoint's crash concerns it.
struct prompt_run
{
    std::string request;
    std::string endpoint;
    std::int64_t endpoint_started_ms = 0;
    std::string service;
    /// The id of the request, then the parts of its prompt that other requests
    /// can share. Items of batch jobs have no id of their own.
    std::vector<core::quarantine::part_id> parts;
    /// Events with data that the endpoint has sent in this run.
    std::uint32_t events = 0;
    core::instant sent_at{};
};

/// @brief The quarantine of prompt parts that crash endpoints, shared with the
/// other hosts by beacons. Logs and counts what it decides.
class shared_quarantine
{
public:
    explicit shared_quarantine(metrics::recorder& metrics);

    /// @brief Counts the events in received bytes; an endpoint that goes on
    /// generating hasn't crashed, which clears the run's parts.
    void record_events(prompt_run& run, std::string_view events);

    /// @brief Records that a run was answered completely.
    void record_answer(const prompt_run& run);

    /// @brief Records that the endpoint closed the connection of a run that
    /// wasn't complete, unless it had sent another status than success.
    /// Returns true if the endpoint had hardly begun to generate.
    bool record_close(const prompt_run& run, int status);

    /// @brief Sets which endpoints are registered at present.
    void set_registered(std::span<const core::endpoints::endpoint> listed);

    /// @brief Clears the crashes before a time of all endpoints that are still
    /// registered, in which the registration of one that crashed would have
    /// expired.
    void clear_registered(core::instant crashed_before);

    /// @brief Returns for how long requests with these parts are refused;
    /// nothing if they aren't.
    std::optional<core::milliseconds>
    blocked_for(std::span<const core::quarantine::part_id> parts) const;

    /// @brief Returns which quarantined part blocks requests with these parts;
    /// nothing if none does.
    std::optional<quarantine_block>
    block_of(std::span<const core::quarantine::part_id> parts) const;

    /// @brief The quarantined parts that a request with these parts is blocked
    /// for, one of each set that comes together.
    std::vector<core::quarantine::part_id>
    blocking(std::span<const core::quarantine::part_id> parts) const
    {
        return this->table.blocking(parts);
    }

    /// @brief True if a request with these parts may be the cause of several
    /// crashes.
    bool suspects(std::span<const core::quarantine::part_id> parts) const
    {
        return this->table.suspects(parts);
    }

    /// @brief Adds the reports of crashes to a beacon.
    void add_to(core::peers::beacon& beacon) const;

    /// @brief Merges the reports of another host's beacon.
    void receive(const core::peers::beacon& beacon);

    /// @brief Merges reports from the store. Those that are known already are
    /// left as they are, as their age here depends on no other host's clock.
    void load(std::span<const core::quarantine::crash_report> reports);

    /// @brief The quarantined parts, each with the parts that a blocked request
    /// also contains.
    const std::map<core::quarantine::part_id,
                   core::quarantine::part_quarantine::part_set>&
    quarantined() const
    {
        return this->table.quarantined();
    }

    /// @brief The reports that a part is quarantined for.
    std::vector<core::quarantine::crash_report>
    reports_of(core::quarantine::part_id part) const;

    /// @brief Returns for how long a part stays quarantined.
    core::milliseconds time_left(core::quarantine::part_id part) const;

    /// @brief Confirms and removes what is due; to be called often.
    void check();

private:
    void clear(const prompt_run& run);
    void record_alive(const prompt_run& run);
    void merge(std::span<const core::quarantine::crash_report> reports);
    void log_changes();

    metrics::recorder& metrics;
    core::quarantine::part_quarantine table;
    /// The crash that closes at nearly the same time count to, and when it was
    /// noticed first.
    std::uint64_t first_closed_endpoint = 0;
    core::instant first_closed_at{-1000000};
    /// Incarnations of the registered endpoints.
    std::set<std::uint64_t> registered;
    /// Quarantined parts as last logged.
    std::set<core::quarantine::part_id> logged;
};

} // namespace amaranthhatch::host
