#include "forward/online_router.hpp"

#include "forward/online_request.hpp"
#include "http/message_text.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::forward
{

using core::routes::route_kind;

namespace
{

std::string_view without_port(std::string_view authority)
{
    return authority.substr(0, authority.find(':'));
}

} // namespace

online_router::online_router(host::host_runtime& runtime, header_names names,
                             batch_handler batch,
                             core::hedging::hedge_limit hedges)
    : runtime(runtime), names(std::move(names)), batch(std::move(batch)),
      hedging(hedges)
{
    runtime.metrics_recorder().set("hatch_hedge_share_limit",
                                   hedges.percent / 100.0);
}

void online_router::apply(
    std::shared_ptr<const core::routes::route_table> table)
{
    bool newer = !this->configuration ||
                 table->version() > this->configuration->version();
    if (!newer)
        return;
    if (this->configuration)
        this->revoked.record(this->configuration->workspaces(),
                             table->workspaces());
    this->runtime.quotas().apply(table->workspaces());
    this->configuration = std::move(table);
    this->runtime.metrics_recorder().set(
        "hatch_configuration_version",
        static_cast<double>(this->configuration->version()));
    logging::event(logging::level::info, "configuration_applied")
        .with("version",
              static_cast<std::int64_t>(this->configuration->version()))
        .with("routes",
              static_cast<std::int64_t>(this->configuration->routes().size()))
        .with("workspaces",
              static_cast<std::int64_t>(
                  this->configuration->workspaces().all().size()));
}

void online_router::reject(http::server_exchange& exchange, int status,
                           std::string_view reason, std::string_view workspace,
                           core::milliseconds retry_after)
{
    http::header_list headers;
    headers.add("Content-Type", "text/plain");
    if (status == 503)
        headers.add("Retry-After", "0.5");
    if (status == 429)
        headers.add("Retry-After", http::seconds_text(retry_after));
    if (status == 401)
        headers.add("WWW-Authenticate", this->names.credentials_scheme);
    exchange.respond(status, headers, std::string(reason) + "\n");
    this->runtime.metrics_recorder().count("hatch_requests_total", "outcome",
                                           "refused", "reason", reason);
    logging::event(logging::level::info, "request_unrouted")
        .with("id",
              exchange.received_request().headers.get(this->names.request_id))
        .with("status", status)
        .with("reason", reason)
        .with("config",
              this->configuration
                  ? static_cast<std::int64_t>(this->configuration->version())
                  : -1)
        .with("path", exchange.received_request().path)
        .with("workspace", workspace);
}

bool online_router::accepts_keys() const
{
    const auto& settings = this->runtime.settings();
    if (!settings.fail_closed)
        return true;
    auto age = this->runtime.configuration_age();
    return age && *age <= settings.revocation_limit;
}

// Returns false if the request was answered.
bool online_router::check_key(http::server_exchange& exchange,
                              const caller_identity& caller)
{
    if (!this->accepts_keys())
    {
        this->reject(exchange, 503, "configuration_unconfirmed", caller.name());
        return false;
    }
    if (caller.workspace != nullptr)
        return true;
    bool revoked_key =
        caller.failure == "key_unknown" && this->revoked.contains(caller.key);
    this->reject(exchange, 401, revoked_key ? "key_revoked" : caller.failure);
    return false;
}

online_router::job_access
online_router::check_job_caller(http::server_exchange& exchange)
{
    if (!this->configuration)
    {
        this->reject(exchange, 503, "no_configuration");
        return {};
    }
    const auto& declared = this->configuration->workspaces();
    if (!declared.keys_required())
        return {true, std::nullopt};
    auto caller = identify_caller(this->names, declared,
                                  exchange.received_request().headers);
    if (!this->check_key(exchange, caller))
        return {};
    return {true, std::string(caller.name())};
}

void online_router::handle(std::shared_ptr<http::server_exchange> exchange)
{
    if (!this->configuration)
        return this->reject(*exchange, 503, "no_configuration");
    const auto& request = exchange->received_request();
    auto authority = without_port(request.headers.get("Host"));
    const auto* matched = this->configuration->match(authority, request.path);
    if (matched == nullptr)
        return this->reject(*exchange, 404, "no_route");
    caller_identity caller;
    const auto& declared = this->configuration->workspaces();
    if (declared.keys_required())
    {
        caller = identify_caller(this->names, declared, request.headers);
        if (!matched->allows_anonymous && !this->check_key(*exchange, caller))
            return;
    }
    if (matched->kind == route_kind::batch)
        return this->batch({std::move(exchange), this->configuration->version(),
                            std::string(caller.name())});
    if (caller.workspace != nullptr)
    {
        auto decision = this->runtime.quotas().admit(*caller.workspace);
        if (!decision.admitted)
            return this->reject(*exchange, 429, "quota", caller.name(),
                                decision.retry_after);
    }
    std::make_shared<online_request>(this->runtime, this->names, this->hedging,
                                     this->configuration, *matched,
                                     caller.workspace, std::move(exchange))
        ->start();
}

} // namespace amaranthhatch::forward
