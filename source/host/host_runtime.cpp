#include "host/host_runtime.hpp"

#include <algorithm>
#include <charconv>

#include "core/hash.hpp"
#include "errors/contain.hpp"
#include "host/boot_clock.hpp"
#include "host/graceful_stop.hpp"
#include "host/registration.hpp"
#include "http/buffered_call.hpp"
#include "http/descriptor_limit.hpp"
#include "logging/event.hpp"
#include "peers/packing.hpp"

namespace amaranthhatch::host
{

namespace
{

constexpr std::size_t part_count = 4;
constexpr std::string_view hosts_key = "hosts";

// Longest wait of one watch call. The watched keys change seldom, and TCP
// keep-alive probes detect a dead connection in the meantime.
constexpr core::milliseconds watch_wait{25000};
// Loads of a host are ignored after the time of five missed beacons.
constexpr core::milliseconds load_expiry{1000};
constexpr core::milliseconds peer_timeout{1000};
constexpr core::milliseconds peer_removal{10000};
// A registration survives a few failed renewals. Its expiry only cleans up the
// store, since liveness is derived from beacons.
constexpr core::milliseconds registration_ttl{12000};
constexpr core::milliseconds renew_interval{4000};
constexpr core::milliseconds registration_retry{2000};
constexpr core::milliseconds check_interval{200};
constexpr core::milliseconds pull_timeout{500};
// Time between two fetches of a peer's copy, per host of the zone: the host
// that reads for it serves at most 100 a second for each part.
constexpr core::milliseconds pull_interval_per_host{10};
// Registrations change all at once when many hosts start. 300 of them are read
// again at most three times a second, a few at once.
constexpr core::milliseconds hosts_pause_per_entry{1};
// After an outage of the store, endpoints write their expired entries again
// within two seconds; mirrors retain these entries slightly longer.
constexpr core::milliseconds expiry_grace{2300};
// An endpoint's entry expires after three missed heartbeats. Mirrors assume
// that entries may have expired after an outage of two, which leaves some
// margin.
constexpr int expiry_heartbeats = 2;
// The registration of an endpoint that has crashed is gone by then: it expires
// after three heartbeats, and the next list call shows that.
constexpr int crash_heartbeats = 5;
// An endpoint's entry takes some hundred bytes, more if it names many models;
// all hosts of a zone fetch copies of all entries.
constexpr std::size_t endpoint_value_limit = 128u << 10;
// Longest copy of a part that is read. The endpoints' entries of thousands of
// endpoints take a few megabytes.
constexpr std::size_t copy_limit_bytes = 16u << 20;
// Number of reads of the endpoint entries within the drain time, in which hosts
// have to notice that an endpoint leaves.
constexpr int reads_in_drain = 3;

core::milliseconds endpoint_interval(const host_settings& settings)
{
    return std::min(settings.heartbeat, settings.drain / reads_in_drain);
}

bool is(std::size_t part, mirrored_part which)
{
    return part == static_cast<std::size_t>(which);
}

// True for the parts that change often or are long. They are fetched from hosts
// of the own zone only, as traffic between zones is billed.
bool stays_in_zone(std::size_t part)
{
    return is(part, mirrored_part::endpoints) || is(part, mirrored_part::hosts);
}

std::uint64_t random_number()
{
    return static_cast<std::uint64_t>(uniform() * 9007199254740992.0) + 1;
}

// All responses together may take as much memory as a few of the longest.
std::size_t response_budget_bytes(const host_settings& settings)
{
    constexpr std::size_t longest_responses = 2;
    return settings.response_bytes * longest_responses;
}

// Shares of the memory for what is received: from callers, and from other
// hosts, whose calls carry whole jobs and copies of the store.
constexpr std::size_t caller_memory_share = 8;
constexpr std::size_t internal_memory_share = 4;
// Longest body of an internal call, where memory allows.
constexpr std::size_t internal_body_bytes = 64u << 20;
// Shares of the descriptors: a half for callers, an eighth for other hosts, and
// a small number for each of readiness checks and seeds. The rest stays for
// calls to endpoints, peers and the store, and for the disk.
constexpr std::size_t caller_descriptor_share = 2;
constexpr std::size_t internal_descriptor_share = 8;
constexpr std::size_t minor_descriptor_share = 32;

std::size_t caller_budget_bytes(const host_settings& settings)
{
    return settings.memory_bytes / caller_memory_share;
}

std::size_t internal_budget_bytes(const host_settings& settings)
{
    return settings.memory_bytes / internal_memory_share;
}

} // namespace

host_runtime::host_runtime(boost::asio::io_context& loop,
                           http::async_client& client,
                           metrics::recorder& metrics,
                           store::async_store& store, host_settings settings,
                           store_layout layout, std::string disk_id)
    : loop(loop), client(client), metrics(metrics), store(store),
      current_settings(std::move(settings)),
      responses(std::make_shared<http::response_budget>(
          loop, response_budget_bytes(this->current_settings))),
      caller_requests(std::make_shared<http::request_budget>(
          caller_budget_bytes(this->current_settings))),
      internal_requests(std::make_shared<http::request_budget>(
          internal_budget_bytes(this->current_settings))),
      layout(std::move(layout)), disk_id(std::move(disk_id)),
      own_incarnation(random_number()),
      peer_hosts(this->current_settings.name, this->current_settings.zone,
                 this->own_incarnation,
                 {load_expiry, peer_timeout, peer_removal}, this->capacity()),
      table(this->current_settings.zone, this->current_settings.region_of_zone,
            this->peer_hosts),
      prompt_quarantine(metrics),
      quarantined_parts(store, this->prompt_quarantine,
                        this->quarantine_prefix()),
      trial_claims(store, this->prompt_quarantine, this->trials_prefix(),
                   this->claim_holder()),
      socket(
          loop, this->current_settings.internal_address,
          {this->current_settings.zone, this->current_settings.region,
           !this->disk_id.empty()},
          this->peer_hosts, [this] { return this->compose_beacon(); },
          [this](const core::peers::beacon& received)
          {
              this->prompt_quarantine.receive(received);
              this->shared_endpoint_health.receive(received);
              this->record_confirmation(received);
              for (const auto& callback : this->beacon_listeners)
                  callback();
          }),
      shared_endpoint_health(this->table, this->peer_hosts, this->socket,
                             metrics),
      request_quotas(loop, this->current_settings.name, this->own_incarnation,
                     this->socket, this->peer_hosts, metrics),
      listeners(part_count), check_timer(loop), registration_timer(loop),
      pulling(part_count, false), last_pull(part_count),
      behind_since(part_count)
{
    this->socket.set_endpoints(this->table);
    this->request_quotas.set_slack(this->current_settings.quota_slack);
    auto add_mirror = [this](store::mirror_options options)
    {
        this->mirrors.push_back(std::make_unique<store::mirror>(
            this->loop, this->store, std::move(options)));
    };
    add_mirror({this->layout.configuration_prefix,
                store::mirror_mode::watch,
                this->configuration_interval(),
                {},
                {},
                {}});
    // One watch serves the registrations and the quarantined parts.
    add_mirror({this->layout.system_prefix + std::string(hosts_key),
                store::mirror_mode::watch,
                watch_wait,
                {},
                {},
                hosts_pause_per_entry});
    add_mirror({this->placement_key(),
                store::mirror_mode::watch,
                watch_wait,
                {},
                {},
                {}});
    add_mirror({this->layout.endpoint_prefix,
                store::mirror_mode::poll,
                endpoint_interval(this->current_settings),
                expiry_grace,
                this->current_settings.heartbeat * expiry_heartbeats,
                {},
                endpoint_value_limit});
    for (std::size_t part = 0; part < part_count; part++)
        this->mirrors[part]->on_change(
            [this, part]
            {
                for (const auto& callback : this->listeners[part])
                    callback();
            });
    this->on_change(mirrored_part::hosts, [this] { this->on_hosts_change(); });
}

void host_runtime::serve(std::string prefix, handler handle)
{
    this->handlers[std::move(prefix)] = std::move(handle);
}

void host_runtime::extend_beacon(
    std::function<void(core::peers::beacon&)> extend)
{
    this->beacon_extenders.push_back(std::move(extend));
}

void host_runtime::on_change(mirrored_part part, change_callback changed)
{
    this->listeners[static_cast<std::size_t>(part)].push_back(
        std::move(changed));
}

void host_runtime::on_beacon(change_callback callback)
{
    this->beacon_listeners.push_back(std::move(callback));
}

const store::mirror& host_runtime::mirror_of(mirrored_part part) const
{
    return *this->mirrors[static_cast<std::size_t>(part)];
}

http::server_bounds
host_runtime::bounds(std::shared_ptr<http::request_budget> requests,
                     std::size_t descriptor_share)
{
    http::server_bounds out;
    out.requests = std::move(requests);
    out.connections =
        http::descriptor_limit(this->current_settings.max_descriptors) /
        descriptor_share;
    out.refused = [this](std::string_view reason, std::string_view peer)
    {
        this->metrics.count("hatch_callers_refused_total", "reason", reason);
        logging::event(logging::level::warning, "caller_refused")
            .with("step", "receive request")
            .with("peer", peer)
            .with("reason", reason);
    };
    return out;
}

http::server_bounds host_runtime::caller_bounds()
{
    return this->bounds(this->caller_requests, caller_descriptor_share);
}

http::server_bounds host_runtime::minor_port_bounds()
{
    return this->bounds(this->caller_requests, minor_descriptor_share);
}

void host_runtime::start()
{
    auto internal_limits = [this]
    {
        // Bodies of internal calls hold complete jobs and copies of the store.
        http::server_limits limits;
        limits.body_bytes = std::min(
            internal_body_bytes, internal_budget_bytes(this->current_settings));
        limits.idle_time = core::milliseconds(30000);
        return limits;
    };
    auto handle = [this](std::shared_ptr<http::server_exchange> exchange)
    { this->handle_internal_call(std::move(exchange)); };
    this->internal_server = std::make_unique<http::async_server>(
        this->loop, this->current_settings.internal_address, internal_limits,
        handle, nullptr,
        this->bounds(this->internal_requests, internal_descriptor_share));
    if (!this->current_settings.seed_address.empty())
        this->seed_server = std::make_unique<http::async_server>(
            this->loop, this->current_settings.seed_address, internal_limits,
            handle, nullptr,
            this->bounds(this->internal_requests, minor_descriptor_share));
    for (const auto& mirror : this->mirrors)
        mirror->start();
    this->register_host();
    this->socket.start();
    this->schedule_check();
}

void host_runtime::change_settings(const host_settings& changed)
{
    this->current_settings = changed;
    this->request_quotas.set_slack(changed.quota_slack);
    this->responses->set_limit(response_budget_bytes(changed));
    this->caller_requests->set_limit(caller_budget_bytes(changed));
    this->internal_requests->set_limit(internal_budget_bytes(changed));
    this->mirrors[static_cast<std::size_t>(mirrored_part::endpoints)]
        ->set_interval(endpoint_interval(this->current_settings));
    this->mirrors[static_cast<std::size_t>(mirrored_part::configuration)]
        ->set_interval(this->configuration_interval());
}

// A host that fails closed has to hear of the store within the revocation
// limit, also where no configuration is written.
core::milliseconds host_runtime::configuration_interval() const
{
    constexpr int reads_in_limit = 4;
    if (!this->current_settings.fail_closed)
        return watch_wait;
    return std::min(watch_wait,
                    this->current_settings.revocation_limit / reads_in_limit);
}

std::optional<core::milliseconds> host_runtime::configuration_age() const
{
    auto confirmed = this->mirror_of(mirrored_part::configuration).confirmed();
    if (!confirmed ||
        (this->confirmed_by_peers && *this->confirmed_by_peers > *confirmed))
        confirmed = this->confirmed_by_peers;
    if (!confirmed)
        return std::nullopt;
    return boot_now() - *confirmed;
}

// What the store confirmed to another host holds here if this host's copy has
// every change of that one's.
void host_runtime::record_confirmation(const core::peers::beacon& received)
{
    constexpr auto part =
        static_cast<std::size_t>(mirrored_part::configuration);
    if (received.configuration_age.count() < 0 ||
        received.copies.size() != part_count ||
        received.copies[part].changed > this->mirrors[part]->changed())
        return;
    auto confirmed = boot_now() - received.configuration_age;
    if (!this->confirmed_by_peers || confirmed > *this->confirmed_by_peers)
        this->confirmed_by_peers = confirmed;
}

void host_runtime::leave()
{
    this->leaving = true;
    this->leaving_since = boot_now();
    this->load_changed();
}

std::optional<core::milliseconds> host_runtime::time_until_stop() const
{
    if (!this->leaving)
        return std::nullopt;
    return graceful_stop::request_time(this->current_settings.grace) -
           (boot_now() - this->leaving_since);
}

void host_runtime::stop()
{
    this->stopped = true;
    this->check_timer.cancel();
    this->registration_timer.cancel();
    for (const auto& mirror : this->mirrors)
        mirror->stop();
    this->request_quotas.stop();
    this->socket.stop();
    if (this->lease != 0)
        this->store.revoke(this->lease, [](const store::lease_result&) {});
    this->internal_server->stop_listening();
}

core::peers::beacon host_runtime::compose_beacon()
{
    core::peers::beacon beacon;
    auto now = boot_now();
    beacon.name = this->current_settings.name;
    beacon.incarnation = this->own_incarnation;
    beacon.sent_ms = now.count();
    beacon.address = this->current_settings.internal_address;
    beacon.zone = this->current_settings.zone;
    beacon.region = this->current_settings.region;
    beacon.disk = this->disk_id;
    beacon.capacity = this->capacity();
    beacon.leaving = this->leaving;
    beacon.store_unreachable =
        std::any_of(this->mirrors.begin(), this->mirrors.end(),
                    [](const auto& mirror) { return mirror->failing(); });
    if (this->current_settings.fail_closed)
        beacon.configuration_age =
            this->configuration_age().value_or(core::milliseconds(-1));
    // An echo of another host's beacon grants that host a lease; only hosts
    // with a disk use leases.
    if (!this->disk_id.empty())
        beacon.echoes = this->peer_hosts.disk_echoes(now);
    beacon.loads = this->table.own_loads();
    for (const auto& mirror : this->mirrors)
        beacon.copies.push_back({mirror->changed(), mirror->as_of()});
    this->prompt_quarantine.add_to(beacon);
    this->shared_endpoint_health.add_to(beacon);
    for (const auto& extend : this->beacon_extenders)
        extend(beacon);
    return beacon;
}

void host_runtime::handle_internal_call(
    std::shared_ptr<http::server_exchange> exchange)
{
    const auto& request = exchange->received_request();
    if (request.path.starts_with("/copies/"))
        return this->respond_with_copy(*exchange);
    if (request.path == "/metrics")
    {
        http::header_list headers;
        headers.add("Content-Type", "text/plain; version=0.0.4");
        return exchange->respond(200, headers, this->metrics.text());
    }
    for (const auto& [prefix, handle] : this->handlers)
        if (request.path.starts_with(prefix))
            return handle(std::move(exchange));
    exchange->respond(404, {}, "no such internal call");
}

void host_runtime::respond_with_copy(http::server_exchange& exchange) const
{
    constexpr std::string_view prefix = "/copies/";
    std::size_t part = part_count;
    std::string_view number(exchange.received_request().path);
    number.remove_prefix(prefix.size());
    std::from_chars(number.data(), number.data() + number.size(), part);
    if (part >= part_count)
        return exchange.respond(404, {}, "no such copy");
    std::uint64_t after_revision = 0;
    auto after_text =
        http::query_value(exchange.received_request().query, "after");
    std::from_chars(after_text.data(), after_text.data() + after_text.size(),
                    after_revision);
    const auto& mirror = *this->mirrors[part];
    if (mirror.as_of() <= after_revision)
        return exchange.respond(204, {}, {});
    // Hosts of earlier versions would take changes for a complete copy.
    bool takes_changes =
        !http::query_value(exchange.received_request().query, "changes")
             .empty();
    exchange.respond(200, {},
                     peers::pack(takes_changes
                                     ? mirror.changes_since(after_revision)
                                     : mirror.snapshot()));
}

std::string host_runtime::hosts_prefix() const
{
    return this->layout.system_prefix + std::string(hosts_key) + "/";
}

std::string host_runtime::quarantine_prefix() const
{
    return this->layout.system_prefix + std::string(hosts_key) + "-quarantine/";
}

std::string host_runtime::trials_prefix() const
{
    return this->layout.system_prefix + std::string(hosts_key) + "-trials/";
}

// A process that was restarted hasn't the trials of the one before it.
std::string host_runtime::claim_holder() const
{
    return this->current_settings.name + "/" +
           std::to_string(this->own_incarnation);
}

std::string host_runtime::placement_key() const
{
    return this->layout.system_prefix + "placement";
}

// Hosts with a disk have jobs to run, so they relay only where no other does.
std::uint32_t host_runtime::capacity() const
{
    return this->disk_id.empty() ? this->current_settings.capacity : 0;
}

void host_runtime::on_hosts_change()
{
    std::vector<core::peers::peer> listed;
    auto prefix = this->hosts_prefix();
    for (const auto& [key, entry] :
         this->mirror_of(mirrored_part::hosts).entries())
    {
        this->quarantined_parts.load(entry);
        if (!key.starts_with(prefix))
            continue;
        auto registered = unpack_registration(entry.value);
        if (!registered)
            continue;
        registered->name = key.substr(prefix.size());
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
            errors::contain("check the copies of the store",
                            [this] { this->check_mirrors(); });
            this->schedule_check();
        });
}

