#include "adapters/http_host_list.hpp"

#include <nlohmann/json.hpp>

#include "http/client.hpp"

namespace amaranthhatch::adapters
{

namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds call_limit{1500};

listed_endpoint parse_endpoint(const json& object)
{
    listed_endpoint endpoint;
    endpoint.name = object.at("name").get<std::string>();
    endpoint.address = object.at("address").get<std::string>();
    endpoint.zone = object.at("zone").get<std::string>();
    endpoint.region = object.at("region").get<std::string>();
    endpoint.serves = object.at("serves").get<std::string>();
    bool service = object.at("kind").get<std::string>() == "service";
    endpoint.kind = service ? endpoint_kind::service : endpoint_kind::engine;
    endpoint.leaving = object.at("state").get<std::string>() == "leaving";
    return endpoint;
}

} // namespace

http_host_list::http_host_list(std::string address)
    : address(std::move(address))
{
}

std::optional<std::vector<listed_endpoint>> http_host_list::read()
{
    http::call asked;
    asked.url = "http://" + this->address + "/v1/hosts";
    asked.total_limit = call_limit;
    http::reply reply = http::perform(asked);
    if (reply.reached != http::progress::answered || reply.status != 200)
        return std::nullopt;
    try
    {
        std::vector<listed_endpoint> endpoints;
        json parsed = json::parse(reply.body);
        for (const auto& object : parsed.at("hosts"))
            endpoints.push_back(parse_endpoint(object));
        return endpoints;
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace amaranthhatch::adapters
