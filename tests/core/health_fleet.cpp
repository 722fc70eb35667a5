#include "health_fleet.hpp"

#include <algorithm>

namespace amaranthhatch::tests
{

using namespace std::chrono_literals;
using core::endpoints::endpoint;
using core::endpoints::health_change;
using core::endpoints::run_outcome;
using core::endpoints::shared_health;

namespace
{

std::string zone_name(std::size_t zone)
{
    return "zone-" + std::to_string(zone);
}

std::map<std::string, std::string> regions()
{
    std::map<std::string, std::string> out;
    for (std::size_t zone = 0; zone < 6; zone++)
        out[zone_name(zone)] = zone < 3 ? "r1" : "r2";
    return out;
}

} // namespace

health_fleet::host::host(std::size_t number, const std::string& zone)
    : peers("host-" + std::to_string(number), zone, number + 1,
            {1000ms, 1000ms, 10000ms}),
      table(zone, regions(), this->peers)
{
}

std::string health_fleet::name(std::size_t endpoint)
{
    return "e" + std::to_string(endpoint);
}

health_fleet::health_fleet(std::uint32_t seed, std::size_t zones,
                           std::size_t hosts, std::size_t endpoints)
    : zones(zones), random(seed)
{
    std::vector<endpoint> listed;
    for (std::size_t number = 0; number < endpoints; number++)
        listed.push_back({name(number), "pool", "127.0.0.1:1",
                          zone_name(number % zones), 8, false, 1});
    for (std::size_t number = 0; number < hosts; number++)
    {
        this->hosts.push_back(
            std::make_unique<host>(number, zone_name(this->zone_of(number))));
        this->hosts.back()->table.replace(listed);
    }
    this->run(1000ms);
}

double health_fleet::uniform()
{
    return std::uniform_real_distribution<double>()(this->random);
}

core::milliseconds health_fleet::delay(std::size_t from, std::size_t to) const
{
    if (this->zone_of(from) == this->zone_of(to))
        return 15ms;
    return (this->zone_of(from) < 3) == (this->zone_of(to) < 3) ? 55ms : 140ms;
}

void health_fleet::later(core::milliseconds after,
                         std::function<void()> perform)
{
    this->steps.push(
        {this->now + after, this->next_step++, std::move(perform)});
}

void health_fleet::run(core::milliseconds time, const fault& behaves)
{
    auto until = this->now + time;
    double due = 0;
    for (; this->now < until; this->now += 1ms)
    {
        while (!this->steps.empty() && this->steps.top().at <= this->now)
        {
            auto perform = this->steps.top().perform;
            this->steps.pop();
            perform();
        }
        for (due += this->per_second / 1000; due >= 1; due--)
            this->request(behaves);
        this->send_beacons();
    }
}

// Each host sends once in 20 ms, and not all of them at once.
void health_fleet::send_beacons()
{
    this->ticks++;
    for (std::size_t from = 0; from < this->hosts.size(); from++)
        if ((this->ticks + from) % 20 == 0)
            this->send(from);
}

void health_fleet::send(std::size_t from)
{
    auto& sender = *this->hosts[from];
    sender.peers.expire_loads(this->now);
    sender.table.check_health(this->now);
    this->collect(sender);
    core::peers::beacon own;
    own.name = sender.peers.name();
    own.incarnation = sender.peers.incarnation();
    own.sent_ms = this->now.count();
    own.zone = zone_name(this->zone_of(from));
    own.loads = sender.table.own_loads();
    own.evidence = sender.table.health().evidence(
        core::peers::beacon_scope::host, this->now);
    auto summary = own;
    summary.scope = core::peers::beacon_scope::zone;
    auto others = sender.peers.zone_loads();
    summary.loads.insert(summary.loads.end(), others.begin(), others.end());
    summary.evidence = sender.table.health().evidence(
        core::peers::beacon_scope::zone, this->now);
    auto to_zone = std::make_shared<const core::peers::beacon>(std::move(own));
    auto to_others =
        std::make_shared<const core::peers::beacon>(std::move(summary));
    for (std::size_t to = 0; to < this->hosts.size(); to++)
    {
        bool near = this->zone_of(from) == this->zone_of(to);
        // The first hosts lead their zones.
        if (from == to || (!near && from >= this->zones))
            continue;
        auto message = near ? to_zone : to_others;
        this->later(this->delay(from, to),
                    [this, to, message]
                    {
                        auto& receiver = *this->hosts[to];
                        if (!receiver.peers.receive(*message, this->now))
                            return;
                        receiver.table.receive_evidence(*message, this->now);
                        this->collect(receiver);
                    });
    }
}

void health_fleet::collect(host& from)
{
    for (const auto& change : from.table.health().take_changes())
    {
        const auto* found = from.table.find_by_health_key(change.endpoint);
        if (change.what == health_change::kind::ejected)
            this->ejections[std::stoul(found->id.substr(1))]++;
        if (change.what == health_change::kind::on_trial)
            this->trial_count++;
    }
}

void health_fleet::request(const fault& behaves)
{
    auto number =
        std::min(static_cast<std::size_t>(
                     this->uniform() * static_cast<double>(this->hosts.size())),
                 this->hosts.size() - 1);
    auto& at = *this->hosts[number];
    bool once_only = this->uniform() < this->once_only_share;
    auto chosen = at.table.choose_online("pool", {}, this->now, this->uniform(),
                                         !once_only);
    if (chosen.chosen == nullptr)
    {
        this->refused_count += number == this->faulty_host ? 0 : 1;
        return;
    }
    auto id = chosen.chosen->id;
    auto run =
        at.table.begin(id, core::endpoints::load_kind::online, this->now);
    this->collect(at);
    course how;
    if (behaves)
        how = behaves(std::stoul(id.substr(1)), this->zone_of(number),
                      this->uniform());
    bool shows_events =
        how.end == run_outcome::answered && how.first_event < how.time;
    for (auto event = how.first_event; shows_events && event < how.time;
         event += std::max(core::milliseconds(40), how.first_event))
        this->later(event,
                    [this, &at, run] { at.table.progress(run, this->now); });
    this->later(how.time,
                [this, &at, run, id, how, once_only]
                {
                    at.table.end(run, how.end, this->now);
                    this->collect(at);
                    if (how.end == run_outcome::answered || !once_only)
                        return;
                    this->failed++;
                    this->failed_at[id]++;
                });
}

std::size_t health_fleet::most_failed() const
{
    std::size_t most = 0;
    for (const auto& [id, count] : this->failed_at)
        most = std::max(most, count);
    return most;
}

std::size_t health_fleet::ejecting(std::size_t endpoint, int zone) const
{
    std::size_t count = 0;
    auto key = shared_health::key(name(endpoint), 1);
    for (std::size_t number = 0; number < this->hosts.size(); number++)
        if (zone < 0 || this->zone_of(number) == static_cast<std::size_t>(zone))
            count += this->hosts[number]->table.health().is_ejected(key);
    return count;
}

void health_fleet::reset_counts()
{
    this->failed = 0;
    this->trial_count = 0;
    this->refused_count = 0;
    this->failed_at.clear();
    this->ejections.clear();
}

void health_fleet::report_falsely(std::size_t host, int failures)
{
    this->faulty_host = host;
    auto& table = this->hosts[host]->table;
    for (std::size_t number = 0; number < 71; number++)
        for (int count = 0; count < failures; count++)
        {
            auto run = table.begin(
                name(number), core::endpoints::load_kind::online, this->now);
            table.end(run, run_outcome::broken, this->now);
        }
}

} // namespace amaranthhatch::tests
