#pragma once

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/health/progress_window.hpp"
#include "core/instant.hpp"

namespace amaranthhatch::core::health
{

/// @brief When an endpoint is set aside and when it may come back.
struct outlier_options
{
    /// Set aside at this multiple of the group's median gap.
    double slow_factor = 1.9;
    /// Avoided by new requests at this multiple, on less evidence.
    double suspect_factor = 1.6;
    /// Back at this multiple.
    double healthy_factor = 1.4;
    /// Generating time that a verdict needs at least.
    double min_evidence_ms = 120;
    double min_suspect_evidence_ms = 50;
    /// Half-lives of what a verdict and a suspicion rest on.
    milliseconds ejection_half_life{120};
    milliseconds suspect_half_life{40};
    /// Time until the first probe of an endpoint that is set aside; it grows
    /// with every probe that finds it slow still.
    milliseconds first_probe_interval{200};
    milliseconds max_probe_interval{1600};
    /// Share of a group that is set aside at most.
    double max_ejected_share = 0.4;
};

/// @brief Judges a group's endpoints by their progress, one against another.
///
/// Endpoints' own load reports admit trouble late, so only what callers see
/// counts: generating time per token, which grows at once when an endpoint
/// slows down, freezes or falls silent.
class outlier_detector
{
public:
    explicit outlier_detector(outlier_options options);

    void set_endpoints(std::span<const std::string> names);

    /// @brief Adds what one asker saw in an interval.
    void progress(instant now, std::string_view name, double tokens,
                  double stream_ms);

    /// @brief A call to the endpoint failed outright.
    void failed(instant now, std::string_view name);

    bool is_ejected(std::string_view name) const;

    /// @brief True where the last moments look slow against the group's median;
    /// not yet a verdict.
    bool is_suspect(std::string_view name, double median_gap_ms) const;

    /// @brief Endpoints that are due for a probe, each told once.
    std::vector<std::string> take_due_probes(instant now);

    /// @brief Recent milliseconds per token, or zero without evidence.
    double gap_ms(std::string_view name) const;

    /// @brief The group's median of that.
    double median_gap_ms() const;

    std::vector<std::string> ejected() const;

private:
    struct endpoint_record
    {
        progress_window window;
        progress_window recent;
        bool ejected = false;
        instant probe_at{};
        milliseconds probe_interval{};
        unsigned failures = 0;
    };

    void eject(instant now, endpoint_record& record);

    void evaluate(instant now, endpoint_record& record);
    bool can_eject() const;

    outlier_options options;
    std::map<std::string, endpoint_record, std::less<>> records;
};

} // namespace amaranthhatch::core::health
