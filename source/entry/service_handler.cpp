#include "entry/service_handler.hpp"

#include "entry/completion_handler.hpp"
#include "logging/event.hpp"
#include "process/program.hpp"

namespace amaranthhatch::entry
{

namespace
{

using core::outcome;
using core::refusal;
using routing::claim_state;

constexpr std::string_view services_prefix = "/services/";
constexpr unsigned repeat_limit = 3;
constexpr int first_server_error = 500;

constexpr std::string_view forwarded_headers[] = {
    "Authorization", "Content-Type", "Accept", "Idempotency-Key",
    "X-Hatch-Workspace"};

constexpr std::string_view returned_headers[] = {"Content-Type", "Retry-After",
                                                 "ETag", "Location"};

http::response pass_on(const http::reply& reply)
{
    http::response answer;
    answer.status = reply.status;
    answer.body = reply.body;
    for (auto name : returned_headers)
    {
        auto value = reply.headers.get(name);
        if (!value.empty())
            answer.headers.add(name, value);
    }
    answer.headers.add("X-Hatch-Outcome", name_of(outcome::done));
    return answer;
}

} // namespace

service_handler::service_handler(routing::slot_source& slots,
                                 routing::claim_client& claims,
                                 routing::shared_budget& retries,
                                 routing::view_client& view,
                                 metrics::registry& metrics)
    : slots(slots), claims(claims), retries(retries), view(view),
      metrics(metrics)
{
}

http::response service_handler::refuse(const refusal_notice& notice)
{
    this->metrics.count("hatch_refusals_total", "reason",
                        name_of(notice.reason));
    logging::event(logging::level::info, "refused")
        .with("reason", name_of(notice.reason))
        .with("outcome", name_of(notice.known));
    return refusal_response(notice);
}

http::response service_handler::handle(const http::request& asked)
{
    auto view_now = this->view.now();
    if (view_now->revision == 0)
        return this->refuse(
            {refusal::not_configured, outcome::not_run, {}, {}});
    std::string rest = asked.path.substr(services_prefix.size());
    auto slash = rest.find('/');
    std::string name = rest.substr(0, slash);
    const auto& declared = view_now->declared;
    const auto* service = declared.find_service(name);
    const auto* by =
        service == nullptr ? nullptr : declared.find_class(service->work_class);
    if (by == nullptr)
        return this->refuse(
            {refusal::unknown_service, outcome::not_run, name, {}});
    std::string path = slash == std::string::npos ? "/" : rest.substr(slash);
    if (!asked.query.empty())
        path += "?" + asked.query;
    std::string key(asked.headers.get("Idempotency-Key"));
    service_call call{asked, *service, *by, path, key};
    return service->repeatable ? this->call_repeatable(call)
                               : this->call_once(call);
}

routing::slot_result
service_handler::acquire(const service_call& call,
                         const std::vector<std::string>& excluded)
{
    routing::slot_request wanted{call.service.name, want_for(call.by, 0, {})};
    wanted.want.wait_timeout_ms =
        static_cast<std::uint32_t>(call.by.deadline.count());
    wanted.want.excluded = excluded;
    return this->slots.acquire(wanted);
}

http::reply service_handler::send(const service_call& call,
                                  const routing::slot_ptr& slot)
{
    http::call sent;
    sent.method = call.asked.method;
    sent.url = "http://" + slot->address + call.path;
    sent.body = call.asked.body;
    sent.total_limit = call.by.deadline;
    for (auto name : forwarded_headers)
    {
        auto value = call.asked.headers.get(name);
        if (!value.empty())
            sent.headers.add(name, value);
    }
    return http::perform(sent);
}

http::response service_handler::call_once(const service_call& call)
{
    auto got = this->acquire(call, {});
    if (!got.slot)
        return this->refuse(
            {got.reason, outcome::not_run, {}, got.retry_after});
    // The claim comes last before the send, so that a request which finds no
    // slot doesn't use its key up.
    std::string key = call.key.empty() ? process::random_text() : call.key;
    std::string claim_key =
        std::string(call.asked.headers.get("X-Hatch-Workspace")) + "/" +
        call.service.name + "/" + key;
    auto held = this->claims.claim(claim_key);
    if (held.state != claim_state::granted)
    {
        this->slots.release(got.slot, false, {});
        // Whoever holds the key may have run it; this call did not.
        bool taken = held.state == claim_state::taken;
        return this->refuse(
            {taken ? refusal::claim_taken : refusal::store_unreachable,
             taken ? outcome::unknown : outcome::not_run,
             call.key,
             {}});
    }
    http::reply reply = this->send(call, got.slot);
    constexpr std::string_view reached[] = {"answered", "not_sent", "unknown"};
    logging::event(logging::level::info, "once_call")
        .with("claim", routing::claim_client::store_key(claim_key))
        .with("version", static_cast<std::int64_t>(held.version))
        .with("endpoint", got.slot->endpoint)
        .with("end", reached[static_cast<std::size_t>(reply.reached)])
        .with("status", reply.status)
        .with("detail", reply.detail);
    this->slots.release(got.slot, reply.reached != http::progress::answered,
                        {});
    if (reply.reached == http::progress::answered)
        return pass_on(reply);
    if (reply.reached == http::progress::not_sent)
    {
        this->claims.release(claim_key, held);
        return this->refuse(
            {refusal::connect_failed, outcome::not_run, reply.detail, {}});
    }
    return this->refuse(
        {refusal::stream_cut, outcome::unknown, reply.detail, {}});
}

http::response service_handler::call_repeatable(const service_call& call)
{
    std::vector<std::string> excluded;
    refusal_notice last{refusal::no_endpoint, outcome::not_run, {}, {}};
    std::string detail;
    for (unsigned tries = 0; tries < repeat_limit; ++tries)
    {
        auto got = this->acquire(call, excluded);
        if (!got.slot)
        {
            if (tries == 0)
                last.reason = got.reason;
            last.retry_after = got.retry_after;
            break;
        }
        http::reply reply = this->send(call, got.slot);
        bool good = reply.reached == http::progress::answered &&
                    reply.status < first_server_error;
        this->slots.release(got.slot, !good, {});
        bool retry = !good && tries + 1 < repeat_limit && this->retries.spend();
        if (reply.reached == http::progress::answered && !retry)
            return pass_on(reply);
        detail = reply.detail;
        last.reason = reply.reached == http::progress::not_sent
                          ? refusal::connect_failed
                          : refusal::stream_cut;
        if (reply.reached != http::progress::not_sent)
            last.known = outcome::unknown;
        if (!retry)
            break;
        this->metrics.count("hatch_repeats_total", "reason",
                            name_of(last.reason));
        excluded.push_back(got.slot->endpoint);
    }
    last.detail = detail;
    return this->refuse(last);
}

} // namespace amaranthhatch::entry
