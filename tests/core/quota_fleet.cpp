#include "quota_fleet.hpp"

#include <algorithm>
#include <cmath>

#include "core/hash.hpp"

namespace amaranthhatch::tests
{

namespace
{

constexpr std::size_t zone_count = 6;
// A quarter of the tokens that the bound allows beyond the burst.
constexpr double slack_tokens = 5;
constexpr core::milliseconds step{1};
// A host knows by then that it hears nobody.
constexpr core::milliseconds beacon_timeout{1000};
constexpr int ticks_per_collect = 25;

} // namespace

quota_fleet::quota_fleet(std::size_t hosts, std::vector<workspace> declared,
                         std::uint32_t seed)
    : count(hosts), table(std::move(declared)), random(seed)
{
    for (std::size_t host = 0; host < hosts; host++)
        this->names.push_back(this->name_of(host));
    for (std::size_t host = 0; host < hosts; host++)
        this->hosts.push_back(this->make(host));
}

std::string quota_fleet::name_of(std::size_t host) const
{
    return "entry-" + std::to_string(host);
}

std::size_t quota_fleet::index_of(const std::string& name) const
{
    return std::stoul(name.substr(name.find('-') + 1));
}

double quota_fleet::uniform()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random);
}

std::unique_ptr<core::quotas::quota_service> quota_fleet::make(std::size_t host)
{
    auto made = std::make_unique<core::quotas::quota_service>(
        this->name_of(host), this->incarnations++, slack_tokens);
    made->set_hosts(this->names);
    made->apply(this->table, this->now);
    return made;
}

// Three zones to a region.
core::milliseconds quota_fleet::delay(std::size_t from, std::size_t to)
{
    auto first = from % zone_count;
    auto second = to % zone_count;
    int base = first == second ? 1 : first / 3 == second / 3 ? 3 : 22;
    return core::milliseconds(base + static_cast<int>(this->uniform() * 3));
}

bool quota_fleet::reaches(std::size_t from, std::size_t to) const
{
    return from == to ||
           (!this->isolated.contains(from) && !this->isolated.contains(to));
}

void quota_fleet::post(std::size_t from, std::size_t to,
                       std::function<void()> deliver)
{
    this->messages++;
    if (!this->reaches(from, to) || this->uniform() < this->loss)
        return;
    this->queue.push({this->now + this->delay(from, to), this->next_delivery++,
                      std::move(deliver)});
}

void quota_fleet::collect(std::size_t host)
{
    auto& service = this->hosts[host];
    if (!service)
        return;
    auto out = service->collect(this->now);
    for (auto& [name, message] : out.reports)
    {
        auto to = this->index_of(name);
        this->post(host, to,
                   [this, host, to, message = std::move(message)]
                   {
                       if (!this->hosts[to])
                           return;
                       auto answer =
                           this->hosts[to]->receive(message, this->now);
                       this->post(to, host,
                                  [this, host, answer]
                                  {
                                      if (this->hosts[host])
                                          this->hosts[host]->receive(answer,
                                                                     this->now);
                                  });
                   });
    }
    for (auto& [name, message] : out.states)
    {
        auto to = this->index_of(name);
        this->post(host, to,
                   [this, to, message = std::move(message)]
                   {
                       if (this->hosts[to])
                           this->hosts[to]->receive(message, this->now);
                   });
    }
}

void quota_fleet::load(const std::string& name, double per_second,
                       std::vector<double> weights)
{
    auto& added = this->streams[name];
    added.per_second = per_second;
    added.weights = std::move(weights);
    added.next_at_ms = static_cast<double>(this->now.count()) -
                       std::log(1 - this->uniform()) * 1000 / per_second;
}

void quota_fleet::ask(const std::string& name, const stream& from)
{
    std::vector<double> weights(this->count, 1);
    if (!from.weights.empty())
        weights = from.weights;
    for (std::size_t host = 0; host < this->count; host++)
        if (!this->hosts[host])
            weights[host] = 0;
    std::discrete_distribution<std::size_t> draw(weights.begin(),
                                                 weights.end());
    auto host = draw(this->random);
    this->asks[name].push_back(this->now);
    auto decision = this->hosts[host]->admit(*this->table.find(name), this->now,
                                             this->uniform());
    if (decision.admitted)
        this->admissions[name].push_back(this->now);
    this->collect(host);
}

