#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhatch::adapters
{

/// @brief What an endpoint speaks.
enum class endpoint_kind : std::uint8_t
{
    engine,
    service
};

/// @brief One endpoint of the platform's list.
struct listed_endpoint
{
    std::string name;
    std::string address;
    std::string zone;
    std::string region;
    /// The model or the service that it serves.
    std::string serves;
    endpoint_kind kind = endpoint_kind::engine;
    bool leaving = false;
};

/// @brief The platform's lagging list of live and leaving hosts.
class host_list
{
public:
    virtual ~host_list() = default;

    /// @brief The whole list, or nothing where it can't be had now.
    virtual std::optional<std::vector<listed_endpoint>> read() = 0;
};

} // namespace amaranthhatch::adapters
