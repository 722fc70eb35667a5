#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "adapters/host_list.hpp"
#include "core/instant.hpp"
#include "core/messages/slots.hpp"
#include "core/slots/slot_scheduler.hpp"
#include "metrics/registry.hpp"
#include "net/rpc_server.hpp"

namespace amaranthhatch::coordinator
{

/// @brief The name of the group of a model's or service's endpoints in a
/// region.
std::string group_name(std::string_view serves, std::string_view region);

/// @brief Schedules the groups this coordinator is asked about.
///
/// Runs on the control thread. A reply handle is kept for each waiting asker.
class slot_service
{
public:
    /// @brief Runs a probe of a group's endpoint elsewhere; its result comes
    /// back by probe_ended().
    using prober = std::function<void(const std::string& group,
                                      const core::slots::slot_probe& probe)>;

    slot_service(core::slots::scheduler_options options,
                 metrics::registry& metrics, prober probe);

    void probe_ended(core::instant now, const std::string& group,
                     const std::string& endpoint, std::uint32_t tokens,
                     core::milliseconds time);

    void set_endpoints(core::instant now,
                       const std::vector<adapters::listed_endpoint>& listed);
    void want(core::instant now, const core::messages::want_slot& request,
              net::reply_handle reply);
    void report(core::instant now, const core::messages::slot_report& told,
                net::reply_handle reply);
    void await_preemption(core::instant now,
                          const core::messages::await_preemption& request,
                          net::reply_handle reply);
    void endpoints(const core::messages::endpoints_request& request,
                   net::reply_handle reply) const;
    void tick(core::instant now);

    std::vector<core::messages::endpoint_status> status() const;

private:
    struct yield_waiter
    {
        std::unique_ptr<net::reply_handle> reply;
        core::instant end{};
        std::vector<std::uint64_t> tickets;
    };

    core::slots::slot_scheduler* find(const std::string& group);
    void send_output(const std::string& group,
                     core::slots::slot_scheduler& from);
    void send_yields();

    core::slots::scheduler_options options;
    metrics::registry& metrics;
    prober probe;
    std::map<std::string, core::slots::slot_scheduler, std::less<>> groups;
    std::map<core::slots::waiter_id, net::reply_handle> waiters;
    core::slots::waiter_id next_waiter = 1;
    std::map<std::string, yield_waiter, std::less<>> yields;
};

} // namespace amaranthhatch::coordinator
