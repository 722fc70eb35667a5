#include "coordinator/shared_state.hpp"

#include <nlohmann/json.hpp>

namespace amaranthhatch::coordinator
{

namespace
{

using nlohmann::json;

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

} // namespace amaranthhatch::coordinator
