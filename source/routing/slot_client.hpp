#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <thread>
#include <vector>

#include "core/instant.hpp"
#include "core/messages/slots.hpp"
#include "metrics/registry.hpp"
#include "net/rpc_client.hpp"
#include "routing/view_client.hpp"

namespace amaranthhatch::routing
{

/// @brief A slot in use. The holder counts progress on it as it goes.
struct held_slot
{
    std::uint64_t ticket = 0;
    std::string group;
    std::string endpoint;
    std::string address;
    core::messages::work_kind kind = core::messages::work_kind::online;
    std::uint32_t expected_tokens = 0;
    core::milliseconds hedge_after{};
    /// True where this process chose the endpoint by itself.
    bool local = false;
    std::atomic<std::uint32_t> tokens{0};
    /// When generating time was last counted; zero while it isn't counted.
    std::atomic<std::int64_t> counted_from_ms{0};
    /// The endpoint is slow; the stream should go on elsewhere.
    std::atomic<bool> leave{false};
    /// The slot was taken back for online work.
    std::atomic<bool> yielded{false};
};

using slot_ptr = std::shared_ptr<held_slot>;

/// @brief A slot, or the reason why there is none.
struct slot_result
{
    slot_ptr slot;
    core::refusal reason = core::refusal::none;
    core::milliseconds retry_after{};
};

/// @brief Asks for slots in a group; the wanted group's parts are filled in.
struct slot_request
{
    std::string serves;
    core::messages::want_slot want;
};

/// @brief How a process comes by slots: a strategy with its baselines.
class slot_source
{
public:
    virtual ~slot_source() = default;

    virtual slot_result acquire(const slot_request& request) = 0;

    /// @brief Gives a slot back with what was seen on it.
    virtual void release(const slot_ptr& slot, bool failed,
                         core::milliseconds first_token) = 0;
};

/// @brief Asks the home coordinator of a group, and reports to it.
///
/// Where no coordinator answers, online requests choose an endpoint here, by
/// the fewest streams of this process, among those known last.
class slot_client : public slot_source
{
public:
    slot_client(std::string asker, std::string region, bool takes_yields,
                view_client& view, net::rpc_client& peers,
                metrics::registry& metrics);
    ~slot_client() override;

    void start();

    slot_result acquire(const slot_request& request) override;
    void release(const slot_ptr& slot, bool failed,
                 core::milliseconds first_token) override;

    /// @brief Slots that are held now.
    std::size_t held_count() const;

private:
    struct group_state
    {
        std::string home;
        core::instant whole_sent{};
        std::map<std::uint64_t, slot_ptr> held;
        std::vector<core::messages::finished_ticket> finished;
        std::vector<core::messages::endpoint_address> endpoints;
        core::instant endpoints_read{};
        core::instant used{};
    };

    struct outgoing
    {
        std::string home;
        core::messages::slot_report report;
        bool read_endpoints = false;
    };

    slot_result acquire_in(const std::string& group, const std::string& region,
                           const slot_request& request);
    bool is_silent(const std::string& address) const;
    std::optional<core::messages::slot_answer>
    ask_patiently(const core::messages::member& home,
                  core::messages::want_slot want);
    slot_result granted(const std::string& group, const std::string& home,
                        const slot_request& request,
                        const core::messages::slot_answer& answer);
    slot_result choose_locally(const std::string& group,
                               const slot_request& request);
    void report_loop();
    std::vector<outgoing> collect_reports();
    void count_progress(group_state& group,
                        core::messages::slot_report& report);
    void send(const outgoing& out);
    void apply_leave(const std::string& group,
                     const core::messages::report_answer& answer);
    void read_endpoints(const std::string& group, const std::string& home);
    void yield_loop();
    void apply_yield(std::span<const std::uint64_t> tickets);

    std::string asker;
    std::string region;
    bool takes_yields;
    view_client& view;
    net::rpc_client& peers;
    metrics::registry& metrics;
    mutable std::mutex guard;
    std::map<std::string, group_state, std::less<>> groups;
    std::map<std::string, core::instant, std::less<>> silent_homes;
    std::set<std::string, std::less<>> awaiting_yield;
    std::uint64_t next_local_ticket;
    std::condition_variable released;
    bool release_pending = false;
    std::atomic<bool> stopping{false};
    std::thread reporter;
};

} // namespace amaranthhatch::routing
