#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace amaranthhatch::metrics
{

/// @brief Counters, gauges and latency histograms of a process with one event
/// loop.
///
/// It opens no socket: the process returns text() on a port that it already
/// serves.
class recorder
{
public:
    recorder();
    ~recorder();
    recorder(const recorder&) = delete;
    recorder& operator=(const recorder&) = delete;

    /// @brief Adds to a counter with one label, such as the refusal reason.
    void count(std::string_view family, std::string_view label,
               std::string_view value, double amount = 1);

    /// @brief Adds to a counter with two labels.
    void count(std::string_view family, std::string_view label,
               std::string_view value, std::string_view second_label,
               std::string_view second_value);

    /// @brief Sets a gauge without labels.
    void set(std::string_view family, double value);

    /// @brief Sets a gauge with one label.
    void set(std::string_view family, std::string_view label,
             std::string_view value, double amount);

    /// @brief Adds a latency in seconds to a histogram.
    void observe(std::string_view family, double seconds);

    /// @brief All metrics in Prometheus' text format.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> held;
};

} // namespace amaranthhatch::metrics
