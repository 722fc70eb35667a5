#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "core/endpoints/remote_capacity.hpp"
#include "core/peers/zone_view.hpp"
#include "peers/packing.hpp"
#include "peers/view_packing.hpp"

using namespace amaranthhatch;

namespace
{

constexpr std::size_t zone_count = 20;
constexpr std::size_t hosts_per_zone = 50;
constexpr std::size_t endpoints_per_zone = 500;
constexpr std::uint32_t slots = 8;
constexpr std::uint32_t all_slots = zone_count * endpoints_per_zone * slots;
// A step is 250 ms, about the interval of a view at this size; a request takes
// one to five steps.
constexpr int steps_per_second = 4;
constexpr int request_steps = 3;
constexpr int step_count = 24;
// As in large_zone_messages.cpp.
constexpr double view_bytes_per_second = 2000000;

struct fleet_options
{
    bool by_views = true;
    double busy = 0.7;
    /// The busiest zone gets this many times the demand of another.
    double skew = 1;
    double loss = 0.05;
    int late_steps = 0;
    bool lose_hosts = false;
    bool cut_zone = false;
};

struct fleet_result
{
    /// Requests that found all slots of their endpoint in use, of all.
    double queued = 0;
    /// Bytes a second that the busiest lead sends to its zone.
    double lead_bytes = 0;
};

/// @brief 1,000 hosts that send requests to 10,000 endpoints; the hosts of a
/// zone get the views of its lead through the same bytes as in a datagram.
class simulated_fleet
{
public:
    explicit simulated_fleet(fleet_options options)
        : options(options), used(zone_count * endpoints_per_zone),
          zones(zone_count), hosts(zone_count * hosts_per_zone)
    {
    }

    fleet_result run()
    {
        for (this->step = 0; this->step < step_count; this->step++)
        {
            this->end_requests();
            if (this->options.by_views)
                this->send_views();
            this->start_requests();
        }
        return {static_cast<double>(this->queued) /
                    static_cast<double>(this->started),
                this->busiest_lead()};
    }

private:
    struct host
    {
        core::peers::view_receiver view;
        std::vector<std::uint32_t> free;
        std::map<std::size_t, std::uint32_t> own;
        /// Its own requests that the view contains.
        std::map<std::size_t, std::uint32_t> included;
        /// Its own requests at the end of the last steps.
        std::deque<std::map<std::size_t, std::uint32_t>> reports;
        /// Endpoints by the step at which the request ends.
        std::multimap<int, std::size_t> running;
    };

    struct zone
    {
        core::peers::view_sender sender;
        std::deque<std::vector<core::peers::endpoint_load>> loads;
        double bytes = 0;
        double next_view = 0;
    };

    bool cut(std::size_t zone) const
    {
        return this->options.cut_zone && zone == 0 &&
               this->step > step_count / 3;
    }

    bool lost(std::size_t host) const
    {
        return this->options.lose_hosts && host % 3 == 0 &&
               this->step > step_count / 2;
    }

    double draw() { return std::uniform_real_distribution<>()(this->random); }

    void end_requests()
    {
        for (auto& one : this->hosts)
            while (!one.running.empty() &&
                   one.running.begin()->first <= this->step)
            {
                auto endpoint = one.running.begin()->second;
                this->used[endpoint]--;
                if (--one.own[endpoint] == 0)
                    one.own.erase(endpoint);
                one.running.erase(one.running.begin());
            }
    }

    double busiest_lead() const
    {
        double most = 0;
        for (const auto& one : this->zones)
            most = std::max(most, one.bytes);
        return most * steps_per_second / step_count;
    }

    std::uint32_t free_in(std::size_t zone) const
    {
        std::uint32_t free = 0;
        for (std::size_t at = zone * endpoints_per_zone;
             at < (zone + 1) * endpoints_per_zone; at++)
            free += slots - std::min(slots, this->used[at]);
        return free;
    }