void quota_fleet::run(core::milliseconds time)
{
    auto end = this->now + time;
    for (; this->now < end; this->now += step)
    {
        while (!this->queue.empty() && this->queue.top().at <= this->now)
        {
            auto deliver = this->queue.top().deliver;
            this->queue.pop();
            deliver();
        }
        for (auto& [name, from] : this->streams)
            while (from.per_second > 0 &&
                   from.next_at_ms <= static_cast<double>(this->now.count()))
            {
                this->ask(name, from);
                from.next_at_ms -=
                    std::log(1 - this->uniform()) * 1000 / from.per_second;
            }
        if (this->now == this->cut_at + beacon_timeout)
            for (auto host : this->isolated)
                this->hosts[host]->set_connected(false);
        for (std::size_t host = 0; host < this->count; host++)
            if (static_cast<std::size_t>(this->now.count()) %
                        ticks_per_collect ==
                    host % ticks_per_collect &&
                this->hosts[host] && this->hosts[host]->active(this->now))
                this->collect(host);
    }
}

void quota_fleet::declare(std::vector<workspace> changed)
{
    this->table = core::workspaces::workspace_table(std::move(changed));
    for (auto& host : this->hosts)
        if (host)
            host->apply(this->table, this->now);
}

void quota_fleet::kill(const std::vector<std::size_t>& which)
{
    for (auto host : which)
        this->hosts[host].reset();
}

void quota_fleet::restart(const std::vector<std::size_t>& which)
{
    for (auto host : which)
        this->hosts[host] = this->make(host);
}

void quota_fleet::cut(const std::vector<std::size_t>& which)
{
    this->isolated.insert(which.begin(), which.end());
    this->cut_at = this->now;
}

void quota_fleet::heal()
{
    for (auto host : this->isolated)
        this->hosts[host]->set_connected(true);
    this->isolated.clear();
}

std::size_t quota_fleet::owner_of(const std::string& name) const
{
    auto key = core::hash(name);
    std::size_t best = 0;
    for (std::size_t host = 1; host < this->count; host++)
        if (core::hash(this->names[host], key) >
            core::hash(this->names[best], key))
            best = host;
    return best;
}

std::size_t quota_fleet::asked(const std::string& name) const
{
    auto found = this->asks.find(name);
    return found == this->asks.end() ? 0 : found->second.size();
}

std::size_t quota_fleet::admitted(const std::string& name) const
{
    auto found = this->admissions.find(name);
    return found == this->admissions.end() ? 0 : found->second.size();
}

std::size_t quota_fleet::admitted_since(const std::string& name,
                                        core::instant since) const
{
    const auto& all = this->admissions.at(name);
    return static_cast<std::size_t>(
        all.end() - std::lower_bound(all.begin(), all.end(), since));
}

std::size_t
quota_fleet::exactly_refused(const std::string& name,
                             core::workspaces::rate_limit limit) const
{
    constexpr double ms_per_s = 1000;
    double tokens = limit.burst;
    std::size_t refused = 0;
    auto last = this->asks.at(name).front();
    for (auto at : this->asks.at(name))
    {
        tokens = std::min(
            limit.burst, tokens + limit.per_second *
                                      static_cast<double>((at - last).count()) /
                                      ms_per_s);
        last = at;
        bool admitted = tokens >= 1;
        tokens -= admitted ? 1 : 0;
        refused += admitted ? 0 : 1;
    }
    return refused;
}

double quota_fleet::over_bound(const std::string& name,
                               core::workspaces::rate_limit limit) const
{
    constexpr double ms_per_s = 1000;
    bound allowed;
    double most = (limit.per_second *
                       static_cast<double>(allowed.window.count()) / ms_per_s +
                   limit.burst) *
                      (1 + allowed.overshoot) +
                  allowed.slack;
    const auto& all = this->admissions.at(name);
    double worst = -most;
    std::size_t first = 0;
    for (std::size_t last = 0; last < all.size(); last++)
    {
        while (all[last] - all[first] >= allowed.window)
            first++;
        worst = std::max(worst, static_cast<double>(last - first + 1) - most);
    }
    return worst;
}

} // namespace amaranthhatch::tests
