#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "core/batches/job_log.hpp"
#include "core/instant.hpp"
#include "logging/event.hpp"
#include "metrics/recorder.hpp"

namespace amaranthhatch::batches
{

/// @brief Why an open item isn't running.
enum class wait_reason : std::uint8_t
{
    /// Due; the next pass over the items looks at it.
    none,
    quarantined,
    /// No endpoint of its service has a slot that batch items may use.
    no_slot,
    /// The same for an item that ends late anyway, which gets fewer slots.
    no_slot_when_late,
    /// This host has started its share of the runs on the present view of the
    /// loads.
    share_used,
    /// None of its service's endpoints may be chosen.
    no_endpoint,
    retry_after_failure,
    retry_after_close,
    retry_after_error,
    retry_after_refusal,
    no_lease,
    not_serving,
    /// The copies haven't synced the job yet.
    not_committed,
    configuration_unread,
    /// Has a result that the copies haven't synced yet, so that no caller sees
    /// it.
    result_not_committed
};

inline constexpr std::size_t wait_reason_count =
    static_cast<std::size_t>(wait_reason::result_not_committed) + 1;

std::string_view reason_name(wait_reason reason);

/// @brief An open item that isn't running.
struct waiting_item
{
    const core::batches::job& job;
    std::uint32_t number = 0;
    wait_reason reason = wait_reason::none;
};

/// @brief Logs and counts why open items aren't running.
///
/// Told of all of them in rounds, a second apart. An item has a line when its
/// reason is new, or has lasted where it is one that usually passes at once.
class item_waits
{
public:
    /// @brief Adds what led to the reason to an item's line.
    using details =
        std::function<void(const waiting_item& item, logging::event& line)>;

    explicit item_waits(metrics::recorder& metrics);

    /// @brief Begins a round; false if none is due yet.
    bool begin(core::instant now);

    void add(const waiting_item& item, core::instant now, const details& write);

    /// @brief Ends the round. Items that weren't added in it are forgotten.
    void end(core::instant now);

    /// @brief The number of items that are remembered.
    std::size_t size() const;

private:
    struct wait
    {
        wait_reason reason = wait_reason::none;
        core::instant since{};
        std::uint64_t round = 0;
        bool logged = false;
    };

    struct oldest_item
    {
        std::int64_t submitted_ms = 0;
        std::string job;
        std::uint32_t number = 0;
        std::string id;
        wait_reason reason = wait_reason::none;
        core::milliseconds waited{};
    };

    void log(const waiting_item& item, core::milliseconds waited,
             const details& write);
    void note_oldest(const waiting_item& item, core::milliseconds waited);
    void set_gauges();
    void log_summary(core::instant now);

    metrics::recorder& metrics;
    std::map<std::string, std::map<std::uint32_t, wait>, std::less<>> waits;
    std::uint64_t round = 0;
    core::instant next_round{};
    core::instant next_summary{};
    /// Lines of this round, and those that it left out.
    std::size_t lines = 0;
    std::size_t dropped = 0;
    /// Items of this round by reason.
    std::array<std::size_t, wait_reason_count> counts{};
    /// The gauges as last set.
    std::array<std::size_t, wait_reason_count> shown{};
    std::size_t total = 0;
    oldest_item oldest;
};

} // namespace amaranthhatch::batches
