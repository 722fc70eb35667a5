#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/endpoints/leaving_marks.hpp"
#include "core/endpoints/remote_capacity.hpp"
#include "core/endpoints/shared_health.hpp"
#include "core/instant.hpp"
#include "core/peers/fleet_endpoints.hpp"
#include "core/peers/peer_table.hpp"

namespace amaranthhatch::core::endpoints
{

/// @brief An endpoint's registration.
struct endpoint
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    std::uint32_t slots = 1;
    bool draining = false;
    /// When it started, by its own clock; tells apart its incarnations, which
    /// may have the same id. 0: not known.
    std::int64_t started_ms = 0;
};

/// @brief Kinds of load; online requests may preempt batch requests.
enum class load_kind : std::uint8_t
{
    online,
    batch
};

/// @brief How a request at an endpoint ended, as an input to its health.
enum class run_outcome : std::uint8_t
{
    answered,
    /// The endpoint reported that it didn't execute the request.
    refused,
    /// No connection could be established.
    unreachable,
    /// The response was incomplete or never arrived.
    broken,
    /// As broken, but no evidence against the endpoint for other hosts: the
    /// quarantine attributes it to the request, or this host ended it for
    /// lack of time or memory.
    abandoned,
    /// The endpoint answered with a server error.
    error_status,
    /// Another instance now runs at the address.
    replaced,
    /// This host cancelled the request; doesn't affect the endpoint's health.
    cancelled
};

/// @brief The result of a choice among endpoints; chosen is null if none is
/// available.
struct choice
{
    const endpoint* chosen = nullptr;
    /// Expected time until a slot is free; zero if one is free or
    /// can be preempted.
    milliseconds expected_wait{};
    /// True if a batch request has to be preempted.
    bool preempts = false;
};

/// @brief The part of an endpoint's slots that batch requests may use.
struct batch_allowance
{
    /// Slots that stay free for online requests.
    std::uint32_t reserve = 0;
    /// Share of the slots that may be in use, online requests included.
    double share = 1;
};

/// @brief The number by which beacons name an endpoint. 32 bits, as each beacon
/// names hundreds of endpoints.
std::uint64_t load_key(std::string_view endpoint);

/// @brief Identifies a running request at an endpoint.
struct run_key
{
    std::string endpoint;
    std::uint64_t number = 0;
};

/// @brief Tracks the load and health of endpoints and chooses among them.
///
/// Load is the sum of this host's running requests and those reported in other
/// hosts' beacons. Of large zones other than the own only the free slots are
/// known; their endpoints are drawn in proportion to these where the own zone
/// has few free slots left. Health is derived from the results of this host's
/// requests; endpoints' own health reports aren't used.
class endpoint_table : public peers::fleet_endpoints
{
public:
    endpoint_table(std::string own_zone,
                   std::map<std::string, std::string> region_of_zone,
                   const peers::peer_table& peer_hosts);

    /// @brief Replaces the list of endpoints.
    ///
    /// Requests that run at endpoints no longer listed continue.
    void replace(std::vector<endpoint> listed);

    const endpoint* find(std::string_view id) const;
    std::size_t size() const { return this->records.size(); }

    /// @brief Chooses an endpoint for an online request.
    ///
    /// Prefers a free slot, then one that batch work holds, then the shortest
    /// queue. Where the loads come from the zone's lead, slots are drawn at
    /// random: many hosts then act on one view that is some hundred
    /// milliseconds old, and would all choose its best endpoint. Skips the
    /// endpoints in excluded; uniform lies in [0, 1). Requests that may be
    /// repeated also run as trials of ejected endpoints; others avoid
    /// suspected ones.
    choice choose_online(std::string_view service,
                         std::span<const std::string> excluded, instant now,
                         double uniform, bool repeatable = false) const;

    /// @brief Chooses the best endpoint with a free slot for a batch request.
    ///
    choice choose_batch(std::string_view service, batch_allowance allowance,
                        instant now, double uniform) const;

    /// @brief Returns how many slots batch requests may still take, of all
    /// endpoints of a service.
    double free_for_batch(std::string_view service, batch_allowance allowance,
                          instant now) const;

    /// @brief Returns the share of a service's slots that no online request
    /// uses, of the endpoints that may be chosen; 0 if there are none.
    double free_online_share(std::string_view service, instant now) const;

    /// @brief Records the start of a request.
    run_key begin(std::string_view endpoint, load_kind kind, instant now);

    /// @brief Records that a running request received response data.
    void progress(const run_key& run, instant now);

    /// @brief Records that an answer to a running request says that its
    /// endpoint leaves. Returns true if this wasn't known before.
    ///
    /// From then on the incarnation that got the request isn't chosen any more,
    /// even if its entry vanishes and comes back. Running requests continue.
    bool record_leaving(const run_key& run);

