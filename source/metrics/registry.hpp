#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace amaranthhatch::metrics
{

/// @brief Counters and gauges of a process, served in Prometheus' text format.
class registry
{
public:
    /// @brief Serves /metrics at the address "IP:PORT".
    explicit registry(const std::string& address);
    ~registry();

    /// @brief Adds to a counter with one label, such as the refusal reason.
    void count(std::string_view family, std::string_view label,
               std::string_view value, double amount = 1);

    /// @brief Sets a gauge without labels.
    void set(std::string_view family, double value);

private:
    struct state;
    std::unique_ptr<state> held;
};

} // namespace amaranthhatch::metrics
