#include "adapters/http_key_value_store.hpp"

#include <nlohmann/json.hpp>

#include "http/client.hpp"

namespace amaranthhatch::adapters
{

namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds call_limit{1500};
constexpr std::chrono::milliseconds connect_limit{400};
constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

store_entry parse_entry(const json& object)
{
    store_entry entry;
    entry.key = object.at("key").get<std::string>();
    entry.value = object.at("value").get<std::string>();
    entry.version = object.at("version").get<std::uint64_t>();
    return entry;
}

store_result result_of(const http::reply& reply)
{
    if (reply.reached == http::progress::not_sent)
        return store_result::unreachable;
    if (reply.reached == http::progress::unknown)
        return store_result::unknown;
    switch (reply.status)
    {
    case status_ok:
    case status_not_found:
        return store_result::done;
    case status_conflict:
        return store_result::conflict;
    case status_too_many:
    case status_unavailable:
        return store_result::unreachable;
    default:
        return store_result::unknown;
    }
}

store_answer parse_answer(const http::reply& reply)
{
    store_answer answer;
    answer.result = result_of(reply);
    bool has_entry =
        reply.reached == http::progress::answered &&
        (reply.status == status_ok || reply.status == status_conflict);
    if (!has_entry)
        return answer;
    try
    {
        answer.entry = parse_entry(json::parse(reply.body));
    }
    catch (const json::exception&)
    {
        answer.result = store_result::unknown;
    }
    return answer;
}

} // namespace

http_key_value_store::http_key_value_store(std::string address)
    : address(std::move(address))
{
}

store_answer http_key_value_store::read(std::string_view key)
{
    http::call asked;
    asked.url = "http://" + this->address + "/v1/kv/" + std::string(key);
    asked.connect_limit = connect_limit;
    asked.total_limit = call_limit;
    return parse_answer(http::perform(asked));
}

store_answer http_key_value_store::write(std::string_view key,
                                         std::string_view value,
                                         std::uint64_t expected_version,
                                         std::chrono::milliseconds time_to_live)
{
    http::call asked;
    asked.method = "PUT";
    asked.url = "http://" + this->address + "/v1/kv/" + std::string(key) +
                "?version=" + std::to_string(expected_version);
    if (time_to_live.count() > 0)
        asked.url += "&ttl_ms=" + std::to_string(time_to_live.count());
    asked.body = value;
    asked.connect_limit = connect_limit;
    asked.total_limit = call_limit;
    return parse_answer(http::perform(asked));
}

store_changes http_key_value_store::watch(std::string_view prefix,
                                          std::uint64_t after_revision,
                                          std::chrono::milliseconds wait)
{
    http::call asked;
    asked.url = "http://" + this->address +
                "/v1/watch?prefix=" + std::string(prefix) +
                "&after=" + std::to_string(after_revision) +
                "&wait_ms=" + std::to_string(wait.count());
    asked.connect_limit = connect_limit;
    asked.total_limit = wait + call_limit;
    http::reply reply = http::perform(asked);
    store_changes changes;
    changes.result = result_of(reply);
    if (changes.result != store_result::done)
        return changes;
    try
    {
        json parsed = json::parse(reply.body);
        changes.revision = parsed.at("revision").get<std::uint64_t>();
        for (const auto& object : parsed.at("entries"))
            changes.entries.push_back(parse_entry(object));
    }
    catch (const json::exception&)
    {
        changes.result = store_result::unknown;
    }
    return changes;
}

} // namespace amaranthhatch::adapters
