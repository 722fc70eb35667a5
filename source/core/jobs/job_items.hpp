#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "core/instant.hpp"
#include "core/messages/jobs.hpp"

namespace amaranthhatch::core::jobs
{

/// @brief Why an item's run ended without a result.
enum class run_end : std::uint8_t
{
    /// There was no slot, or it was preempted; doesn't count as a try.
    displaced,
    /// The endpoint failed; counts as a try.
    failed
};

/// @brief The items of a job that its owner runs.
///
/// Each item finishes exactly once: with a result, or with an error after
/// tries_limit failed tries. Slow items don't delay the others.
class job_items
{
public:
    static constexpr std::uint32_t tries_limit = 3;

    explicit job_items(std::uint32_t total);

    /// @brief The next item to run, or nothing while no item is waiting.
    std::optional<std::uint32_t> next();

    /// @brief Queues an item for another run; false where it has no tries left.
    bool requeue(std::uint32_t item, run_end reason);

    /// @brief Marks an item as finished, whether or not its result is committed
    /// yet.
    ///
    /// Returns false where the item is finished already: the first result
    /// counts.
    bool finish(std::uint32_t item, bool failed);

    bool all_finished() const { return this->finished == this->total; }
    std::uint32_t count() const { return this->total; }
    std::uint32_t finished_count() const { return this->finished; }
    std::uint32_t failed_count() const { return this->failed; }

private:
    std::uint32_t total;
    std::uint32_t finished = 0;
    std::uint32_t failed = 0;
    std::deque<std::uint32_t> waiting;
    std::vector<std::uint8_t> tries;
    std::vector<bool> done;
};

/// @brief Forecast of whether a job meets its deadline.
struct deadline_forecast
{
    messages::forecast verdict = messages::forecast::on_time;
    /// When the last item is expected to finish; zero while no rate has been
    /// measured or no items are left.
    std::int64_t end_unix_ms = 0;
};

/// @brief Compares the time that the remaining items need at the measured rate
/// with the deadline.
deadline_forecast forecast_deadline(std::uint32_t items_left,
                                    double items_per_second,
                                    std::int64_t now_unix_ms,
                                    std::int64_t deadline_unix_ms);

} // namespace amaranthhatch::core::jobs
