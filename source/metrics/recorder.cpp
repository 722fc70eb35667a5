#include "metrics/recorder.hpp"

#include <map>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace amaranthhatch::metrics
{

namespace
{

// From a local round trip to the longest deadline, doubling.
const prometheus::Histogram::BucketBoundaries latency_buckets_s{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5, 10, 20};

} // namespace

struct recorder::state
{
    prometheus::Registry store;
    std::map<std::string, prometheus::Counter*, std::less<>> counters;
    std::map<std::string, prometheus::Gauge*, std::less<>> gauges;
    std::map<std::string, prometheus::Histogram*, std::less<>> histograms;

    prometheus::Counter& counter(std::string_view family,
                                 const prometheus::Labels& labels,
                                 const std::string& cached);
};

prometheus::Counter& recorder::state::counter(std::string_view family,
                                              const prometheus::Labels& labels,
                                              const std::string& cached)
{
    auto found = this->counters.find(cached);
    if (found == this->counters.end())
    {
        auto& made = prometheus::BuildCounter()
                         .Name(std::string(family))
                         .Register(this->store)
                         .Add(labels);
        found = this->counters.emplace(cached, &made).first;
    }
    return *found->second;
}

recorder::recorder() : held(std::make_unique<state>()) {}

recorder::~recorder() = default;

void recorder::count(std::string_view family, std::string_view label,
                     std::string_view value, double amount)
{
    std::string cached(family);
    cached.append("\n").append(value);
    this->held
        ->counter(family, {{std::string(label), std::string(value)}}, cached)
        .Increment(amount);
}

void recorder::count(std::string_view family, std::string_view label,
                     std::string_view value, std::string_view second_label,
                     std::string_view second_value)
{
    std::string cached(family);
    cached.append("\n").append(value).append("\n").append(second_value);
    this->held
        ->counter(family,
                  {{std::string(label), std::string(value)},
                   {std::string(second_label), std::string(second_value)}},
                  cached)
        .Increment();
}

void recorder::set(std::string_view family, double value)
{
    auto found = this->held->gauges.find(family);
    if (found == this->held->gauges.end())
    {
        auto& made = prometheus::BuildGauge()
                         .Name(std::string(family))
                         .Register(this->held->store)
                         .Add({});
        found = this->held->gauges.emplace(family, &made).first;
    }
    found->second->Set(value);
}

void recorder::observe(std::string_view family, double seconds)
{
    auto found = this->held->histograms.find(family);
    if (found == this->held->histograms.end())
    {
        auto& made = prometheus::BuildHistogram()
                         .Name(std::string(family))
                         .Register(this->held->store)
                         .Add({}, latency_buckets_s);
        found = this->held->histograms.emplace(family, &made).first;
    }
    found->second->Observe(seconds);
}

std::string recorder::text() const
{
    return prometheus::TextSerializer().Serialize(this->held->store.Collect());
}

} // namespace amaranthhatch::metrics