void host_runtime::check_mirrors()
{
    auto now = boot_now();
    this->peer_hosts.expire(now);
    this->prompt_quarantine.check();
    this->shared_endpoint_health.check();
    const auto& listed = this->mirror_of(mirrored_part::hosts);
    this->trial_claims.check(listed);
    if (this->peer_hosts.leads_zone(now))
    {
        this->quarantined_parts.save(listed);
        this->trial_claims.remove_unneeded(listed);
    }
    // One host of each zone reads the store; the others fetch its copies.
    bool reads_store = this->peer_hosts.reads_for_zone(now);
    for (std::size_t part = 0; part < part_count; part++)
    {
        // Hosts with a disk act on the placement, so they read it themselves.
        bool always_reads = !stays_in_zone(part) && !this->disk_id.empty();
        bool behind = this->behind_since[part].count() > 0 &&
                      now - this->behind_since[part] >
                          pull_timeout + 2 * this->pull_interval(now);
        this->mirrors[part]->set_active(reads_store || always_reads || behind);
        this->follow_peers(part, now);
    }
    this->clear_unfounded_crashes();
    bool has_no_configuration =
        this->mirror_of(mirrored_part::configuration).as_of() == 0;
    if (has_no_configuration && this->mirrors[0]->failing())
        this->pull_from_seeds();
}