    void send_views()
    {
        std::vector<std::uint32_t> free(zone_count);
        for (std::size_t zone = 0; zone < zone_count; zone++)
            free[zone] = this->cut(zone) ? 0 : this->free_in(zone);
        auto kept = static_cast<std::size_t>(this->options.late_steps) + 1;
        for (auto& one : this->hosts)
        {
            one.reports.push_back(one.own);
            if (one.reports.size() > kept)
                one.reports.pop_front();
        }
        for (std::size_t zone = 0; zone < zone_count; zone++)
            this->send_view(zone, free);
    }

    void send_view(std::size_t number, const std::vector<std::uint32_t>& free)
    {
        auto& zone = this->zones[number];
        std::vector<core::peers::endpoint_load> loads;
        for (std::size_t at = number * endpoints_per_zone;
             at < (number + 1) * endpoints_per_zone; at++)
            if (this->used[at] > 0)
                loads.push_back({at, this->used[at], 0});
        zone.loads.push_back(std::move(loads));
        if (zone.loads.size() >
            static_cast<std::size_t>(this->options.late_steps) + 1)
            zone.loads.pop_front();
        // Half a step is rounded either way.
        if (this->step + 0.5 < zone.next_view)
            return;
        zone.sender.update(zone.loads.front(), 1);
        auto changes = zone.sender.changes();
        auto whole = zone.sender.full();
        for (std::size_t other = 0; other < zone_count; other++)
        {
            changes.capacities.push_back(
                {other + 1000000, 9000000, free[other]});
            whole.capacities = changes.capacities;
        }
        auto changes_bytes = peers::pack(changes);
        auto whole_bytes = peers::pack(whole);
        auto changes_read = *peers::unpack_view(changes_bytes);
        auto whole_read = *peers::unpack_view(whole_bytes);
        double bytes = 0;
        for (std::size_t at = 0; at < hosts_per_zone; at++)
        {
            auto& one = this->hosts[number * hosts_per_zone + at];
            bool rotation =
                static_cast<std::size_t>(this->step) % hosts_per_zone == at;
            bool sent_whole = rotation || one.free.empty();
            bytes += static_cast<double>(
                this->header_bytes +
                (sent_whole ? whole_bytes : changes_bytes).size());
            if (this->draw() < this->options.loss ||
                !one.view.apply(sent_whole ? whole_read : changes_read))
                continue;
            one.included = one.reports.front();
            one.free = free;
            if (this->cut(number))
                std::fill(one.free.begin(), one.free.end(), 0);
        }
        zone.bytes += bytes;
        zone.next_view = std::max(zone.next_view, double(this->step)) +
                         bytes / view_bytes_per_second * steps_per_second;
    }

    /// @brief The length of a view without the loads.
    static std::size_t header_length()
    {
        core::peers::beacon header;
        header.name = "entry-1000";
        header.incarnation = 1ull << 52;
        header.sent_ms = 1ll << 40;
        header.address = "10.100.100.100:9000";
        header.zone = "zone-10";
        header.region = "region-1";
        header.capacity = 2000;
        header.copies.assign(4, {1u << 31, 1u << 31});
        return peers::with_included(1ll << 40, peers::pack(header)).size();
    }

    void start_requests()
    {
        double per_host = this->options.busy * all_slots / request_steps /
                          static_cast<double>(this->hosts.size());
        std::vector<std::size_t> order;
        for (std::size_t host = 0; host < this->hosts.size(); host++)
        {
            if (this->lost(host))
                continue;
            bool busiest = host / hosts_per_zone == 1;
            auto wanted =
                per_host * (busiest ? this->options.skew : 1) *
                (this->options.lose_hosts && this->step > step_count / 2 ? 1.5
                                                                         : 1);
            order.insert(order.end(),
                         static_cast<std::size_t>(wanted + this->draw()), host);
        }
        std::shuffle(order.begin(), order.end(), this->random);
        for (auto host : order)
            this->start_request(host);
    }

    void start_request(std::size_t number)
    {
        auto& one = this->hosts[number];
        auto zone = number / hosts_per_zone;
        auto chosen = this->options.by_views ? this->choose_by_view(one, zone)
                                             : this->choose_by_own(one, zone);
        // A request at a full endpoint waits there and holds no slot yet.
        bool full = this->used[chosen] >= slots;
        this->queued += full ? 1 : 0;
        this->started++;
        this->used[chosen]++;
        one.own[chosen]++;
        auto length = 1 + this->random() % (2 * request_steps - 1);
        one.running.emplace(this->step + static_cast<int>(length), chosen);
    }

