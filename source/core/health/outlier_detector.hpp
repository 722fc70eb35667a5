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

/// @brief Thresholds for the ejection and readmission of an endpoint.
///
/// The gap of an endpoint is its generating time per token.
struct outlier_options
{
    /// An endpoint is ejected above this multiple of the group's median gap.
    double slow_factor = 1.9;
    /// An endpoint is suspect above this multiple, and new requests avoid it;
    /// this needs less evidence than an ejection.
    double suspect_factor = 1.6;
    /// An ejected endpoint is readmitted below this multiple.
    double healthy_factor = 1.4;
    /// Generating time that must be observed before an endpoint is ejected or
    /// suspected.
    double min_evidence_ms = 120;
    double min_suspect_evidence_ms = 50;
    /// Half-lives of the measurements behind an ejection and a suspicion.
    milliseconds ejection_half_life{120};
    milliseconds suspect_half_life{40};
    /// Time from an ejection to the first probe; it grows with every probe up
    /// to the maximum.
    milliseconds first_probe_interval{200};
    milliseconds max_probe_interval{1600};
    /// Largest share of a group that may be ejected at one time.
    double max_ejected_share = 0.4;
};

/// @brief Ejects endpoints that are much slower than the rest of their group.
///
/// The endpoints' own load reports show a problem late. The detector uses only
/// what callers measure: the generating time per token, which grows at once
/// when an endpoint slows down, freezes or stops sending.
class outlier_detector
{
public:
    explicit outlier_detector(outlier_options options);

    void set_endpoints(std::span<const std::string> names);

    /// @brief Adds the progress that one requester measured in an interval.
    ///
    /// stream_ms is the generating time, summed over the requester's streams.
    void progress(instant now, std::string_view name, double tokens,
                  double stream_ms);

    /// @brief Records that a call to the endpoint failed.
    void failed(instant now, std::string_view name);

    bool is_ejected(std::string_view name) const;

    /// @brief Returns whether the endpoint's latest progress is slow compared
    /// with the group's median, on less evidence than an ejection needs.
    bool is_suspect(std::string_view name, double median_gap_ms) const;

    /// @brief Returns the endpoints to probe now and schedules their next
    /// probe.
    std::vector<std::string> take_due_probes(instant now);

    /// @brief Returns recent milliseconds per token, or zero without evidence.
    double gap_ms(std::string_view name) const;

    /// @brief Returns the median gap of the endpoints that aren't ejected; zero
    /// if fewer than two have enough evidence.
    double median_gap_ms() const;

    std::vector<std::string> ejected() const;

private:
    struct endpoint_record
    {
        progress_window ejection_window;
        progress_window suspect_window;
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
