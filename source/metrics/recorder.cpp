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

// From a local round trip to the longest deadline; each boundary is 1.5 to 2.5
// times the one before.
const prometheus::Histogram::BucketBoundaries latency_buckets_s{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5, 10, 20};

} // namespace

struct recorder::state
{
    prometheus::Registry prometheus_registry;
    std::map<std::string, prometheus::Counter*, std::less<>> counters;
    std::map<std::string, prometheus::Gauge*, std::less<>> gauges;
    std::map<std::string, prometheus::Histogram*, std::less<>> histograms;

    prometheus::Gauge& gauge(std::string_view family,
                             const prometheus::Labels& labels,
                             const std::string& cache_key);
    prometheus::Counter& counter(std::string_view family,
                                 const prometheus::Labels& labels,
                                 const std::string& cache_key);
};

prometheus::Counter& recorder::state::counter(std::string_view family,
                                              const prometheus::Labels& labels,
                                              const std::string& cache_key)
{
    auto found = this->counters.find(cache_key);
    if (found == this->counters.end())
    {
        auto& created = prometheus::BuildCounter()
                            .Name(std::string(family))
                            .Register(this->prometheus_registry)
                            .Add(labels);
        found = this->counters.emplace(cache_key, &created).first;
    }
    return *found->second;
}

prometheus::Gauge& recorder::state::gauge(std::string_view family,
                                          const prometheus::Labels& labels,
                                          const std::string& cache_key)
{
    auto found = this->gauges.find(cache_key);
    if (found == this->gauges.end())
    {
        auto& created = prometheus::BuildGauge()
                            .Name(std::string(family))
                            .Register(this->prometheus_registry)
                            .Add(labels);
        found = this->gauges.emplace(cache_key, &created).first;
    }
    return *found->second;
}

recorder::recorder() : held(std::make_unique<state>()) {}

recorder::~recorder() = default;

void recorder::count(std::string_view family, std::string_view label,
                     std::string_view value, double amount)
{
    std::string cache_key(family);
    cache_key.append("\n").append(value);
    this->held
        ->counter(family, {{std::string(label), std::string(value)}}, cache_key)
        .Increment(amount);
}

void recorder::count(std::string_view family, std::string_view label,
                     std::string_view value, std::string_view second_label,
                     std::string_view second_value)
{
    std::string cache_key(family);
    cache_key.append("\n").append(value).append("\n").append(second_value);
    this->held
        ->counter(family,
                  {{std::string(label), std::string(value)},
                   {std::string(second_label), std::string(second_value)}},
                  cache_key)
        .Increment();
}

void recorder::set(std::string_view family, double value)
{
    this->held->gauge(family, {}, std::string(family)).Set(value);
}

void recorder::set(std::string_view family, std::string_view label,
                   std::string_view value, double amount)
{
    std::string cache_key(family);
    cache_key.append("\n").append(value);
    this->held
        ->gauge(family, {{std::string(label), std::string(value)}}, cache_key)
        .Set(amount);
}

void recorder::observe(std::string_view family, double seconds)
{
    auto found = this->held->histograms.find(family);
    if (found == this->held->histograms.end())
    {
        auto& created = prometheus::BuildHistogram()
                            .Name(std::string(family))
                            .Register(this->held->prometheus_registry)
                            .Add({}, latency_buckets_s);
        found = this->held->histograms.emplace(family, &created).first;
    }
    found->second->Observe(seconds);
}

std::string recorder::text() const
{
    return prometheus::TextSerializer().Serialize(
        this->held->prometheus_registry.Collect());
}

} // namespace amaranthhatch::metrics
