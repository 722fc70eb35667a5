#include "host/registration.hpp"

#include <nlohmann/json.hpp>

#include "logging/event.hpp"

namespace amaranthhatch::host
{

using json = nlohmann::json;

std::string pack_registration(const core::peers::peer& self)
{
    return json{{"address", self.address},
                {"zone", self.zone},
                {"region", self.region},
                {"disk", self.disk},
                {"incarnation", self.incarnation}}
        .dump();
}

std::optional<core::peers::peer> unpack_registration(std::string_view text)
{
    try
    {
        auto in = json::parse(text);
        core::peers::peer out;
        out.address = in.at("address").get<std::string>();
        out.zone = in.at("zone").get<std::string>();
        out.region = in.at("region").get<std::string>();
        out.disk = in.at("disk").get<std::string>();
        out.incarnation = in.at("incarnation").get<std::uint64_t>();
        return out;
    }
    catch (const json::exception& error)
    {
        logging::event(logging::level::warning, "registration_unreadable")
            .with("detail", error.what());
        return std::nullopt;
    }
}

} // namespace amaranthhatch::host
