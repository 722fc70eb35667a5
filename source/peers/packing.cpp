#include "peers/packing.hpp"

#include "packing/bytes.hpp"

namespace amaranthhatch::peers
{

namespace
{

using packing::from_bytes;
using packing::to_bytes;

// Changes whenever the fields below do, so that hosts of two releases ignore
// each other's beacons instead of misreading them.
constexpr std::uint32_t format = 3;

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
    bool leaving = false;
    bool store_away = false;
    bool zone_summary = false;
    std::vector<packed_echo> echoes;
    std::vector<packed_load> loads;
    std::vector<packed_pair> copies;
    std::vector<packed_pair> backlogs;
    MSGPACK_DEFINE(version, name, incarnation, sent_ms, address, zone, region,
                   disk, leaving, store_away, zone_summary, echoes, loads,
                   copies, backlogs)
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
    std::vector<std::string> lapsed;
    MSGPACK_DEFINE(revision, entries, lapsed)
};

} // namespace

std::string pack(const core::peers::beacon& from)
{
    packed_beacon out;
    out.version = format;
    out.name = from.name;
    out.incarnation = from.incarnation;
    out.sent_ms = from.sent_ms;
    out.address = from.address;
    out.zone = from.zone;
    out.region = from.region;
    out.disk = from.disk;
    out.leaving = from.leaving;
    out.store_away = from.store_unreachable;
    out.zone_summary = from.zone_summary;
    for (const auto& each : from.echoes)
        out.echoes.push_back({each.peer, each.incarnation, each.sent_ms});
    for (const auto& each : from.loads)
        out.loads.push_back({each.endpoint, each.online, each.batch});
    for (const auto& each : from.copies)
        out.copies.push_back({each.changed, each.as_of});
    for (const auto& each : from.backlogs)
        out.backlogs.push_back({each.route, each.tokens});
    return to_bytes(out);
}

std::optional<core::peers::beacon> unpack_beacon(std::string_view bytes)
{
    auto in = from_bytes<packed_beacon>(bytes, "beacon");
    if (!in || in->version != format)
        return std::nullopt;
    core::peers::beacon out;
    out.name = in->name;
    out.incarnation = in->incarnation;
    out.sent_ms = in->sent_ms;
    out.address = in->address;
    out.zone = in->zone;
    out.region = in->region;
    out.disk = in->disk;
    out.leaving = in->leaving;
    out.store_unreachable = in->store_away;
    out.zone_summary = in->zone_summary;
    for (const auto& each : in->echoes)
        out.echoes.push_back({each.peer, each.incarnation, each.sent_ms});
    for (const auto& each : in->loads)
        out.loads.push_back({each.endpoint, each.online, each.batch});
    for (const auto& each : in->copies)
        out.copies.push_back({each.first, each.second});
    for (const auto& each : in->backlogs)
        out.backlogs.push_back({each.first, each.second});
    return out;
}

std::string pack(const store::listing& from)
{
    packed_listing out;
    out.revision = from.revision;
    for (const auto& each : from.entries)
        out.entries.push_back({each.key, each.value, each.revision});
    out.lapsed = from.lapsed;
    return to_bytes(out);
}

std::optional<store::listing> unpack_listing(std::string_view bytes)
{
    auto in = from_bytes<packed_listing>(bytes, "listing");
    if (!in)
        return std::nullopt;
    store::listing out{store::outcome::done, in->revision, {}, in->lapsed};
    for (const auto& each : in->entries)
        out.entries.push_back({each.key, each.value, each.revision, false});
    return out;
}

} // namespace amaranthhatch::peers