// While the store is away, registrations of crashed endpoints may stay, so the
// time for which they outlast a crash begins anew after it.
void host_runtime::clear_unfounded_crashes()
{
    const auto& reads = this->mirror_of(mirrored_part::endpoints).reads();
    auto expiry = this->current_settings.heartbeat * crash_heartbeats;
    if (reads && reads->last - expiry >= reads->first)
        this->prompt_quarantine.clear_registered(reads->last - expiry);
}

const core::peers::peer* host_runtime::newest_copy(std::size_t part,
                                                   core::instant now) const
{
    const auto& mirror = *this->mirrors[part];
    const core::peers::peer* newest = nullptr;
    for (const auto& [name, peer] : this->peer_hosts.all())
    {
        if (!this->peer_hosts.alive(peer, now) ||
            peer.copies.size() != part_count)
            continue;
        // A peer's copy is fetched if it has a change that this host missed,
        // as on a dead connection, or if the store can't be reached.
        const auto& peer_copy = peer.copies[part];
        bool zone_allowed =
            peer.zone == this->current_settings.zone || mirror.failing();
        bool newer = peer_copy.changed > mirror.changed() ||
                     (mirror.failing() && peer_copy.as_of > mirror.as_of());
        if (!newer || (stays_in_zone(part) && !zone_allowed))
            continue;
        if (newest == nullptr || peer_copy.as_of > newest->copies[part].as_of)
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
    bool due = now - this->last_pull[part] >= this->pull_interval(now);
    if (newest != nullptr && !this->pulling[part] &&
        (due || !stays_in_zone(part)))
        this->pull(part, newest->name, newest->address);
}

core::milliseconds host_runtime::pull_interval(core::instant now) const
{
    return pull_interval_per_host *
           static_cast<int>(this->peer_hosts.zone_size(now));
}

void host_runtime::pull(std::size_t part, const std::string& peer_name,
                        const std::string& address)
{
    this->pulling[part] = true;
    this->last_pull[part] = boot_now();
    http::client_request request;
    request.target = "/copies/" + std::to_string(part) +
                     "?after=" + std::to_string(this->mirrors[part]->as_of()) +
                     "&changes=1";
    request.headers.add("Host", address);
    request.body_limit = copy_limit_bytes;
    http::start_buffered_call(
        this->client, this->loop, peer_name, address, request, pull_timeout,
        [this, part, peer_name](const http::buffered_response& response)
        {
            this->pulling[part] = false;
            bool complete = response.result == http::call_end::complete &&
                            response.status == 200;
            if (response.result == http::call_end::broken)
                this->record_broken_answer("copy", peer_name, response.detail);
            if (!complete)
                return;
            auto listing = peers::unpack_listing(response.body);
            if (listing && this->mirrors[part]->adopt(*listing))
                logging::event(logging::level::info, "copy_adopted")
                    .with("part", static_cast<std::int64_t>(part))
                    .with("peer", peer_name)
                    .with("revision",
                          static_cast<std::int64_t>(listing->revision));
        });
}

void host_runtime::record_broken_answer(std::string_view step,
                                        std::string_view peer_name,
                                        std::string_view detail)
{
    this->metrics.count("hatch_broken_answers_total", "step", step);
    logging::event(logging::level::warning, "answer_broken")
        .with("step", step)
        .with("peer", peer_name)
        .with("detail", detail);
}

void host_runtime::pull_from_seeds()
{
    if (this->current_settings.seeds.empty())
        return;
    const auto& seed_address =
        this->current_settings
            .seeds[this->next_seed++ % this->current_settings.seeds.size()];
    if (seed_address == this->current_settings.seed_address)
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
                      [this](const store::lease_result& response)
                      {
                          if (response.result == store::outcome::done)
                              return this->write_registration(response.lease);
                          this->schedule_registration(
                              registration_retry,
                              [this] { this->register_host(); });
                      });
}