    /// @brief Records the end and result of a request.
    void end(const run_key& run, run_outcome result, instant now);

    /// @brief Merges the evidence of another host's beacon.
    void receive_evidence(const peers::beacon& message, instant now);

    /// @brief Counts stalled runs and judges the endpoints; to be called often.
    void check_health(instant now);

    shared_health& health() { return this->fleet_health; }

    /// @brief The endpoint of a key in evidence; null if it isn't listed.
    const endpoint* find_by_health_key(std::uint64_t key) const;

    /// @brief Returns by how much the requests of all hosts exceed an
    /// endpoint's slots.
    std::uint32_t excess(std::string_view endpoint) const;

    /// @brief Returns this host's running requests for its next beacon.
    std::vector<peers::endpoint_load> own_loads() const;

    /// @brief Returns the mean time for which an online request occupies a
    /// slot.
    milliseconds mean_slot_time(std::string_view service) const;

    /// @brief Returns the number of a service's endpoints that may be chosen.
    std::uint32_t usable(std::string_view service, instant now) const;

    std::string_view zone_of(std::uint64_t endpoint) const override;
    std::vector<peers::zone_capacity> free_slots(instant now) const override;

    /// @brief Returns a number that changes whenever own_loads() changes.
    std::uint64_t load_version() const { return this->version; }

private:
    struct running_request
    {
        load_kind kind = load_kind::online;
        instant started{};
        /// The endpoint's incarnation that got the request; its entry may name
        /// another one by now.
        incarnation sent_to;
        std::uint64_t health_key = 0;
        /// True if it was sent to an ejected endpoint.
        bool trial = false;
        bool stalled = false;
    };

    struct endpoint_record
    {
        endpoint info;
        bool listed = true;
        /// True if this incarnation has said in an answer that it leaves.
        bool leaving = false;
        std::uint64_t id_hash = 0;
        std::uint64_t health_key = 0;
        std::map<std::uint64_t, running_request> runs;
        std::uint32_t online = 0;
        std::uint32_t batch = 0;
        instant last_progress{};
        instant excluded_until{};
        instant last_failure{};
        std::uint32_t failures = 0;
    };

    struct candidate
    {
        const endpoint_record* record = nullptr;
        double online = 0;
        double total = 0;
        int distance = 0;
    };

    void update_leaving(endpoint_record& record) const;
    /// @brief Candidates of zones of which only the free slots are known.
    struct remote_part
    {
        std::vector<candidate> candidates;
        remote_capacity capacity;

        const candidate* draw(double uniform) const;
    };

    remote_part take_remote(std::vector<candidate>& from,
                            std::string_view service,
                            const batch_allowance* allowance) const;
    static const candidate* draw_any(std::span<const candidate> from,
                                     const remote_part& remote, double uniform);
    static double usable_for_batch(const candidate& each,
                                   batch_allowance allowance);
    std::vector<candidate> without_ejected(std::vector<candidate> from) const;
    static const candidate* draw(std::span<const candidate> from,
                                 double candidate::*used, double uniform);
    const candidate* best(std::span<const candidate> from,
                          double uniform) const;
    choice choice_of(const candidate* chosen, std::string_view service) const;
    std::vector<candidate> all_candidates(std::string_view service,
                                          std::span<const std::string> excluded,
                                          instant now) const;
    const candidate* find_trial(std::span<const candidate> from,
                                shared_health::trial_work work,
                                instant now) const;
    int distance_to(const choice& made) const;
    choice choose_unsuspected(std::span<const candidate> from,
                              std::string_view service, instant now,
                              double uniform) const;
    choice choose_among(std::vector<candidate> from, std::string_view service,
                        double uniform) const;
    void record_health(const running_request& ended, run_outcome result,
                       instant now);
    bool is_available(const endpoint_record& record, std::string_view service,
                      instant now) const;
    bool is_unresponsive(const endpoint_record& record, instant now) const;
    int distance(const endpoint_record& record) const;
    void record_failure(endpoint_record& record, run_outcome result,
                        instant now);
    void record_slot_time(std::string_view service, milliseconds slot_time);

    shared_health fleet_health;
    std::string own_zone;
    std::map<std::string, std::string> region_of_zone;
    const peers::peer_table& peer_hosts;
    std::map<std::string, endpoint_record, std::less<>> records;
    leaving_marks leaving;
    /// Zones of the listed endpoints, by their hashes.
    std::unordered_map<std::uint64_t, std::string> zones_by_hash;
    std::map<std::string, double, std::less<>> mean_slot_time_ms;
    std::uint64_t next_run = 1;
    std::uint64_t version = 0;
};

} // namespace amaranthhatch::core::endpoints
