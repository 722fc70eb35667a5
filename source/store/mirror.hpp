#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/instant.hpp"
#include "store/async_store.hpp"
#include "store/copy_history.hpp"

namespace amaranthhatch::store
{

/// @brief How a mirror gets changes from the store.
enum class mirror_mode : std::uint8_t
{
    /// Long-polls for changes; for keys that change seldom.
    watch,
    /// Lists all entries at an interval; for keys that change often.
    poll
};

/// @brief The prefix that a mirror copies, and the intervals of its reads.
struct mirror_options
{
    std::string prefix;
    mirror_mode mode = mirror_mode::watch;
    /// Longest wait of one watch call, or the time between two lists.
    core::milliseconds interval{};
    /// Entries missing right after an outage are retained for this time.
    core::milliseconds removal_grace{};
    /// Shortest outage in which entries can expire.
    core::milliseconds min_expiry_outage{};
    /// Pause between a change and the next watch call, per entry: many changes
    /// at one time, as when all hosts register, then take few calls.
    core::milliseconds watch_pause_per_entry{};
    /// Bytes of the longest value that is kept; 0: no limit. A longer one is
    /// kept as an empty value, so that copies of the entries stay small.
    std::size_t value_limit = 0;
};

/// @brief A local copy of the entries with one key prefix. Its revision never
/// decreases.
///
/// Updated from the store, and from other hosts' copies while this host doesn't
/// read the store or can't reach it.
class mirror
{
public:
    using change_callback = std::function<void()>;

    /// @brief When list calls began that were all answered.
    struct read_span
    {
        core::instant first;
        core::instant last;
    };

    mirror(boost::asio::io_context& loop, async_store& source,
           mirror_options options);

    /// @brief Calls back after each change of the entries.
    void on_change(change_callback changed);
    void start();
    void stop();

    /// @brief Replaces the entries by another host's copy if that is newer;
    /// returns whether it was. Changes are applied only where their base is the
    /// revision of this copy.
    bool adopt(const listing& peer_copy);

    /// @brief Sets whether this host reads from the store itself.
    ///
    /// If not, the mirror is updated only by adopt().
    void set_active(bool reads)
    {
        this->reads_store = reads;
        if (!reads)
            this->read_times.reset();
    }

    /// @brief Changes the interval, from the next call on.
    void set_interval(core::milliseconds changed)
    {
        this->options.interval = changed;
    }

    const std::map<std::string, entry, std::less<>>& entries() const
    {
        return this->current_entries;
    }
    const entry* find(std::string_view key) const;

    /// @brief The store's revision that the copy reflects; 0: no copy yet.
    std::uint64_t as_of() const { return this->as_of_revision; }

    /// @brief The revision of the newest change in the copy.
    std::uint64_t changed() const { return this->changed_revision; }

    /// @brief The complete copy, to send to another host.
    listing snapshot() const;

    /// @brief What changed after a revision, to send to a host whose copy has
    /// that revision; the complete copy where the changes aren't known.
    listing changes_since(std::uint64_t revision) const;

    /// @brief True while this host's calls to the store fail.
    bool failing() const { return this->failures > 0; }

    /// @brief When the store last answered a read; nothing if it never has.
    const std::optional<core::instant>& confirmed() const
    {
        return this->confirmed_at;
    }

    /// @brief The time for which this host has read the store without a
    /// failure; nothing if it doesn't read it.
    const std::optional<read_span>& reads() const { return this->read_times; }

private:
    void list();
    void watch();
    void on_listing(const listing& listed);
    void on_watch(const listing& changes);
    void replace(const listing& listed);
    bool retain_expired(const std::string& key, const listing& listed,
                        core::instant now);
    listing merged(const listing& changes) const;
    void remove_expired();
    entry limited(const entry& received) const;
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
    /// True after the first successful list call.
    bool complete = false;
    bool stopped = false;
    bool call_pending = false;
    bool reads_store = true;
    core::instant replaced_at{};
    core::instant list_began{};
    std::optional<read_span> read_times;
    std::optional<core::instant> confirmed_at;
    int failures = 0;
    core::instant failing_since{};
    /// Keys of entries that are retained although the store doesn't list them,
    /// with the time of their removal. Copies for other hosts name these keys
    /// but don't hold the entries.
    std::map<std::string, core::instant, std::less<>> expired;
    /// True from the end of an outage in which entries may have expired until
    /// the next replacement of the entries.
    bool after_outage = false;
    copy_history history;
};

} // namespace amaranthhatch::store
