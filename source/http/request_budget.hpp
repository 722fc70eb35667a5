#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace amaranthhatch::http
{

/// @brief The memory that a process may use for requests that callers send:
/// heads, trailers, chunk framing, bodies and read buffers, at their capacity.
///
/// If it is used up, requests that aren't read to their end are ended: first
/// the largest of those whose rate is low for what they hold, then the one that
/// began last. Small requests are ended only well over the limit, and a single
/// large one never, since the limit for bodies bounds it. All functions must be
/// called on the thread of one event loop.
class request_budget
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// @brief What one connection holds; released with the object.
    class share
    {
    public:
        /// end refuses the request. It must release the memory and call
        /// release() before it returns.
        share(std::shared_ptr<request_budget> owner, std::function<void()> end);
        ~share();
        share(const share&) = delete;
        share& operator=(const share&) = delete;

        /// @brief Starts the measurement of a request's progress.
        void begin(time_point now);

        /// @brief Sets what the request holds, and makes room if the budget is
        /// used up; this request may be the one that ends.
        ///
        /// received counts the bytes received since begin(); remaining is the
        /// number of bytes still to come, if it is known.
        void update(std::size_t bytes, std::size_t received,
                    std::optional<std::size_t> remaining, time_point now);

        /// @brief Sets what a request that was read to its end holds until
        /// release(). False if there is no memory to handle it.
        bool complete(std::size_t bytes, time_point now);

        void release();

    private:
        friend class request_budget;

        void set(std::size_t new_bytes);
        bool slow(time_point now) const;

        std::shared_ptr<request_budget> owner;
        std::function<void()> end;
        std::size_t bytes = 0;
        std::size_t received = 0;
        std::optional<std::size_t> remaining;
        time_point begun;
        time_point window_begun;
        time_point last_progress;
        std::size_t window_received = 0;
        double last_rate = 0;
        bool receiving = false;
    };

    explicit request_budget(std::size_t limit) : limit(limit) {}

    void set_limit(std::size_t bytes) { this->limit = bytes; }

    /// @brief Bytes that all requests hold.
    std::size_t held_bytes() const { return this->total; }

private:
    void make_room(time_point now);
    share* find_victim(time_point now) const;

    std::size_t limit;
    std::size_t total = 0;
    std::vector<share*> shares;
    bool making_room = false;
};

} // namespace amaranthhatch::http
