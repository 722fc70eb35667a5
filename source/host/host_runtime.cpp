#include "host/host_runtime.hpp"

#include <algorithm>
#include <charconv>

#include "core/hash.hpp"
#include "host/boot_clock.hpp"
#include "host/registration.hpp"
#include "http/buffered_call.hpp"
#include "logging/event.hpp"
#include "peers/packing.hpp"

namespace amaranthhatch::host
{

namespace
{

constexpr std::size_t part_count = 3;

// A watch waits this long; keys below it change seldom, and keep-alive probes
// find a silent connection in between.
constexpr core::milliseconds watch_wait{25000};
// Loads of a host that has sent five beacons less than due are void.
constexpr core::milliseconds load_expiry{1000};
constexpr core::milliseconds peer_silence{1000};
constexpr core::milliseconds peer_forget{10000};
// A registration outlives a few failed renewals; its end only tidies up, since
// beacons say who is alive.
constexpr core::milliseconds registration_ttl{12000};
constexpr core::milliseconds renew_interval{4000};
constexpr core::milliseconds registration_retry{2000};
constexpr core::milliseconds check_interval{200};
constexpr core::milliseconds pull_limit{500};
// Entries that lapsed in an outage are back two seconds after it.
constexpr core::milliseconds lapse_grace{2300};
// An entry lapses after three silent heartbeats; two leave some margin.
constexpr int lapse_heartbeats = 2;
// Endpoints are read this many times in the time a leaving one has.
constexpr int reads_in_drain = 3;

core::milliseconds endpoint_interval(const host_settings& from)
{
    return std::min(from.heartbeat, from.drain / reads_in_drain);
}

bool is_polled(std::size_t part)
{
    return part == static_cast<std::size_t>(copied_part::endpoints);
}

std::uint64_t random_number()
{
    return static_cast<std::uint64_t>(uniform() * 9007199254740992.0) + 1;
}

} // namespace

host_runtime::host_runtime(boost::asio::io_context& loop,
                           http::async_client& client,
                           metrics::recorder& metrics,
                           store::async_store& store, host_settings settings,
                           store_layout layout, std::string disk)
    : loop(loop), client(client), metrics(metrics), store(store),
      own(std::move(settings)), layout(std::move(layout)),
      disk(std::move(disk)), start_number(random_number()),
      peer_hosts(this->own.name, this->own.zone, this->start_number,
                 {load_expiry, peer_silence, peer_forget}),
      table(this->own.zone, this->own.region_of_zone, this->peer_hosts),
      socket(
          loop, this->own.internal_address,
          {this->own.zone, this->own.region, !this->disk.empty()},
          this->peer_hosts, [this] { return this->compose(); },
          [this](const core::peers::beacon&)
          {
              for (const auto& each : this->beacon_listeners)
                  each();
          }),
      listeners(part_count), check_timer(loop), registration_timer(loop),
      pulling(part_count, false), behind_since(part_count)
{
    auto add = [this](store::mirror_options options)
    {
        this->copies.push_back(std::make_unique<store::mirror>(
            this->loop, this->store, std::move(options)));
    };
    add({this->layout.configuration_prefix,
         store::mirror_mode::watch,
         watch_wait,
         {},
         {}});
    add({this->layout.own_prefix,
         store::mirror_mode::watch,
         watch_wait,
         {},
         {}});
    add({this->layout.endpoint_prefix, store::mirror_mode::poll,
         endpoint_interval(this->own), lapse_grace,
         this->own.heartbeat * lapse_heartbeats});
    for (std::size_t part = 0; part < part_count; part++)
        this->copies[part]->on_change(
            [this, part]
            {
                for (const auto& each : this->listeners[part])
                    each();
            });
    this->on_change(copied_part::own, [this] { this->on_own_change(); });
}

void host_runtime::serve(std::string prefix, handler handle)
{
    this->handlers[std::move(prefix)] = std::move(handle);
}

void host_runtime::extend_beacon(
    std::function<void(core::peers::beacon&)> extend)
{
    this->extenders.push_back(std::move(extend));
}

void host_runtime::on_change(copied_part part, notice changed)
{
    this->listeners[static_cast<std::size_t>(part)].push_back(
        std::move(changed));
}

void host_runtime::on_beacon(notice heard)
{
    this->beacon_listeners.push_back(std::move(heard));
}

const store::mirror& host_runtime::copy(copied_part part) const
{
    return *this->copies[static_cast<std::size_t>(part)];
}

void host_runtime::start()
{
    auto limits = []
    {
        // Internal calls carry whole jobs and copies of the store.
        http::server_limits out;
        out.body_bytes = 64u << 20;
        out.idle_time = core::milliseconds(30000);
        return out;
    };
    auto handle = [this](std::shared_ptr<http::server_exchange> exchange)
    { this->answer(std::move(exchange)); };
    this->internal = std::make_unique<http::async_server>(
        this->loop, this->own.internal_address, limits, handle);
    if (!this->own.seed_address.empty())
        this->seed = std::make_unique<http::async_server>(
            this->loop, this->own.seed_address, limits, handle);
    for (const auto& each : this->copies)
        each->start();
    this->register_host();
    this->socket.start();
    this->schedule_check();
}

void host_runtime::change_settings(const host_settings& changed)
{
    this->own = changed;
    this->copies[static_cast<std::size_t>(copied_part::endpoints)]
        ->set_interval(endpoint_interval(this->own));
}

void host_runtime::leave()
{
    this->leaving = true;
    this->load_changed();
}

void host_runtime::stop()
{
    this->stopped = true;
    this->check_timer.cancel();
    this->registration_timer.cancel();
    for (const auto& each : this->copies)
        each->stop();
    this->socket.stop();
    if (this->lease != 0)
        this->store.revoke(this->lease, [](const store::lease_result&) {});
    this->internal->stop_listening();
}

core::peers::beacon host_runtime::compose()
{
    core::peers::beacon out;
    auto now = boot_now();
    out.name = this->own.name;
    out.incarnation = this->start_number;
    out.sent_ms = now.count();
    out.address = this->own.internal_address;
    out.zone = this->own.zone;
    out.region = this->own.region;
    out.disk = this->disk;
    out.leaving = this->leaving;
    out.store_unreachable =
        std::any_of(this->copies.begin(), this->copies.end(),
                    [](const auto& each) { return each->failing(); });
    // Only hosts with a disk hold leases from each other.
    if (!this->disk.empty())
        out.echoes = this->peer_hosts.disk_echoes(now);
    out.loads = this->table.own_loads();
    for (const auto& each : this->copies)
        out.copies.push_back({each->changed(), each->as_of()});
    for (const auto& extend : this->extenders)
        extend(out);
    return out;
}

void host_runtime::answer(std::shared_ptr<http::server_exchange> exchange)
{
    const auto& asked = exchange->received_request();
    if (asked.path.starts_with("/copies/"))
        return this->answer_copy(*exchange);
    if (asked.path == "/metrics")
    {
        http::header_list headers;
        headers.add("Content-Type", "text/plain; version=0.0.4");
        return exchange->respond(200, headers, this->metrics.text());
    }
    for (const auto& [prefix, handle] : this->handlers)
        if (asked.path.starts_with(prefix))
            return handle(std::move(exchange));
    exchange->respond(404, {}, "no such internal call");
}

void host_runtime::answer_copy(http::server_exchange& exchange) const
{
    constexpr std::string_view prefix = "/copies/";
    std::size_t part = part_count;
    std::string_view number(exchange.received_request().path);
    number.remove_prefix(prefix.size());
    std::from_chars(number.data(), number.data() + number.size(), part);
    if (part >= part_count)
        return exchange.respond(404, {}, "no such copy");
    std::uint64_t after = 0;
    auto text = http::query_value(exchange.received_request().query, "after");
    std::from_chars(text.data(), text.data() + text.size(), after);
    const auto& copy = *this->copies[part];
    if (copy.as_of() <= after)
        return exchange.respond(204, {}, {});
    exchange.respond(200, {}, peers::pack(copy.snapshot()));
}

void host_runtime::on_own_change()
{
    std::vector<core::peers::peer> listed;
    auto prefix = this->layout.own_prefix + "hosts/";
    const auto& entries = this->copy(copied_part::own).entries();
    for (auto at = entries.lower_bound(prefix);
         at != entries.end() && at->first.starts_with(prefix); at++)
    {
        auto registered = unpack_registration(at->second.value);
        if (!registered)
            continue;
        registered->name = at->first.substr(prefix.size());
        listed.push_back(std::move(*registered));
    }
    this->peer_hosts.set_registered(listed);
    this->load_changed();
}

void host_runtime::schedule_check()
{
    this->check_timer.expires_after(check_interval);
    this->check_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (error || this->stopped)
                return;
            this->check_copies();
            this->schedule_check();
        });
}

