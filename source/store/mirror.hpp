#pragma once

#include <functional>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/instant.hpp"
#include "store/async_store.hpp"

namespace amaranthhatch::store
{

/// @brief How a mirror keeps up with the store.
enum class mirror_mode : std::uint8_t
{
    /// One waiting call; for keys that change seldom.
    watch,
    /// A read at each interval; for keys that change all the time.
    poll
};

/// @brief What a mirror copies, and how.
struct mirror_options
{
    std::string prefix;
    mirror_mode mode = mirror_mode::watch;
    /// The time of one waiting call, or between two reads.
    core::milliseconds interval{};
    /// Entries that were gone right after an outage are kept this long.
    core::milliseconds removal_grace{};
    /// Only an outage of this length can have let entries lapse.
    core::milliseconds min_expiry_outage{};
};

/// @brief A copy of the entries below one prefix that never goes back.
///
/// Fed by the store, and by other hosts' copies while the store can't be
/// reached from here.
class mirror
{
public:
    using change_callback = std::function<void()>;

    mirror(boost::asio::io_context& loop, async_store& source,
           mirror_options options);

    /// @brief Calls back after each change of the entries.
    void on_change(change_callback changed);
    void start();
    void stop();

    /// @brief Takes another host's copy where it is newer; true if it was.
    bool adopt(const listing& peer_copy);

    /// @brief Says whether this host reads from the store itself.
    ///
    /// Otherwise other hosts' copies keep this one up to date.
    void set_active(bool reads) { this->reads_store = reads; }

    /// @brief Changes the time between two reads, from the next one on.
    void set_interval(core::milliseconds changed)
    {
        this->options.interval = changed;
    }

    const std::map<std::string, entry, std::less<>>& entries() const
    {
        return this->current_entries;
    }
    const entry* find(std::string_view key) const;

    /// @brief The store's revision at which the copy was complete; 0: none.
    std::uint64_t as_of() const { return this->as_of_revision; }

    /// @brief The newest change in the copy.
    std::uint64_t changed() const { return this->changed_revision; }

    /// @brief The whole copy, for another host.
    listing snapshot() const;

    /// @brief True while the store doesn't answer this host.
    bool failing() const { return this->failures > 0; }

private:
    void list();
    void watch();
    void on_listing(const listing& listed);
    void on_watch(const listing& changes);
    void replace(const listing& listed);
    bool retain_expired(const std::string& key, const listing& listed,
                        core::instant now);
    void remove_expired();
    void retry();
    void record_success();
    void schedule(core::milliseconds after);
    void report_change();

    boost::asio::io_context& loop;
    async_store& source;
    mirror_options options;
    boost::asio::steady_timer timer;
    change_callback changed_callback;
    std::map<std::string, entry, std::less<>> current_entries;
    std::uint64_t as_of_revision = 0;
    std::uint64_t changed_revision = 0;
    bool complete = false;
    bool stopped = false;
    bool call_pending = false;
    bool reads_store = true;
    core::instant replaced_at{};
    int failures = 0;
    core::instant failing_since{};
    /// Entries that are kept although the store doesn't list them, and until
    /// when. Other hosts are told, but never given them.
    std::map<std::string, core::instant, std::less<>> expired;
    bool after_outage = false;
};

} // namespace amaranthhatch::store
