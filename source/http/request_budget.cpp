#include "http/request_budget.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhatch::http
{

namespace
{

// Most online requests are smaller; a few large ones are ended first.
constexpr std::size_t small_bytes = 16u << 10;
// Share of the limit that small requests may take beyond it.
constexpr std::size_t small_quarters = 4;
// Shortest time over which a rate is measured.
constexpr std::chrono::duration<double> rate_window{1.0};
// A request is slow if it would take longer than this to receive again what it
// holds.
constexpr double slow_seconds = 10;
// A request that needs no longer than this for its rest is nearly complete.
constexpr double nearly_complete_seconds = 1;

} // namespace

request_budget::share::share(std::shared_ptr<request_budget> owner,
                             std::function<void()> end)
    : owner(std::move(owner)), end(std::move(end))
{
    this->owner->shares.push_back(this);
}

request_budget::share::~share()
{
    this->release();
    std::erase(this->owner->shares, this);
}

void request_budget::share::begin(time_point now)
{
    this->receiving = true;
    this->received = 0;
    this->remaining.reset();
    this->begun = now;
    this->window_begun = now;
    this->last_progress = now;
    this->window_received = 0;
    this->last_rate = 0;
}

void request_budget::share::update(std::size_t new_bytes,
                                   std::size_t new_received,
                                   std::optional<std::size_t> new_remaining,
                                   time_point now)
{
    std::chrono::duration<double> elapsed = now - this->window_begun;
    if (elapsed >= rate_window)
    {
        this->last_rate =
            static_cast<double>(new_received - this->window_received) /
            elapsed.count();
        this->window_begun = now;
        this->window_received = new_received;
    }
    if (new_received > this->received)
        this->last_progress = now;
    this->received = new_received;
    this->remaining = new_remaining;
    this->set(new_bytes);
    this->owner->make_room(now);
}

bool request_budget::share::complete(std::size_t new_bytes, time_point now)
{
    this->receiving = false;
    this->set(new_bytes);
    this->owner->make_room(now);
    auto most = this->owner->limit + this->owner->limit / small_quarters;
    return new_bytes <= small_bytes || this->owner->total <= most ||
           this->owner->total - new_bytes <= small_bytes;
}

void request_budget::share::release()
{
    this->receiving = false;
    this->set(0);
}

void request_budget::share::set(std::size_t new_bytes)
{
    this->owner->total += new_bytes;
    this->owner->total -= this->bytes;
    this->bytes = new_bytes;
}

bool request_budget::share::slow(time_point now) const
{
    // A body that stops after a burst has a high rate for a while.
    if (now - this->last_progress >= rate_window)
        return true;
    std::chrono::duration<double> elapsed = now - this->window_begun;
    if (now - this->begun < rate_window)
        return false;
    auto rate = this->last_rate;
    if (elapsed >= rate_window)
        rate = static_cast<double>(this->received - this->window_received) /
               elapsed.count();
    if (this->remaining &&
        static_cast<double>(*this->remaining) <= rate * nearly_complete_seconds)
        return false;
    return rate * slow_seconds < static_cast<double>(this->bytes);
}

void request_budget::make_room(time_point now)
{
    if (this->making_room)
        return;
    this->making_room = true;
    while (this->total > this->limit)
    {
        auto* victim = this->find_victim(now);
        if (victim == nullptr)
            break;
        // The share may be destroyed by its own function.
        auto end = victim->end;
        victim->release();
        end();
    }
    this->making_room = false;
}

request_budget::share* request_budget::find_victim(time_point now) const
{
    bool far_over = this->total > this->limit + this->limit / small_quarters;
    share* largest_slow = nullptr;
    share* newest = nullptr;
    bool newest_is_large = false;
    for (auto* each : this->shares)
    {
        bool large = each->bytes > small_bytes;
        bool alone = this->total - each->bytes <= small_bytes;
        if (!each->receiving || each->bytes == 0 || alone ||
            (!large && !far_over))
            continue;
        if (each->slow(now) &&
            (largest_slow == nullptr || each->bytes > largest_slow->bytes))
            largest_slow = each;
        bool newer = newest == nullptr || (large && !newest_is_large) ||
                     (large == newest_is_large && each->begun > newest->begun);
        if (newer)
        {
            newest = each;
            newest_is_large = large;
        }
    }
    return largest_slow != nullptr ? largest_slow : newest;
}

} // namespace amaranthhatch::http
