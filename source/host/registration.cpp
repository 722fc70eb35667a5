#include "host/registration.hpp"

#include <nlohmann/json.hpp>

#include "logging/event.hpp"

namespace amaranthhatch::host
{

using json = nlohmann::json;

std::string pack_registration(const core::peers::peer& self)
{
    return json{{"address", self.address},   {"zone", self.zone},
                {"region", self.region},     {"disk", self.disk},
                {"capacity", self.capacity}, {"incarnation", self.incarnation}}
        .dump();
}

std::optional<core::peers::peer> unpack_registration(std::string_view text)
{
    try
    {
        auto parsed = json::parse(text);
        core::peers::peer registered;
        registered.address = parsed.at("address").get<std::string>();
        registered.zone = parsed.at("zone").get<std::string>();
        registered.region = parsed.at("region").get<std::string>();
        registered.disk = parsed.at("disk").get<std::string>();
        // Hosts of earlier releases register without it.
        registered.capacity = parsed.value("capacity", 0u);
        registered.incarnation = parsed.at("incarnation").get<std::uint64_t>();
        return registered;
    }
    catch (const json::exception& error)
    {
        logging::event(logging::level::warning, "registration_unreadable")
            .with("detail", error.what());
        return std::nullopt;
    }
}

} // namespace amaranthhatch::host