void host_runtime::write_registration(std::uint64_t granted)
{
    core::peers::peer self;
    self.address = this->current_settings.internal_address;
    self.zone = this->current_settings.zone;
    self.region = this->current_settings.region;
    self.disk = this->disk_id;
    self.capacity = this->capacity();
    self.incarnation = this->own_incarnation;
    auto key = this->registration_key();
    const auto* entry = this->mirror_of(mirrored_part::hosts).find(key);
    store::change change;
    // Without the condition, a write that timed out here and takes effect
    // later would bind the key to a lease that no process renews.
    change.conditions.push_back({key, entry == nullptr ? 0 : entry->revision});
    change.writes.push_back({key, pack_registration(self), granted});
    this->store.commit(change,
                       [this, granted](const store::change_result& response)
                       {
                           if (response.result != store::outcome::done)
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
    return this->hosts_prefix() + this->current_settings.name;
}

bool host_runtime::registration_missing() const
{
    const auto& mirror = this->mirror_of(mirrored_part::hosts);
    if (mirror.failing() || mirror.as_of() == 0)
        return false;
    const auto* entry = mirror.find(this->registration_key());
    auto registered =
        entry == nullptr ? std::nullopt : unpack_registration(entry->value);
    return !registered || registered->incarnation != this->own_incarnation;
}

void host_runtime::renew()
{
    if (this->registration_missing())
    {
        logging::event(logging::level::warning, "registration_missing");
        return this->register_host();
    }
    this->store.renew(this->lease,
                      [this](const store::lease_result& response)
                      {
                          if (response.result == store::outcome::missing)
                              return this->register_host();
                          bool done = response.result == store::outcome::done;
                          this->schedule_registration(
                              done ? renew_interval : registration_retry,
                              [this] { this->renew(); });
                      });
}

} // namespace amaranthhatch::host
