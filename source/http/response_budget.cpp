#include "http/response_budget.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

namespace amaranthhatch::http
{

namespace asio = boost::asio;

namespace
{

// A response that holds no more than this is always read on.
constexpr std::size_t unpaused_bytes = 32u << 10;
// What a caller may leave unread while there is memory: enough for the pauses
// of a connection that is slow for a moment.
constexpr std::size_t most_unread_bytes = 256u << 10;
// Time for which responses wait for others to end before the largest is ended.
constexpr std::chrono::milliseconds eviction_wait{500};
// Share of the limit below which responses are read on. Without a distance to
// the limit, each small response that ends would let one block be read.
constexpr std::size_t resumed_eighths = 7;

} // namespace

response_budget::share::share(std::shared_ptr<response_budget> owner,
                              std::function<void()> resume,
                              std::function<void()> evict)
    : owner(std::move(owner)), resume(std::move(resume)),
      evict(std::move(evict))
{
    this->owner->shares.push_back(this);
}

response_budget::share::~share()
{
    this->set(0);
    std::erase(this->owner->shares, this);
}

void response_budget::share::set(std::size_t new_bytes)
{
    bool released = new_bytes < this->bytes;
    this->owner->total += new_bytes;
    this->owner->total -= this->bytes;
    this->bytes = new_bytes;
    if (released)
        this->owner->on_release();
}

bool response_budget::share::waits()
{
    bool full = this->owner->total >= this->owner->limit;
    // The oldest goes on to its end, which frees memory for the next; if all
    // waited, none would end.
    auto oldest = std::ranges::find_if(
        this->owner->shares, [](const share* each)
        { return each->resume && each->bytes > unpaused_bytes; });
    this->waiting = full && this->bytes > unpaused_bytes && *oldest != this;
    if (this->waiting)
        this->owner->schedule_eviction();
    return this->waiting;
}

response_budget::response_budget(asio::io_context& loop, std::size_t limit)
    : loop(loop), timer(loop), limit(limit)
{
}

std::size_t response_budget::unread_limit() const
{
    return this->total >= this->limit ? unpaused_bytes : most_unread_bytes;
}

void response_budget::set_limit(std::size_t bytes)
{
    this->limit = bytes;
    this->on_release();
}

response_budget::share* response_budget::find_waiting() const
{
    // While there is no room, only the oldest may be read on.
    bool full = this->total >= this->limit;
    for (auto* each : this->shares)
    {
        if (each->waiting)
            return each;
        if (full && each->resume && each->bytes > unpaused_bytes)
            return nullptr;
    }
    return nullptr;
}

void response_budget::on_release()
{
    bool enough = this->total < this->limit / 8 * resumed_eighths ||
                  this->total >= this->limit;
    if (!enough || this->resume_due || this->find_waiting() == nullptr)
        return;
    this->resume_due = true;
    asio::post(this->loop,
               [self = this->shared_from_this()] { self->resume_waiting(); });
}

void response_budget::resume_waiting()
{
    this->resume_due = false;
    if (this->find_waiting() == nullptr)
        return;
    this->timer.cancel();
    this->eviction_due = false;
    while (auto* next = this->find_waiting())
    {
        next->waiting = false;
        // The share may be destroyed by its own function.
        auto resume = next->resume;
        if (resume)
            resume();
    }
    if (this->total >= this->limit)
        this->schedule_eviction();
}

void response_budget::schedule_eviction()
{
    if (this->eviction_due)
        return;
    this->eviction_due = true;
    this->timer.expires_after(eviction_wait);
    this->timer.async_wait(
        [weak = this->weak_from_this()](boost::system::error_code error)
        {
            auto self = weak.lock();
            if (!error && self && self->eviction_due)
                self->evict_largest();
        });
}

void response_budget::evict_largest()
{
    this->eviction_due = false;
    if (this->total < this->limit)
        return this->resume_waiting();
    auto waits = [](const share* each) { return each->waiting; };
    if (std::ranges::none_of(this->shares, waits))
        return;
    auto largest = std::ranges::max_element(
        this->shares, {}, [](const share* each) { return each->bytes; });
    auto evict = (*largest)->evict;
    if (evict)
        evict();
    this->schedule_eviction();
}

} // namespace amaranthhatch::http
