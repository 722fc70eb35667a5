#include "coordinator/shared_state.hpp"

#include <nlohmann/json.hpp>

namespace amaranthhatch::coordinator
{

namespace
{

using nlohmann::json;

namespace messages = core::messages;

json write_set(const messages::keeper_set& set)
{
    json keepers = json::array();
    for (const auto& one : set.keepers)
        keepers.push_back({{"name", one.name},
                           {"zone", one.zone},
                           {"address", one.address},
                           {"boot", one.boot}});
    return {{"generation", set.generation},
            {"settled_unix_ms", set.settled_unix_ms},
            {"keepers", keepers}};
}

messages::keeper_set read_set(const json& from)
{
    messages::keeper_set set;
    set.generation = from.at("generation").get<std::uint64_t>();
    set.settled_unix_ms = from.at("settled_unix_ms").get<std::int64_t>();
    for (const auto& one : from.at("keepers"))
        set.keepers.push_back({one.at("name").get<std::string>(),
                               one.at("zone").get<std::string>(),
                               one.at("address").get<std::string>(),
                               one.at("boot").get<std::string>()});
    return set;
}

} // namespace

std::string write_configuration(const stored_configuration& value)
{
    return json({{"revision", value.revision},
                 {"apply", value.apply},
                 {"operator", value.operator_name},
                 {"text", value.text}})
        .dump();
}

std::optional<stored_configuration> read_configuration(std::string_view text)
{
    try
    {
        json from = json::parse(text);
        stored_configuration value;
        value.revision = from.at("revision").get<std::uint64_t>();
        value.apply = from.at("apply").get<std::string>();
        value.operator_name = from.at("operator").get<std::string>();
        value.text = from.at("text").get<std::string>();
        return value;
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

std::string write_keepers(const messages::keeper_history& value)
{
    json earlier = json::array();
    for (const auto& set : value.earlier)
        earlier.push_back(write_set(set));
    return json({{"current", write_set(value.current)}, {"earlier", earlier}})
        .dump();
}

std::optional<messages::keeper_history> read_keepers(std::string_view text)
{
    try
    {
        json from = json::parse(text);
        messages::keeper_history history;
        history.current = read_set(from.at("current"));
        for (const auto& set : from.at("earlier"))
            history.earlier.push_back(read_set(set));
        return history;
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace amaranthhatch::coordinator