void host_runtime::check_copies()
{
    auto now = boot_now();
    this->peer_hosts.expire(now);
    // One host of each zone reads the store; the others take over its copies.
    bool reads = this->peer_hosts.reads_for_zone(now);
    for (std::size_t part = 0; part < part_count; part++)
    {
        // Hosts with a disk act on the placement and wait for nobody.
        bool waits_for_none = !is_polled(part) && !this->disk.empty();
        bool behind = this->behind_since[part].count() > 0 &&
                      now - this->behind_since[part] > pull_limit;
        this->copies[part]->set_active(reads || waits_for_none || behind);
        this->follow_peers(part, now);
    }
    bool knows_nothing = this->copy(copied_part::configuration).as_of() == 0;
    if (knows_nothing && this->copies[0]->failing())
        this->pull_from_seeds();
}

const core::peers::peer* host_runtime::newest_copy(std::size_t part,
                                                   core::instant now) const
{
    const auto& copy = *this->copies[part];
    const core::peers::peer* newest = nullptr;
    for (const auto& [name, peer] : this->peer_hosts.all())
    {
        if (!this->peer_hosts.alive(peer, now) ||
            peer.copies.size() != part_count)
            continue;
        // Missing a change, as on a silent connection, counts as well as a
        // store that doesn't answer. Bytes between zones are priced, so other
        // zones are asked only where nothing else helps.
        const auto& theirs = peer.copies[part];
        bool near = peer.zone == this->own.zone || copy.failing();
        bool newer = theirs.changed > copy.changed() ||
                     (copy.failing() && theirs.as_of > copy.as_of());
        if (!newer || (is_polled(part) && !near))
            continue;
        if (newest == nullptr || theirs.as_of > newest->copies[part].as_of)
            newest = &peer;
    }
    return newest;
}

