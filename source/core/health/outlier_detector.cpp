#include "core/health/outlier_detector.hpp"

#include <algorithm>

namespace amaranthhatch::core::health
{

namespace
{

constexpr unsigned failures_to_eject = 2;
constexpr double tokens_to_readmit = 3;

// Each probe increases the interval to the next one by 1/probe_growth. The end
// of a short slowdown is detected early, and a long one costs few probes.
constexpr int probe_growth = 16;

} // namespace

outlier_detector::outlier_detector(outlier_options options) : options(options)
{
}

void outlier_detector::set_endpoints(std::span<const std::string> names)
{
    std::set<std::string, std::less<>> listed(names.begin(), names.end());
    std::erase_if(this->records, [&](const auto& entry)
                  { return !listed.contains(entry.first); });
    for (const auto& name : names)
        this->records.try_emplace(
            name,
            endpoint_record{progress_window(this->options.ejection_half_life),
                            progress_window(this->options.suspect_half_life),
                            false,
                            {},
                            {},
                            0});
}

void outlier_detector::progress(instant now, std::string_view name,
                                double tokens, double stream_ms)
{
    auto found = this->records.find(name);
    if (found == this->records.end())
        return;
    found->second.ejection_window.add(now, tokens, stream_ms);
    found->second.suspect_window.add(now, tokens, stream_ms);
    if (tokens > 0)
        found->second.failures = 0;
    this->evaluate(now, found->second);
}

void outlier_detector::failed(instant now, std::string_view name)
{
    auto found = this->records.find(name);
    if (found == this->records.end())
        return;
    endpoint_record& record = found->second;
    ++record.failures;
    if (record.ejected || record.failures < failures_to_eject ||
        !this->can_eject())
        return;
    this->eject(now, record);
}

void outlier_detector::eject(instant now, endpoint_record& record)
{
    record.ejected = true;
    record.probe_interval = this->options.first_probe_interval;
    record.probe_at = now + record.probe_interval;
    record.ejection_window.clear();
}

bool outlier_detector::can_eject() const
{
    auto count = static_cast<double>(this->ejected().size());
    auto total = static_cast<double>(this->records.size());
    return count + 1 <= total * this->options.max_ejected_share;
}

void outlier_detector::evaluate(instant now, endpoint_record& record)
{
    double median = this->median_gap_ms();
    if (median <= 0)
        return;
    double gap = record.ejection_window.gap_ms();
    if (!record.ejected)
    {
        bool slow = gap > median * this->options.slow_factor &&
                    record.ejection_window.evidence_ms() >=
                        this->options.min_evidence_ms;
        if (!slow || !this->can_eject())
            return;
        this->eject(now, record);
        return;
    }
    bool healthy =
        record.ejection_window.recent_tokens() >= tokens_to_readmit &&
        gap < median * this->options.healthy_factor;
    if (!healthy)
        return;
    record.ejected = false;
    record.failures = 0;
}

bool outlier_detector::is_ejected(std::string_view name) const
{
    auto found = this->records.find(name);
    return found != this->records.end() && found->second.ejected;
}

bool outlier_detector::is_suspect(std::string_view name,
                                  double median_gap_ms) const
{
    auto found = this->records.find(name);
    if (found == this->records.end())
        return false;
    const auto& window = found->second.suspect_window;
    return median_gap_ms > 0 &&
           window.evidence_ms() >= this->options.min_suspect_evidence_ms &&
           window.gap_ms() > median_gap_ms * this->options.suspect_factor;
}

std::vector<std::string> outlier_detector::take_due_probes(instant now)
{
    std::vector<std::string> probes;
    for (auto& [name, record] : this->records)
    {
        if (!record.ejected || now < record.probe_at)
            continue;
        record.probe_interval = std::min(
            record.probe_interval + record.probe_interval / probe_growth,
            this->options.max_probe_interval);
        record.probe_at = now + record.probe_interval;
        // Measurements from before the probe don't show the current speed.
        record.ejection_window.clear();
        probes.push_back(name);
    }
    return probes;
}

double outlier_detector::gap_ms(std::string_view name) const
{
    auto found = this->records.find(name);
    bool measured = found != this->records.end() &&
                    found->second.ejection_window.evidence_ms() > 0;
    return measured ? found->second.ejection_window.gap_ms() : 0;
}

double outlier_detector::median_gap_ms() const
{
    std::vector<double> gaps;
    for (const auto& [name, record] : this->records)
    {
        bool has_evidence =
            !record.ejected && record.ejection_window.evidence_ms() >=
                                   this->options.min_evidence_ms;
        if (has_evidence)
            gaps.push_back(record.ejection_window.gap_ms());
    }
    // A single endpoint has no peers to be compared with.
    if (gaps.size() < 2)
        return 0;
    // Uses the lower median: if there are two endpoints, the slower one is
    // compared with the faster one.
    auto middle = gaps.begin() + static_cast<long>((gaps.size() - 1) / 2);
    std::nth_element(gaps.begin(), middle, gaps.end());
    return *middle;
}

std::vector<std::string> outlier_detector::ejected() const
{
    std::vector<std::string> names;
    for (const auto& [name, record] : this->records)
    {
        if (record.ejected)
            names.push_back(name);
    }
    return names;
}

} // namespace amaranthhatch::core::health
