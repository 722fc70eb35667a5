#include "peers/packing.hpp"

#include <algorithm>

#include "packing/bytes.hpp"
#include "peers/view_packing.hpp"

namespace amaranthhatch::peers
{

namespace
{

using packing::from_bytes;
using packing::to_bytes;

// Must change with the fields of packed_beacon, so that hosts of different
// releases ignore each other's beacons instead of misreading them.
constexpr std::uint32_t beacon_format = 6;
// Bounds how long an unreadable or hostile beacon makes its sender look alive.
constexpr core::milliseconds longest_interval{5000};
constexpr auto last_reason =
    static_cast<std::uint8_t>(core::peers::failure_kind::stalled);
// Older reports of crashes count nowhere.
constexpr core::milliseconds longest_age{3600000};

struct packed_echo
{
    std::uint64_t peer = 0;
    std::uint64_t incarnation = 0;
    std::int64_t sent_ms = 0;
    MSGPACK_DEFINE(peer, incarnation, sent_ms)
};

struct packed_load
{
    std::uint64_t endpoint = 0;
    std::uint32_t online = 0;
    std::uint32_t batch = 0;
    MSGPACK_DEFINE(endpoint, online, batch)
};

struct packed_pair
{
    std::uint64_t first = 0;
    std::uint64_t second = 0;
    MSGPACK_DEFINE(first, second)
};

struct packed_crash
{
    std::uint64_t run = 0;
    std::uint64_t endpoint = 0;
    std::uint64_t service = 0;
    std::vector<std::uint64_t> parts;
    std::uint32_t cleared = 0;
    std::uint32_t confirmed = 0;
    std::int64_t age_ms = 0;
    /// Absent in messages of earlier versions.
    std::uint64_t cause = 0;
    MSGPACK_DEFINE(run, endpoint, service, parts, cleared, confirmed, age_ms,
                   cause)
};

struct packed_crashes
{
    std::int64_t wall_ms = 0;
    std::vector<packed_crash> reports;
    MSGPACK_DEFINE(wall_ms, reports)
};

struct packed_evidence
{
    std::uint64_t endpoint = 0;
    std::uint32_t failed = 0;
    std::uint32_t answered = 0;
    std::uint32_t cleared = 0;
    std::uint8_t reason = 0;
    std::uint64_t reporter = 0;
    std::uint64_t zone = 0;
    std::int64_t age_ms = 0;
    MSGPACK_DEFINE(endpoint, failed, answered, cleared, reason, reporter, zone,
                   age_ms)
};

struct packed_beacon
{
    std::uint32_t version = 0;
    std::string name;
    std::uint64_t incarnation = 0;
    std::int64_t sent_ms = 0;
    std::string address;
    std::string zone;
    std::string region;
    std::string disk;
    std::uint32_t capacity = 0;
    std::int64_t next_within_ms = 0;
    bool leaving = false;
    bool store_unreachable = false;
    std::int64_t configuration_age_ms = -1;
    std::uint8_t scope = 0;
    std::vector<packed_echo> echoes;
    std::vector<packed_load> loads;
    std::vector<packed_pair> copies;
    std::vector<packed_pair> backlogs;
    std::vector<packed_crash> crashes;
    std::vector<packed_evidence> evidence;
    MSGPACK_DEFINE(version, name, incarnation, sent_ms, address, zone, region,
                   disk, capacity, next_within_ms, leaving, store_unreachable,
                   configuration_age_ms, scope, echoes, loads, copies, backlogs,
                   crashes, evidence)
};

struct packed_entry
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    MSGPACK_DEFINE(key, value, revision)
};

struct packed_listing
{
    std::uint64_t revision = 0;
    std::vector<packed_entry> entries;
    std::vector<std::string> expired;
    /// Absent in messages of earlier versions, which send complete copies.
    std::uint64_t base = 0;
    std::vector<std::string> removed;
    MSGPACK_DEFINE(revision, entries, expired, base, removed)
};

packed_crash to_packed(const core::quarantine::crash_report& report)
{
    return {report.run,     report.endpoint,  report.service,     report.parts,
            report.cleared, report.confirmed, report.age.count(), report.cause};
}

core::quarantine::crash_report from_packed(const packed_crash& packed)
{
    auto age_ms =
        std::clamp<std::int64_t>(packed.age_ms, 0, longest_age.count());
    return {packed.run,
            packed.endpoint,
            packed.service,
            packed.parts,
            packed.cleared,
            packed.confirmed,
            core::milliseconds(age_ms),
            packed.cause};
}

bool has_view(core::peers::beacon_scope scope)
{
    return scope == core::peers::beacon_scope::view ||
           scope == core::peers::beacon_scope::part;
}

// Reads the number that may precede a beacon; returns how many bytes it took. A
// beacon itself is an array.
std::size_t read_included(std::string_view bytes, std::int64_t& included_ms)
{
    try
    {
        std::size_t offset = 0;
        auto first = msgpack::unpack(bytes.data(), bytes.size(), offset);
        if (first.get().type == msgpack::type::ARRAY)
            return 0;
        first.get().convert(included_ms);
        return offset;
    }
    catch (const std::exception&)
    {
        // The beacon is then unreadable, too, which is logged there.
        return 0;
    }
}

} // namespace