    double open_at(const host& one, std::size_t endpoint) const
    {
        auto seen = one.view.loads().find(endpoint);
        auto own = one.own.find(endpoint);
        double load = seen == one.view.loads().end() ? 0 : seen->second.online;
        auto included = one.included.find(endpoint);
        if (included != one.included.end())
            load = std::max(0.0, load - included->second);
        load += own == one.own.end() ? 0 : own->second;
        return std::max(0.0, slots - load);
    }

    // As endpoint_table does; draws by rejection, as most endpoints have a free
    // slot, and by a full pass otherwise.
    std::size_t choose_by_view(const host& one, std::size_t zone)
    {
        auto first = zone * endpoints_per_zone;
        for (int attempt = 0; attempt < 40; attempt++)
        {
            auto at = first + this->random() % endpoints_per_zone;
            if (this->draw() * slots < this->open_at(one, at))
                return at;
        }
        core::endpoints::remote_capacity remote;
        for (std::size_t other = 0; other < zone_count; other++)
            if (other != zone && !one.free.empty())
                remote.add(
                    {this->names[other], slots * endpoints_per_zone, 0, 0, 1},
                    one.free[other]);
        if (auto drawn = remote.draw(this->draw()))
        {
            auto other = *drawn + (*drawn >= zone ? 1 : 0);
            return other * endpoints_per_zone +
                   this->random() % endpoints_per_zone;
        }
        return first + this->random() % endpoints_per_zone;
    }

    // least_outstanding: the endpoints of the zone at which this host itself
    // runs least, one of them at random.
    std::size_t choose_by_own(const host& one, std::size_t zone)
    {
        auto first = zone * endpoints_per_zone;
        for (int attempt = 0; attempt < 40; attempt++)
        {
            auto at = first + this->random() % endpoints_per_zone;
            if (!one.own.contains(at))
                return at;
        }
        return first + this->random() % endpoints_per_zone;
    }

    static std::vector<std::string> zone_names()
    {
        std::vector<std::string> out;
        for (std::size_t zone = 0; zone < zone_count; zone++)
            out.push_back("z" + std::to_string(zone));
        return out;
    }

    fleet_options options;
    std::mt19937_64 random{11};
    int step = 0;
    std::vector<std::uint32_t> used;
    std::vector<zone> zones;
    std::vector<host> hosts;
    std::vector<std::string> names = zone_names();
    std::size_t queued = 0;
    std::size_t started = 0;
    std::size_t header_bytes = header_length();
};

// Guards against views that are too old, too large or too incomplete to be
// better than what a host knows by itself.
void compare(fleet_options options)
{
    auto views = simulated_fleet(options).run();
    options.by_views = false;
    auto baseline = simulated_fleet(options).run();
    WARN("views: queued " << views.queued << ", lead "
                          << views.lead_bytes / 1000
                          << " KB/s; own loads only: queued "
                          << baseline.queued);
    CHECK(views.queued <= baseline.queued);
}

} // namespace

TEST_CASE("large fleet, 5% of views lost, queues less than by own loads")
{
    compare({});
}

TEST_CASE("large fleet, views 250 ms late, queues no more than by own loads")
{
    fleet_options options;
    options.late_steps = 1;
    compare(options);
}

TEST_CASE("large fleet, a third of the hosts lost, queues less")
{
    fleet_options options;
    options.lose_hosts = true;
    compare(options);
}

TEST_CASE("large fleet, a zone cut off, queues less than by own loads")
{
    fleet_options options;
    options.cut_zone = true;
    compare(options);
}

TEST_CASE("large fleet, demand of one zone twice its slots, moves to others")
{
    fleet_options options;
    options.busy = 0.6;
    options.skew = 3;
    compare(options);
}

// Guards against a lead whose messages take more than a host's share of control
// traffic.
TEST_CASE("large fleet, views of the lead, stay under 200 KB a second")
{
    auto views = simulated_fleet({}).run();
    WARN("lead " << views.lead_bytes / 1000 << " KB/s");
    CHECK(views.lead_bytes < 200000);
}
