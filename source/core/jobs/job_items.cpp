#include "core/jobs/job_items.hpp"

namespace amaranthhatch::core::jobs
{

job_items::job_items(std::uint32_t total)
    : total(total), tries(total, 0), done(total, false)
{
    for (std::uint32_t item = 0; item < total; ++item)
        this->waiting.push_back(item);
}

std::optional<std::uint32_t> job_items::next()
{
    while (!this->waiting.empty())
    {
        std::uint32_t item = this->waiting.front();
        this->waiting.pop_front();
        if (!this->done[item])
            return item;
    }
    return std::nullopt;
}

bool job_items::requeue(std::uint32_t item, run_end reason)
{
    if (reason == run_end::displaced)
    {
        // An interrupted item goes to the front, since it can be resumed.
        this->waiting.push_front(item);
        return true;
    }
    if (++this->tries[item] >= tries_limit)
        return false;
    // A failed item goes to the back, so that it does not delay the others.
    this->waiting.push_back(item);
    return true;
}

bool job_items::finish(std::uint32_t item, bool item_failed)
{
    if (item >= this->total || this->done[item])
        return false;
    this->done[item] = true;
    ++this->finished;
    this->failed += item_failed ? 1 : 0;
    return true;
}

deadline_forecast forecast_deadline(std::uint32_t items_left,
                                    double items_per_second,
                                    std::int64_t now_unix_ms,
                                    std::int64_t deadline_unix_ms)
{
    constexpr double ms_per_second = 1000;
    // A job is at risk when it needs more than this share of the time left.
    constexpr double safe_share = 0.8;
    deadline_forecast forecast;
    if (items_left == 0 || items_per_second <= 0)
    {
        bool late = items_left > 0 && now_unix_ms > deadline_unix_ms;
        forecast.verdict =
            late ? messages::forecast::not_doable : messages::forecast::on_time;
        return forecast;
    }
    double needed_ms = items_left / items_per_second * ms_per_second;
    auto left_ms = static_cast<double>(deadline_unix_ms - now_unix_ms);
    forecast.end_unix_ms = now_unix_ms + static_cast<std::int64_t>(needed_ms);
    if (needed_ms > left_ms)
        forecast.verdict = messages::forecast::not_doable;
    else if (needed_ms > left_ms * safe_share)
        forecast.verdict = messages::forecast::at_risk;
    return forecast;
}

} // namespace amaranthhatch::core::jobs
