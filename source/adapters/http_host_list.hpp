#pragma once

#include <string>

#include "adapters/host_list.hpp"

namespace amaranthhatch::adapters
{

/// @brief The host list over its HTTP interface, GET /v1/hosts.
class http_host_list : public host_list
{
public:
    explicit http_host_list(std::string address);

    std::optional<std::vector<listed_endpoint>> read() override;

private:
    std::string address;
};

} // namespace amaranthhatch::adapters
