#include "metrics/registry.hpp"

#include <map>
#include <mutex>

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace amaranthhatch::metrics
{

struct registry::state
{
    explicit state(const std::string& address) : exposer(address, 1) {}

    prometheus::Exposer exposer;
    std::shared_ptr<prometheus::Registry> prometheus_registry =
        std::make_shared<prometheus::Registry>();
    std::mutex mutex;
    std::map<std::string, prometheus::Family<prometheus::Counter>*, std::less<>>
        counters;
    std::map<std::string, prometheus::Gauge*, std::less<>> gauges;
};

registry::registry(const std::string& address)
    : held(std::make_unique<state>(address))
{
    this->held->exposer.RegisterCollectable(this->held->prometheus_registry);
}

registry::~registry() = default;

void registry::count(std::string_view family, std::string_view label,
                     std::string_view value, double amount)
{
    std::lock_guard lock(this->held->mutex);
    auto found = this->held->counters.find(family);
    if (found == this->held->counters.end())
    {
        auto& created = prometheus::BuildCounter()
                            .Name(std::string(family))
                            .Register(*this->held->prometheus_registry);
        found = this->held->counters.emplace(family, &created).first;
    }
    found->second->Add({{std::string(label), std::string(value)}})
        .Increment(amount);
}

void registry::set(std::string_view family, double value)
{
    std::lock_guard lock(this->held->mutex);
    auto found = this->held->gauges.find(family);
    if (found == this->held->gauges.end())
    {
        auto& created = prometheus::BuildGauge()
                            .Name(std::string(family))
                            .Register(*this->held->prometheus_registry)
                            .Add({});
        found = this->held->gauges.emplace(family, &created).first;
    }
    found->second->Set(value);
}

} // namespace amaranthhatch::metrics
