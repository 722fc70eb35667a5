#include "forward/online_router.hpp"

#include "forward/online_request.hpp"
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
                             batch_handler batch)
    : runtime(runtime), names(std::move(names)), batch(std::move(batch))
{
}

void online_router::apply(
    std::shared_ptr<const core::routes::route_table> table)
{
    bool newer = !this->configuration ||
                 table->version() > this->configuration->version();
    if (!newer)
        return;
    this->configuration = std::move(table);
    this->runtime.metrics_recorder().set(
        "hatch_configuration_version",
        static_cast<double>(this->configuration->version()));
    logging::event(logging::level::info, "configuration_applied")
        .with("version",
              static_cast<std::int64_t>(this->configuration->version()))
        .with("routes",
              static_cast<std::int64_t>(this->configuration->routes().size()));
}

void online_router::reject(http::server_exchange& exchange, int status,
                           std::string_view reason)
{
    http::header_list headers;
    headers.add("Content-Type", "text/plain");
    if (status == 503)
        headers.add("Retry-After", "0.5");
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
        .with("path", exchange.received_request().path);
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
    if (matched->kind == route_kind::batch)
        return this->batch(std::move(exchange), this->configuration->version());
    std::make_shared<online_request>(this->runtime, this->names,
                                     this->configuration, *matched,
                                     std::move(exchange))
        ->start();
}

} // namespace amaranthhatch::forward
