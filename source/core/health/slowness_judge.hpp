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
struct judge_options
{
    /// Set aside at this multiple of the group's median gap.
    double slow_factor = 2.0;
    /// Back at this multiple.
    double healthy_factor = 1.4;
    /// Generating time that a verdict needs at least.
    double least_evidence_ms = 120;
    /// Set aside for at least this long before a probe is sent.
    milliseconds least_aside{400};
    /// Time between probes of an endpoint that is set aside.
    milliseconds probe_interval{500};
    /// Share of a group that is set aside at most.
    double most_aside_share = 0.4;
};

/// @brief Judges a group's endpoints by their progress, one against another.
///
/// Endpoints' own load reports admit trouble late, so only what callers see
/// counts: generating time per token, which grows at once when an endpoint
/// slows down, freezes or falls silent.
class slowness_judge
{
  public:
    explicit slowness_judge(judge_options options);

    void set_endpoints(std::span<const std::string> names);

    /// @brief Adds what one asker saw in an interval.
    void progress(instant now, std::string_view name, double tokens,
                  double stream_ms);

    /// @brief A call to the endpoint failed outright.
    void failed(instant now, std::string_view name);

    bool is_aside(std::string_view name) const;

    /// @brief True where an endpoint that is aside is due for a probe.
    bool probe_due(instant now, std::string_view name) const;

    /// @brief A probe was sent.
    void probed(instant now, std::string_view name);

    /// @brief Recent milliseconds per token, or zero without evidence.
    double gap_ms(std::string_view name) const;

    /// @brief The group's median of that.
    double median_gap_ms() const;

    std::vector<std::string> aside() const;

    /// @brief Endpoints that came back since the last call.
    std::vector<std::string> take_returned();

  private:
    struct record
    {
        progress_window window;
        bool aside = false;
        instant since{};
        instant probed{};
        unsigned failures = 0;
    };

    void judge(instant now, const std::string& name, record& held);
    bool room_aside() const;

    judge_options options;
    std::map<std::string, record, std::less<>> records;
    std::vector<std::string> returned;
};

} // namespace amaranthhatch::core::health
