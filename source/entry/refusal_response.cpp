#include "entry/refusal_response.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace amaranthhatch::entry
{

namespace
{

using core::refusal;
using nlohmann::json;

struct refusal_text
{
    refusal reason;
    int status;
    std::string_view type;
    std::string_view message;
};

constexpr refusal_text refusal_texts[] = {
    {refusal::bad_request, 400, "invalid_request_error",
     "The request can't be answered as it is; correct it."},
    {refusal::unknown_model, 404, "invalid_request_error",
     "No such model is declared; use one of the declared models."},
    {refusal::unknown_service, 404, "invalid_request_error",
     "No such service is declared; use one of the declared services."},
    {refusal::unknown_class, 400, "invalid_request_error",
     "The class isn't declared for this model; leave X-Hatch-Class out or "
     "name a declared class."},
    {refusal::not_configured, 503, "server_error",
     "This entry has no configuration yet; send the request again."},
    {refusal::draining, 503, "server_error",
     "This entry is shutting down; send the request to another one."},
    {refusal::queue_full, 429, "rate_limit_error",
     "Too many requests are waiting; send it again after Retry-After."},
    {refusal::no_endpoint, 503, "server_error",
     "No endpoint serves this now; send it again after Retry-After."},
    {refusal::deadline_passed, 503, "server_error",
     "The class's deadline passed before the answer was whole; send it again "
     "when there is less load."},
    {refusal::no_coordinator, 503, "server_error",
     "No coordinator answered; send it again after Retry-After."},
    {refusal::claim_taken, 409, "conflict_error",
     "Another call with this Idempotency-Key was let through; it may have "
     "run. Look at its effect before you use a new key."},
    {refusal::connect_failed, 502, "server_error",
     "No endpoint took the connection; send it again."},
    {refusal::endpoint_failed, 502, "server_error",
     "The endpoint failed; send it again if it may run twice."},
    {refusal::stream_cut, 502, "server_error",
     "The endpoint's answer broke off; send it again if it may run twice."},
    {refusal::store_unreachable, 503, "server_error",
     "The platform's key-value service is away; send this again with the "
     "same Idempotency-Key."},
    {refusal::no_second_copy, 503, "server_error",
     "No second batch host can be reached; send it again with the same "
     "Idempotency-Key."},
    {refusal::not_doable, 409, "conflict_error",
     "The job can't be finished by its due time; give it more time."},
    {refusal::unknown_job, 404, "invalid_request_error",
     "No batch host that can be reached knows this; check the identifier."},
};

constexpr refusal_text unlisted{refusal::none, 500, "server_error",
                                "The request failed."};

const refusal_text& text_of(refusal reason)
{
    for (const auto& one : refusal_texts)
    {
        if (one.reason == reason)
            return one;
    }
    return unlisted;
}

json error_object(const refusal_notice& notice)
{
    const auto& text = text_of(notice.reason);
    std::string message(text.message);
    if (!notice.detail.empty())
    {
        message += " (";
        message += notice.detail;
        message += ")";
    }
    return {{"error",
             {{"message", message},
              {"type", std::string(text.type)},
              {"code", std::string(name_of(notice.reason))},
              {"outcome", std::string(name_of(notice.known))}}}};
}

std::string dump(const json& object)
{
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

http::response refusal_response(const refusal_notice& notice)
{
    constexpr int first_retryable_status = 429;
    constexpr std::int64_t ms_per_second = 1000;
    const auto& text = text_of(notice.reason);
    http::response answer;
    answer.status = text.status;
    answer.headers.add("Content-Type", "application/json");
    answer.headers.add("X-Hatch-Outcome", name_of(notice.known));
    if (text.status >= first_retryable_status)
    {
        auto seconds =
            (notice.retry_after.count() + ms_per_second - 1) / ms_per_second;
        answer.headers.add("Retry-After",
                           std::to_string(std::max<std::int64_t>(seconds, 1)));
    }
    answer.body = dump(error_object(notice));
    return answer;
}

std::string refusal_event(const refusal_notice& notice)
{
    return "data: " + dump(error_object(notice)) + "\n\n";
}

} // namespace amaranthhatch::entry
