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
    /// There was no slot, or it was taken back; no try is used up.
    displaced,
    /// The endpoint failed; a try is used up.
    failed
};

/// @brief The items of a job that its owner runs.
///
/// Each item ends once: with a result, or with an error of its own after a
/// bounded number of tries. Stragglers hold back no other item.
class job_items
{
public:
    static constexpr std::uint32_t tries_limit = 3;

    explicit job_items(std::uint32_t total);

    /// @brief The next item to run, or nothing while all are under way.
    std::optional<std::uint32_t> next();

    /// @brief An item goes back to be run again; true where it may be.
    bool requeue(std::uint32_t item, run_end why);

    /// @brief An item has its result, committed or on its way.
    ///
    /// False where it has one already: the first result stands.
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

/// @brief How a job with a due time stands.
struct deadline_forecast
{
    messages::forecast verdict = messages::forecast::on_time;
    /// When the last item is expected to end; zero while nothing is known.
    std::int64_t end_unix_ms = 0;
};

/// @brief Compares the items left, at the measured rate, with the due time.
deadline_forecast forecast_deadline(std::uint32_t items_left,
                                    double items_per_second,
                                    std::int64_t now_unix_ms,
                                    std::int64_t deadline_unix_ms);

} // namespace amaranthhatch::core::jobs
