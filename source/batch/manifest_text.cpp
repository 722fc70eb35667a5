#include "batch/manifest_text.hpp"

#include <nlohmann/json.hpp>

namespace amaranthhatch::batch
{

namespace
{

using core::jobs::job_manifest;
using core::jobs::manifest_state;
using nlohmann::json;

} // namespace

std::string manifest_key(std::string_view job)
{
    return std::string(manifest_prefix) + std::string(job);
}

std::string write_manifest(const job_manifest& manifest)
{
    return json({{"job", manifest.job},
                 {"workspace", manifest.workspace},
                 {"epoch", manifest.epoch},
                 {"owner", manifest.owner},
                 {"copies", manifest.copies},
                 {"state", static_cast<int>(manifest.state)},
                 {"write", manifest.write}})
        .dump();
}

std::optional<job_manifest> read_manifest(std::string_view text)
{
    try
    {
        json from = json::parse(text);
        job_manifest manifest;
        manifest.job = from.at("job").get<std::string>();
        manifest.workspace = from.at("workspace").get<std::string>();
        manifest.epoch = from.at("epoch").get<std::uint64_t>();
        manifest.owner = from.at("owner").get<std::string>();
        manifest.copies = from.at("copies").get<std::vector<std::string>>();
        manifest.write = from.at("write").get<std::string>();
        int state = from.at("state").get<int>();
        if (state < 0 || state > static_cast<int>(manifest_state::lost))
            return std::nullopt;
        manifest.state = static_cast<manifest_state>(state);
        return manifest;
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace amaranthhatch::batch