std::string pack(const core::peers::beacon& beacon)
{
    packed_beacon packed;
    packed.version = beacon_format;
    packed.name = beacon.name;
    packed.incarnation = beacon.incarnation;
    packed.sent_ms = beacon.sent_ms;
    packed.address = beacon.address;
    packed.zone = beacon.zone;
    packed.region = beacon.region;
    packed.disk = beacon.disk;
    packed.capacity = beacon.capacity;
    packed.next_within_ms = beacon.next_within.count();
    packed.leaving = beacon.leaving;
    packed.store_unreachable = beacon.store_unreachable;
    packed.configuration_age_ms = beacon.configuration_age.count();
    packed.scope = static_cast<std::uint8_t>(beacon.scope);
    for (const auto& echo : beacon.echoes)
        packed.echoes.push_back({echo.peer, echo.incarnation, echo.sent_ms});
    for (const auto& load : beacon.loads)
        packed.loads.push_back({load.endpoint, load.online, load.batch});
    for (const auto& copy : beacon.copies)
        packed.copies.push_back({copy.changed, copy.as_of});
    for (const auto& backlog : beacon.backlogs)
        packed.backlogs.push_back({backlog.key, backlog.tokens});
    for (const auto& crash : beacon.crashes)
        packed.crashes.push_back(to_packed(crash));
    for (const auto& each : beacon.evidence)
        packed.evidence.push_back({each.endpoint, each.failed, each.answered,
                                   each.cleared,
                                   static_cast<std::uint8_t>(each.reason),
                                   each.reporter, each.zone, each.age.count()});
    auto bytes = to_bytes(packed);
    if (has_view(beacon.scope))
        bytes += pack(beacon.view);
    return bytes;
}

std::string with_included(std::int64_t included_ms, std::string_view beacon)
{
    return to_bytes(included_ms).append(beacon);
}