void host_runtime::follow_peers(std::size_t part, core::instant now)
{
    const auto* newest = this->newest_copy(part, now);
    auto& behind = this->behind_since[part];
    if (newest == nullptr)
        behind = {};
    else if (behind.count() == 0)
        behind = now;
    if (newest != nullptr && !this->pulling[part])
        this->pull(part, newest->name, newest->address);
}

void host_runtime::pull(std::size_t part, const std::string& key,
                        const std::string& address)
{
    this->pulling[part] = true;
    http::client_request asked;
    asked.target = "/copies/" + std::to_string(part) +
                   "?after=" + std::to_string(this->copies[part]->as_of());
    asked.headers.add("Host", address);
    http::start_buffered_call(
        this->client, this->loop, key, address, asked, pull_limit,
        [this, part, key](const http::buffered_response& answer)
        {
            this->pulling[part] = false;
            bool whole = answer.result == http::call_end::complete &&
                         answer.status == 200;
            if (!whole)
                return;
            auto listing = peers::unpack_listing(answer.body);
            if (listing && this->copies[part]->adopt(*listing))
                logging::event(logging::level::info, "copy_adopted")
                    .with("part", static_cast<std::int64_t>(part))
                    .with("peer", key)
                    .with("revision",
                          static_cast<std::int64_t>(listing->revision));
        });
}

void host_runtime::pull_from_seeds()
{
    if (this->own.seeds.empty())
        return;
    const auto& seed_address =
        this->own.seeds[this->next_seed++ % this->own.seeds.size()];
    if (seed_address == this->own.seed_address)
        return;
    for (std::size_t part = 0; part < part_count; part++)
        if (!this->pulling[part])
            this->pull(part, seed_address, seed_address);
}

void host_runtime::schedule_registration(core::milliseconds after,
                                         std::function<void()> step)
{
    if (this->stopped)
        return;
    this->registration_timer.expires_after(after);
    this->registration_timer.async_wait(
        [this, step = std::move(step)](boost::system::error_code error)
        {
            if (!error && !this->stopped)
                step();
        });
}

void host_runtime::register_host()
{
    this->store.grant(registration_ttl,
                      [this](const store::lease_result& got)
                      {
                          if (got.result == store::outcome::done)
                              return this->write_registration(got.lease);
                          this->schedule_registration(
                              registration_retry,
                              [this] { this->register_host(); });
                      });
}

void host_runtime::write_registration(std::uint64_t granted)
{
    core::peers::peer self;
    self.address = this->own.internal_address;
    self.zone = this->own.zone;
    self.region = this->own.region;
    self.disk = this->disk;
    self.incarnation = this->start_number;
    auto key = this->registration_key();
    const auto* known = this->copy(copied_part::own).find(key);
    store::change wanted;
    // Without the condition a write that was given up and takes effect later
    // would bind the key to a lease that nobody renews.
    wanted.conditions.push_back({key, known == nullptr ? 0 : known->revision});
    wanted.writes.push_back({key, pack_registration(self), granted});
    this->store.commit(wanted,
                       [this, granted](const store::change_result& got)
                       {
                           if (got.result != store::outcome::done)
                               return this->schedule_registration(
                                   registration_retry,
                                   [this] { this->register_host(); });
                           this->lease = granted;
                           this->schedule_registration(renew_interval, [this]
                                                       { this->renew(); });
                       });
}

std::string host_runtime::registration_key() const
{
    return this->layout.own_prefix + "hosts/" + this->own.name;
}

bool host_runtime::registration_missing() const
{
    const auto& known = this->copy(copied_part::own);
    if (known.failing() || known.as_of() == 0)
        return false;
    const auto* entry = known.find(this->registration_key());
    auto listed =
        entry == nullptr ? std::nullopt : unpack_registration(entry->value);
    return !listed || listed->incarnation != this->start_number;
}

void host_runtime::renew()
{
    if (this->registration_missing())
    {
        logging::event(logging::level::warning, "registration_missing");
        return this->register_host();
    }
    this->store.renew(this->lease,
                      [this](const store::lease_result& got)
                      {
                          if (got.result == store::outcome::missing)
                              return this->register_host();
                          bool done = got.result == store::outcome::done;
                          this->schedule_registration(
                              done ? renew_interval : registration_retry,
                              [this] { this->renew(); });
                      });
}

} // namespace amaranthhatch::host
