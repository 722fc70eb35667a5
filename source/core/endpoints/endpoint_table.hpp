#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/instant.hpp"
#include "core/peers/peer_table.hpp"

namespace amaranthhatch::core::endpoints
{

/// @brief What an endpoint says of itself.
struct endpoint
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    std::uint32_t slots = 1;
    bool draining = false;
};

/// @brief Kinds of load, in the order in which they yield.
enum class load_kind : std::uint8_t
{
    online,
    batch
};

/// @brief How a request at an endpoint ended, as far as health goes.
enum class run_outcome : std::uint8_t
{
    answered,
    /// The endpoint said that it didn't run the request.
    refused,
    /// No connection stood.
    unreachable,
    /// The answer broke off or never came.
    broken,
    /// Another instance has the address.
    replaced,
    /// We closed the request; says nothing of the endpoint.
    cancelled
};

/// @brief An endpoint that was chosen, and how long its queue will take.
struct choice
{
    const endpoint* chosen = nullptr;
    /// Expected time until a slot is free; zero where one is.
    milliseconds expected_wait{};
    /// A batch request has to make way.
    bool preempts = false;
};

/// @brief Names one request at an endpoint, for reports about it.
struct run_key
{
    std::string endpoint;
    std::uint64_t number = 0;
};

/// @brief Endpoints with their load and health, and the choice among them.
///
/// Load is what this host runs plus what the others' beacons report. Health is
/// what this host's own requests showed; an endpoint's word is not asked.
class endpoint_table
{
public:
    endpoint_table(std::string own_zone,
                   std::map<std::string, std::string> region_of_zone,
                   const peers::peer_table& peer_hosts);

    /// @brief Replaces the list; running requests of dropped ones go on.
    void replace(std::vector<endpoint> listed);

    const endpoint* find(std::string_view id) const;
    std::size_t size() const { return this->records.size(); }

    /// @brief The best endpoint for an online request, or none.
    ///
    /// Endpoints in excluded are left out; uniform in [0, 1) breaks ties.
    choice choose_online(std::string_view service,
                         std::span<const std::string> excluded, instant now,
                         double uniform) const;

    /// @brief The best endpoint with a free slot for a batch request, or none.
    ///
    /// Leaves reserve slots of each endpoint free for online requests.
    choice choose_batch(std::string_view service, std::uint32_t reserve,
                        instant now, double uniform) const;

    /// @brief Notes that a request starts.
    run_key begin(std::string_view endpoint, load_kind kind, instant now);

    /// @brief Notes bytes of a running request's answer.
    void progress(const run_key& run, instant now);

    /// @brief Notes that a request has ended, and how.
    void end(const run_key& run, run_outcome result, instant now);

    /// @brief Own requests at an endpoint beyond its slots, all hosts counted.
    std::uint32_t excess(std::string_view endpoint) const;

    /// @brief Own running requests, for the next beacon.
    std::vector<peers::endpoint_load> own_loads() const;

    /// @brief Mean time that a request holds a slot of the service.
    milliseconds mean_slot_time(std::string_view service) const;

    /// @brief Endpoints of a service that may be chosen now.
    std::uint32_t usable(std::string_view service, instant now) const;

    /// @brief Changes whenever own_loads() does.
    std::uint64_t load_version() const { return this->version; }

private:
    struct running_request
    {
        load_kind kind = load_kind::online;
        instant started{};
    };

    struct endpoint_record
    {
        endpoint info;
        bool listed = true;
        std::uint64_t id_hash = 0;
        std::map<std::uint64_t, running_request> runs;
        std::uint32_t online = 0;
        std::uint32_t batch = 0;
        instant last_progress{};
        instant excluded_until{};
        instant last_failure{};
        std::uint32_t failures = 0;
    };

    bool is_available(const endpoint_record& record, std::string_view service,
                      instant now) const;
    bool is_unresponsive(const endpoint_record& record, instant now) const;
    int distance(const endpoint_record& record) const;
    void record_failure(endpoint_record& record, run_outcome result,
                        instant now);
    void record_slot_time(std::string_view service, milliseconds held);

    std::string own_zone;
    std::map<std::string, std::string> region_of_zone;
    const peers::peer_table& peer_hosts;
    std::map<std::string, endpoint_record, std::less<>> records;
    std::map<std::string, double, std::less<>> mean_slot_time_ms;
    std::uint64_t next_run = 1;
    std::uint64_t version = 0;
};

} // namespace amaranthhatch::core::endpoints
