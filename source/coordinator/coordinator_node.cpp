#include "coordinator/coordinator_node.hpp"

#include <algorithm>
#include <future>

#include "core/members/rendezvous.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::coordinator
{

namespace
{

namespace messages = core::messages;

using messages::message_kind;

constexpr core::milliseconds probe_interval{300};
constexpr core::milliseconds tick_interval{50};
constexpr core::milliseconds slow_tick_interval{200};
constexpr core::milliseconds hosts_interval{1000};
constexpr core::milliseconds fetch_limit{1000};
constexpr core::milliseconds join_delay{1500};
constexpr core::milliseconds leave_time{300};
constexpr std::size_t watchers_per_zone = 2;
constexpr unsigned probe_threads = 4;
constexpr std::size_t probe_queue_limit = 64;
constexpr std::uint32_t probe_tokens = 4;
constexpr core::milliseconds probe_limit{1500};

// Waiting slot requests never take all of these, so that probes and claims
// always find room.
constexpr unsigned open_requests = 640;

messages::member own_member(const coordinator_settings& settings,
                            const std::string& boot)
{
    messages::member self;
    self.name = settings.node.name;
    self.zone = settings.node.zone;
    self.region = settings.node.region;
    self.address = settings.listen;
    self.process_role = messages::role::coordinator;
    // A restarted process must be believed over the news of its own death.
    self.incarnation = static_cast<std::uint64_t>(control::unix_now_ms());
    self.start_id = boot;
    return self;
}

} // namespace

const coordinator_node::route coordinator_node::routes[] = {
    {message_kind::ping, &coordinator_node::on_ping},
    {message_kind::ping_request, &coordinator_node::on_ping_request},
    {message_kind::view_request, &coordinator_node::on_view_request},
    {message_kind::configuration_request,
     &coordinator_node::on_configuration_request},
    {message_kind::status_request, &coordinator_node::on_status_request},
    {message_kind::want_slot, &coordinator_node::on_want_slot},
    {message_kind::slot_report, &coordinator_node::on_slot_report},
    {message_kind::await_preemption, &coordinator_node::on_await_yield},
    {message_kind::endpoints_request, &coordinator_node::on_endpoints_request},
};

coordinator_settings read_settings(settings::document& from)
{
    coordinator_settings read;
    read.node = process::read_node(from);
    read.listen = from.address("coordinator.listen");
    read.metrics = from.address("coordinator.metrics");
    read.peers = from.addresses("coordinator.peers");
    read.store = from.address("store.address");
    read.hosts = from.address("hosts.address");
    read.slots.queue_limit = static_cast<std::size_t>(
        from.number_or("slots.queue_limit", 384, {1, 512}));
    read.slots.concurrency.initial = static_cast<std::uint32_t>(
        from.number_or("slots.initial_concurrency", 16, {1, 1024}));
    read.slots.concurrency.max = static_cast<std::uint32_t>(
        from.number_or("slots.most_concurrency", 256, {1, 4096}));
    std::string order = from.text_or("slots.order", "short_first");
    read.slots.order = core::slots::find_queue_order(order);
    if (read.slots.order == nullptr)
        from.refuse("slots.order", "must be \"short_first\" or \"first_come\"");
    from.finish();
    return read;
}

coordinator_node::coordinator_node(coordinator_settings settings,
                                   adapters::key_value_store& store,
                                   adapters::host_list& hosts,
                                   adapters::model_engine& engine,
                                   metrics::registry& metrics,
                                   net::rpc_client& peers)
    : settings(std::move(settings)), boot(process::random_text()), store(store),
      hosts(hosts), engine(engine), metrics(metrics), peers(peers),
      members(
          core::members::member_table(own_member(this->settings, this->boot),
                                      {}, process::random_number()),
          this->settings.peers, this->loop, peers, metrics,
          [this](const std::string& address) { this->fetch_newer(address); }),
      slots(
          this->settings.slots, metrics,
          [this](const std::string& group, const core::slots::slot_probe& probe)
          { this->probe_endpoint(group, probe); }),
      watcher(store, *this), probes(probe_threads, probe_queue_limit)
{
    this->loop.run_every(probe_interval, [this] { this->members.probe(); });
    this->loop.run_every(tick_interval, [this]
                         { this->slots.tick(control::monotonic_now()); });
    this->loop.run_every(slow_tick_interval,
                         [this]
                         {
                             auto now = control::monotonic_now();
                             this->members.tick(now);
                             this->choose_watchers();
                             this->metrics.set(
                                 "hatch_control_bytes",
                                 static_cast<double>(this->peers.bytes() +
                                                     this->server_bytes()));
                         });
}

coordinator_node::~coordinator_node()
{
    this->stopping = true;
    if (this->hosts_thread.joinable())
        this->hosts_thread.join();
    this->loop.stop();
}

void coordinator_node::start()
{
    this->loop.start();
    this->server = std::make_unique<net::rpc_server>(
        this->settings.listen, open_requests,
        [this](std::string_view frame, net::reply_handle reply)
        { this->received(frame, std::move(reply)); });
    this->watcher.start();
    this->hosts_thread = std::thread([this] { this->poll_hosts(); });
    logging::event(logging::level::info, "started")
        .with("listen", this->settings.listen);
}

std::uint64_t coordinator_node::server_bytes() const
{
    return this->server == nullptr ? 0 : this->server->bytes();
}

void coordinator_node::drain()
{
    logging::event(logging::level::info, "draining");
    this->loop.post([this] { this->members.leave(); });
    std::this_thread::sleep_for(leave_time);
}

void coordinator_node::received(std::string_view frame, net::reply_handle reply)
{
    // The handle is shared, since std::function needs copyable work.
    auto held = std::make_shared<net::reply_handle>(std::move(reply));
    this->loop.post([this, copy = std::string(frame), held]
                    { this->dispatch(copy, *held); });
}

void coordinator_node::dispatch(const std::string& frame,
                                net::reply_handle& reply)
{
    auto kind = net::kind_of(frame);
    for (const auto& one : routes)
    {
        if (one.kind != kind)
            continue;
        try
        {
            (this->*one.handle)(frame, reply);
        }
        catch (const net::codec_error&)
        {
            this->metrics.count("hatch_frames_dropped_total", "reason",
                                "malformed");
        }
        return;
    }
    this->metrics.count("hatch_frames_dropped_total", "reason", "unknown_kind");
}

void coordinator_node::on_ping(std::string_view frame, net::reply_handle& reply)
{
    auto request = net::decode<messages::ping>(frame);
    reply.send(
        net::encode(this->members.ping(control::monotonic_now(), request)));
}

void coordinator_node::on_ping_request(std::string_view frame,
                                       net::reply_handle& reply)
{
    auto request = net::decode<messages::ping_request>(frame);
    auto held = std::make_shared<net::reply_handle>(std::move(reply));
    this->members.probe_for(request,
                            [held](bool reached)
                            {
                                messages::pong answer;
                                answer.reached = reached;
                                held->send(net::encode(answer));
                            });
}

void coordinator_node::on_view_request(std::string_view frame,
                                       net::reply_handle& reply)
{
    auto request = net::decode<messages::view_request>(frame);
    this->members.heard(control::monotonic_now(), request.sender);
    const auto& table = this->members.table();
    messages::view_answer answer;
    answer.digest = table.digest();
    answer.revision = this->configuration.revision();
    if (request.cached_digest != answer.digest)
        answer.members = table.all();
    reply.send(net::encode(answer));
}

void coordinator_node::on_configuration_request(std::string_view frame,
                                                net::reply_handle& reply)
{
    auto request = net::decode<messages::configuration_request>(frame);
    messages::configuration_answer answer;
    answer.revision = this->configuration.revision();
    if (answer.revision > request.above_revision)
        answer.text = this->configuration.text();
    reply.send(net::encode(answer));
}

void coordinator_node::on_status_request(std::string_view frame,
                                         net::reply_handle& reply)
{
    auto request = net::decode<messages::status_request>(frame);
    messages::status_answer answer;
    answer.name = this->settings.node.name;
    answer.revision = this->configuration.revision();
    answer.store_reachable = this->watcher.reachable();
    answer.members = this->members.everyone();
    if (request.with_endpoints)
        answer.endpoints = this->slots.status();
    reply.send(net::encode(answer));
}

void coordinator_node::on_want_slot(std::string_view frame,
                                    net::reply_handle& reply)
{
    auto request = net::decode<messages::want_slot>(frame);
    this->slots.want(control::monotonic_now(), request, std::move(reply));
}

void coordinator_node::on_slot_report(std::string_view frame,
                                      net::reply_handle& reply)
{
    auto told = net::decode<messages::slot_report>(frame);
    this->slots.report(control::monotonic_now(), told, std::move(reply));
}

void coordinator_node::on_await_yield(std::string_view frame,
                                      net::reply_handle& reply)
{
    auto request = net::decode<messages::await_preemption>(frame);
    this->slots.await_preemption(control::monotonic_now(), request,
                                 std::move(reply));
}

void coordinator_node::on_endpoints_request(std::string_view frame,
                                            net::reply_handle& reply)
{
    auto request = net::decode<messages::endpoints_request>(frame);
    this->slots.endpoints(request, std::move(reply));
}

void coordinator_node::adopt(std::uint64_t revision, std::string_view text)
{
    if (!text.empty() && this->configuration.adopt(revision, text))
    {
        logging::event(logging::level::info, "configuration_adopted")
            .with("revision", static_cast<std::int64_t>(revision));
        this->metrics.set("hatch_configuration_revision",
                          static_cast<double>(revision));
    }
    this->members.set_revision(this->configuration.revision());
}

void coordinator_node::found_configuration(const stored_configuration& value)
{
    this->loop.post([this, value] { this->adopt(value.revision, value.text); });
}

void coordinator_node::fetch_newer(const std::string& address)
{
    if (this->fetching)
        return;
    this->fetching = true;
    messages::configuration_request request{this->configuration.revision()};
    this->peers.post(
        address, net::encode(request), fetch_limit,
        [this](std::optional<std::string> frame)
        {
            auto answer =
                net::decode_answer<messages::configuration_answer>(frame);
            this->loop.post(
                [this, answer]
                {
                    this->fetching = false;
                    if (answer)
                        this->adopt(answer->revision, answer->text);
                });
        });
}

void coordinator_node::choose_watchers()
{
    std::vector<messages::member> zone;
    for (const auto& one : this->members.table().all())
    {
        if (one.zone == this->settings.node.zone &&
            one.process_role == messages::role::coordinator &&
            one.state == messages::liveness::alive)
            zone.push_back(one);
    }
    auto ordered = core::members::rendezvous_order(shared_prefix, zone);
    auto end = ordered.begin() +
               static_cast<long>(std::min(ordered.size(), watchers_per_zone));
    bool watch = std::any_of(ordered.begin(), end,
                             [this](const auto& one)
                             { return one.name == this->settings.node.name; });
    this->watcher.set_watching(watch);
}

void coordinator_node::probe_endpoint(const std::string& group,
                                      const core::slots::slot_probe& probe)
{
    this->probes.post([this, group, probe] { this->run_probe(group, probe); });
}

// A small generation of this node's own finds out whether an endpoint is back,
// so that no caller's request has to.
void coordinator_node::run_probe(const std::string& group,
                                 const core::slots::slot_probe& probe)
{
    adapters::generation asked;
    asked.request = "probe-" + process::random_text();
    asked.model = group.substr(0, group.rfind('@'));
    asked.prompt = "probe";
    asked.max_tokens = probe_tokens;
    auto end = control::monotonic_now() + probe_limit;
    auto stream = this->engine.generate(probe.address, asked, probe_limit);
    std::vector<adapters::token> tokens;
    core::instant first{};
    auto state = adapters::stream_end::open;
    while (state == adapters::stream_end::open &&
           control::monotonic_now() < end)
    {
        state = stream->pump(core::milliseconds(20), tokens);
        if (!tokens.empty() && first.count() == 0)
            first = control::monotonic_now();
    }
    auto now = control::monotonic_now();
    auto time = first.count() == 0 ? probe_limit : now - first;
    // The first token only starts the clock.
    auto count =
        tokens.empty() ? 0u : static_cast<std::uint32_t>(tokens.size()) - 1;
    stream.reset();
    if (state == adapters::stream_end::open)
        this->engine.cancel(probe.address, asked.request);
    this->loop.post(
        [this, group, endpoint = probe.endpoint, count, time]
        {
            this->slots.probe_ended(control::monotonic_now(), group, endpoint,
                                    count, time);
        });
}

void coordinator_node::poll_hosts()
{
    constexpr core::milliseconds step{50};
    while (!this->stopping)
    {
        auto listed = this->hosts.read();
        this->metrics.count("hatch_host_list_reads_total", "result",
                            listed ? "read" : "unreachable");
        if (listed)
            this->loop.post(
                [this, endpoints = *listed] {
                    this->slots.set_endpoints(control::monotonic_now(),
                                              endpoints);
                });
        for (core::milliseconds slept{0};
             slept < hosts_interval && !this->stopping; slept += step)
            std::this_thread::sleep_for(step);
    }
}

} // namespace amaranthhatch::coordinator
