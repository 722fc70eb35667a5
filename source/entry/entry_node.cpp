#include "entry/entry_node.hpp"

#include <thread>

#include "control/control_loop.hpp"
#include "entry/refusal_response.hpp"
#include "logging/event.hpp"
#include "routing/local_slots.hpp"

namespace amaranthhatch::entry
{

namespace
{

using core::milliseconds;

constexpr double budget_burst = 10;
constexpr double move_burst = 30;
constexpr std::string_view coordinated_strategy = "coordinated";

core::messages::member own_member(const process::node_settings& node,
                                  const std::string& listen)
{
    core::messages::member self;
    self.name = node.name;
    self.zone = node.zone;
    self.region = node.region;
    self.address = listen;
    self.process_role = core::messages::role::entry;
    self.incarnation = static_cast<std::uint64_t>(control::unix_now_ms());
    return self;
}

} // namespace

entry_settings read_settings(settings::document& from)
{
    using std::chrono::minutes;
    using std::chrono::seconds;
    constexpr settings::number_range percent{0, 100};
    constexpr double per_cent = 0.01;
    entry_settings read;
    read.node = process::read_node(from);
    read.listen = from.address("entry.listen");
    read.metrics = from.address("entry.metrics");
    read.coordinators = from.addresses("entry.coordinators");
    read.body_limit_bytes = static_cast<std::size_t>(
        from.number_or("entry.body_limit_bytes", 48 << 20, {1024, 60 << 20}));
    read.connection_limit = static_cast<unsigned>(
        from.number_or("entry.connection_limit", 2048, {8, 65'536}));
    read.drain_notice = from.duration_or("entry.drain_notice", seconds(2),
                                         {milliseconds(0), minutes(5)});
    read.drain_limit = from.duration_or("entry.drain_limit", minutes(2),
                                        {seconds(1), minutes(60)});
    read.store = from.address("store.address");
    read.claim_window = from.duration_or("entry.claim_window", minutes(10),
                                         {seconds(5), minutes(24 * 60)});
    read.hedge_share =
        per_cent *
        static_cast<double>(from.number_or("entry.hedge_percent", 4, percent));
    read.retry_share =
        per_cent *
        static_cast<double>(from.number_or("entry.retry_percent", 10, percent));
    read.move_share =
        per_cent *
        static_cast<double>(from.number_or("entry.move_percent", 20, percent));
    read.strategy = from.text_or("entry.strategy", coordinated_strategy);
    if (read.strategy != coordinated_strategy &&
        !routing::local_slots::is_policy(read.strategy))
        from.refuse("entry.strategy", "must be \"coordinated\", "
                                      "\"round_robin\" or "
                                      "\"least_outstanding\"");
    from.finish();
    return read;
}

entry_node::entry_node(entry_settings settings, adapters::model_engine& engine,
                       adapters::key_value_store& store,
                       metrics::registry& metrics, net::rpc_client& peers)
    : settings(std::move(settings)), metrics(metrics),
      view(own_member(this->settings.node, this->settings.listen),
           this->settings.coordinators, peers, metrics),
      coordinated(this->settings.node.name, this->settings.node.region, false,
                  this->view, peers, metrics),
      baseline(this->settings.strategy == coordinated_strategy
                   ? nullptr
                   : std::make_unique<routing::local_slots>(
                         this->settings.strategy, this->settings.node.region,
                         this->view, peers)),
      slots(this->baseline
                ? *this->baseline
                : static_cast<routing::slot_source&>(this->coordinated)),
      cancels(engine), hedges(this->settings.hedge_share, budget_burst),
      retries(this->settings.retry_share, budget_burst),
      moves(this->settings.move_share, move_burst),
      claims(store, this->settings.claim_window, metrics),
      completions({engine, this->slots, this->cancels, this->hedges,
                   this->retries, this->moves, metrics},
                  this->view, this->limits, metrics),
      services(this->slots, this->claims, this->retries, this->view, metrics),
      batches(this->view, peers, metrics)
{
}

void entry_node::start()
{
    this->view.start();
    this->coordinated.start();
    http::server_options options;
    options.address = this->settings.listen;
    options.body_limit_bytes = this->settings.body_limit_bytes;
    options.connection_limit = this->settings.connection_limit;
    this->server = std::make_unique<http::server>(
        options,
        [this](const http::request& asked) { return this->handle(asked); });
    logging::event(logging::level::info, "started")
        .with("listen", this->settings.listen)
        .with("strategy", this->settings.strategy);
}

http::response entry_node::health() const
{
    http::response answer;
    bool ready = !this->draining && this->view.now()->revision > 0;
    answer.status = ready ? 200 : 503;
    answer.body = ready            ? "ready\n"
                  : this->draining ? "draining\n"
                                   : "not configured\n";
    return answer;
}

http::response entry_node::handle(const http::request& asked)
{
    if (asked.path == "/healthz")
        return this->health();
    try
    {
        if (asked.path == "/v1/chat/completions" && asked.method == "POST")
            return this->completions.handle(asked, true);
        if (asked.path == "/v1/completions" && asked.method == "POST")
            return this->completions.handle(asked, false);
        if (asked.path.starts_with("/services/"))
            return this->services.handle(asked);
        return this->batches.handle(asked);
    }
    catch (const std::exception& error)
    {
        logging::event(logging::level::error, "request_failed")
            .with("path", asked.path)
            .with("reason", error.what());
        return refusal_response(
            {core::refusal::none, core::outcome::unknown, error.what(), {}});
    }
}

bool entry_node::drain()
{
    logging::event(logging::level::info, "draining")
        .with("in_flight", this->server->in_flight());
    this->draining = true;
    this->server->close_after_responses();
    // The balancer needs this time to see the health check fail; requests that
    // it still sends are served.
    std::this_thread::sleep_for(this->settings.drain_notice);
    this->server->stop_listening();
    bool idle = this->server->wait_until_idle(this->settings.drain_limit);
    logging::event(logging::level::info, "stopped")
        .with("in_flight", this->server->in_flight());
    return idle;
}

} // namespace amaranthhatch::entry