std::optional<core::peers::beacon> unpack_beacon(std::string_view bytes)
{
    std::int64_t included_ms = 0;
    bytes.remove_prefix(read_included(bytes, included_ms));
    std::size_t length = 0;
    auto packed = from_bytes<packed_beacon>(bytes, "beacon", &length);
    constexpr auto last_scope =
        static_cast<std::uint8_t>(core::peers::beacon_scope::view_request);
    if (!packed || packed->version != beacon_format ||
        packed->scope > last_scope)
        return std::nullopt;
    core::peers::beacon beacon;
    beacon.name = packed->name;
    beacon.incarnation = packed->incarnation;
    beacon.sent_ms = packed->sent_ms;
    beacon.address = packed->address;
    beacon.zone = packed->zone;
    beacon.region = packed->region;
    beacon.disk = packed->disk;
    beacon.capacity = packed->capacity;
    beacon.next_within = std::clamp(core::milliseconds(packed->next_within_ms),
                                    core::milliseconds(0), longest_interval);
    beacon.leaving = packed->leaving;
    beacon.store_unreachable = packed->store_unreachable;
    beacon.configuration_age = core::milliseconds(std::clamp<std::int64_t>(
        packed->configuration_age_ms, -1, longest_age.count()));
    beacon.included_ms = included_ms;
    beacon.scope = static_cast<core::peers::beacon_scope>(packed->scope);
    for (const auto& echo : packed->echoes)
        beacon.echoes.push_back({echo.peer, echo.incarnation, echo.sent_ms});
    for (const auto& load : packed->loads)
        beacon.loads.push_back({load.endpoint, load.online, load.batch});
    for (const auto& copy : packed->copies)
        beacon.copies.push_back({copy.first, copy.second});
    for (const auto& backlog : packed->backlogs)
        beacon.backlogs.push_back({backlog.first, backlog.second});
    for (const auto& crash : packed->crashes)
        beacon.crashes.push_back(from_packed(crash));
    for (const auto& each : packed->evidence)
        beacon.evidence.push_back({each.endpoint, each.failed, each.answered,
                                   each.cleared,
                                   static_cast<core::peers::failure_kind>(
                                       std::min(each.reason, last_reason)),
                                   each.reporter, each.zone,
                                   core::milliseconds(std::clamp<std::int64_t>(
                                       each.age_ms, 0, longest_age.count()))});
    if (!has_view(beacon.scope))
        return beacon;
    auto view = unpack_view(bytes.substr(length));
    if (!view)
        return std::nullopt;
    beacon.view = std::move(*view);
    return beacon;
}

std::string
pack_crashes(std::span<const core::quarantine::crash_report> reports,
             std::int64_t wall_ms)
{
    packed_crashes packed;
    packed.wall_ms = wall_ms;
    for (const auto& report : reports)
        packed.reports.push_back(to_packed(report));
    return to_bytes(packed);
}

std::optional<std::vector<core::quarantine::crash_report>>
unpack_crashes(std::string_view bytes, std::int64_t wall_ms)
{
    auto packed = from_bytes<packed_crashes>(bytes, "crashes");
    if (!packed)
        return std::nullopt;
    // Clocks of two hosts differ, so the writer's may be ahead.
    bool readable = packed->wall_ms > 0 && packed->wall_ms <= wall_ms;
    auto elapsed = readable
                       ? std::min(core::milliseconds(wall_ms - packed->wall_ms),
                                  longest_age)
                       : core::milliseconds(0);
    std::vector<core::quarantine::crash_report> reports;
    for (const auto& each : packed->reports)
    {
        reports.push_back(from_packed(each));
        reports.back().age += elapsed;
    }
    return reports;
}

std::string pack(const store::listing& listing)
{
    packed_listing packed;
    packed.revision = listing.revision;
    for (const auto& entry : listing.entries)
        packed.entries.push_back({entry.key, entry.value, entry.revision});
    packed.expired = listing.expired;
    packed.base = listing.base;
    packed.removed = listing.removed;
    return to_bytes(packed);
}

std::optional<store::listing> unpack_listing(std::string_view bytes)
{
    auto packed = from_bytes<packed_listing>(bytes, "listing");
    if (!packed)
        return std::nullopt;
    store::listing listing{
        store::outcome::done, packed->revision, {},
        packed->expired,      packed->base,     packed->removed};
    for (const auto& entry : packed->entries)
        listing.entries.push_back(
            {entry.key, entry.value, entry.revision, false});
    return listing;
}

} // namespace amaranthhatch::peers
