#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace amaranthhatch::http
{

/// @brief The memory that a process may use for bytes of responses which it has
/// read and not passed on.
///
/// Endpoints and callers decide how many of them there are. While the budget is
/// used up, responses that hold more than a small amount aren't read on; those
/// below it are, so that a few large ones don't delay all others. If nothing is
/// read on for a while, the largest is ended.
class response_budget : public std::enable_shared_from_this<response_budget>
{
public:
    /// @brief What one response holds; released with the object.
    class share
    {
    public:
        /// resume is called once the response may be read on, and evict if it
        /// has to end; neither from within a function of the share.
        share(std::shared_ptr<response_budget> owner,
              std::function<void()> resume, std::function<void()> evict);
        ~share();
        share(const share&) = delete;
        share& operator=(const share&) = delete;

        /// @brief Sets the number of bytes that the response holds.
        void set(std::size_t bytes);

        /// @brief True if the response must not be read on until resume is
        /// called.
        bool waits();

    private:
        friend class response_budget;

        std::shared_ptr<response_budget> owner;
        std::function<void()> resume;
        std::function<void()> evict;
        std::size_t bytes = 0;
        bool waiting = false;
    };

    response_budget(boost::asio::io_context& loop, std::size_t limit);

    void set_limit(std::size_t bytes);

    /// @brief Bytes that a caller may leave unread before the response is no
    /// longer read from its endpoint.
    std::size_t unread_limit() const;

private:
    void on_release();
    void resume_waiting();
    void schedule_eviction();
    void evict_largest();
    share* find_waiting() const;

    boost::asio::io_context& loop;
    boost::asio::steady_timer timer;
    std::size_t limit;
    std::size_t total = 0;
    std::vector<share*> shares;
    bool eviction_due = false;
    bool resume_due = false;
};

} // namespace amaranthhatch::http
