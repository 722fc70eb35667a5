#include "core/health/outlier_detector.hpp"

#include <algorithm>

namespace amaranthhatch::core::health
{

namespace
{

constexpr unsigned failures_to_set_aside = 2;
constexpr double tokens_to_return = 3;

// Each probe that finds an endpoint slow still lengthens the time to the next
// one by this part: short troubles are found over soon, long ones cost little.
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
            name, record{progress_window(this->options.verdict_half_life),
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
    found->second.window.add(now, tokens, stream_ms);
    found->second.recent.add(now, tokens, stream_ms);
    if (tokens > 0)
        found->second.failures = 0;
    this->evaluate(now, found->second);
}

void outlier_detector::failed(instant now, std::string_view name)
{
    auto found = this->records.find(name);
    if (found == this->records.end())
        return;
    record& held = found->second;
    ++held.failures;
    if (held.aside || held.failures < failures_to_set_aside ||
        !this->room_aside())
        return;
    this->set_aside(now, held);
}

void outlier_detector::set_aside(instant now, record& held)
{
    held.aside = true;
    held.probe_interval = this->options.least_probe_interval;
    held.probe_at = now + held.probe_interval;
    held.window.clear();
}

bool outlier_detector::room_aside() const
{
    auto count = static_cast<double>(this->aside().size());
    auto total = static_cast<double>(this->records.size());
    return count + 1 <= total * this->options.most_aside_share;
}

void outlier_detector::evaluate(instant now, record& held)
{
    double median = this->median_gap_ms();
    if (median <= 0)
        return;
    double gap = held.window.gap_ms();
    if (!held.aside)
    {
        bool slow =
            gap > median * this->options.slow_factor &&
            held.window.evidence_ms() >= this->options.least_evidence_ms;
        if (!slow || !this->room_aside())
            return;
        this->set_aside(now, held);
        return;
    }
    bool healthy = held.window.recent_tokens() >= tokens_to_return &&
                   gap < median * this->options.healthy_factor;
    if (!healthy)
        return;
    held.aside = false;
    held.failures = 0;
}

bool outlier_detector::is_aside(std::string_view name) const
{
    auto found = this->records.find(name);
    return found != this->records.end() && found->second.aside;
}

bool outlier_detector::is_suspect(std::string_view name,
                                  double median_gap_ms) const
{
    auto found = this->records.find(name);
    if (found == this->records.end())
        return false;
    const auto& recent = found->second.recent;
    return median_gap_ms > 0 &&
           recent.evidence_ms() >= this->options.least_suspect_evidence_ms &&
           recent.gap_ms() > median_gap_ms * this->options.suspect_factor;
}

std::vector<std::string> outlier_detector::take_due_probes(instant now)
{
    std::vector<std::string> due;
    for (auto& [name, held] : this->records)
    {
        if (!held.aside || now < held.probe_at)
            continue;
        held.probe_interval =
            std::min(held.probe_interval + held.probe_interval / probe_growth,
                     this->options.most_probe_interval);
        held.probe_at = now + held.probe_interval;
        // What was seen before the probe says nothing about now.
        held.window.clear();
        due.push_back(name);
    }
    return due;
}

double outlier_detector::gap_ms(std::string_view name) const
{
    auto found = this->records.find(name);
    bool known =
        found != this->records.end() && found->second.window.evidence_ms() > 0;
    return known ? found->second.window.gap_ms() : 0;
}

double outlier_detector::median_gap_ms() const
{
    std::vector<double> gaps;
    for (const auto& [name, held] : this->records)
    {
        bool counts = !held.aside && held.window.evidence_ms() >=
                                         this->options.least_evidence_ms;
        if (counts)
            gaps.push_back(held.window.gap_ms());
    }
    // One endpoint alone has nothing to be compared with.
    if (gaps.size() < 2)
        return 0;
    // The lower median: of two endpoints the faster one is the measure.
    auto middle = gaps.begin() + static_cast<long>((gaps.size() - 1) / 2);
    std::nth_element(gaps.begin(), middle, gaps.end());
    return *middle;
}

std::vector<std::string> outlier_detector::aside() const
{
    std::vector<std::string> names;
    for (const auto& [name, held] : this->records)
    {
        if (held.aside)
            names.push_back(name);
    }
    return names;
}

} // namespace amaranthhatch::core::health
