#include "forward/online_router.hpp"

#include "forward/online_run.hpp"
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

online_router::online_router(host::host_runtime& runtime, call_names names,
                             batch_handler batch)
    : runtime(runtime), names(std::move(names)), batch(std::move(batch))
{
}

void online_router::apply(
    std::shared_ptr<const core::routes::route_table> table)
{
    bool newer = !this->current || table->version() > this->current->version();
    if (!newer)
        return;
    this->current = std::move(table);
    this->runtime.metrics_recorder().set(
        "hatch_configuration_version",
        static_cast<double>(this->current->version()));
    logging::event(logging::level::info, "configuration_applied")
        .with("version", static_cast<std::int64_t>(this->current->version()))
        .with("routes",
              static_cast<std::int64_t>(this->current->routes().size()));
}

void online_router::answer(http::server_exchange& exchange, int status,
                           std::string_view reason)
{
    http::header_list lines;
    lines.add("Content-Type", "text/plain");
    if (status == 503)
        lines.add("Retry-After", "0.5");
    exchange.respond(status, lines, std::string(reason) + "\n");
    this->runtime.metrics_recorder().count("hatch_requests_total", "outcome",
                                           "refused", "reason", reason);
    logging::event(logging::level::info, "request_unrouted")
        .with("id",
              exchange.received_request().headers.get(this->names.request_id))
        .with("status", status)
        .with("reason", reason)
        .with("config", this->current ? static_cast<std::int64_t>(
                                            this->current->version())
                                      : -1)
        .with("path", exchange.received_request().path);
}

void online_router::handle(std::shared_ptr<http::server_exchange> exchange)
{
    if (!this->current)
        return this->answer(*exchange, 503, "no_configuration");
    const auto& asked = exchange->received_request();
    auto authority = without_port(asked.headers.get("Host"));
    const auto* matched = this->current->match(authority, asked.path);
    if (matched == nullptr)
        return this->answer(*exchange, 404, "no_route");
    if (matched->kind == route_kind::batch)
        return this->batch(std::move(exchange));
    std::make_shared<online_run>(this->runtime, this->names, this->current,
                                 *matched, std::move(exchange))
        ->start();
}

} // namespace amaranthhatch::forward
