#include "store/mirror.hpp"

#include <algorithm>

#include "errors/contain.hpp"
#include "host/boot_clock.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::store
{

namespace
{

// The store responds within a few milliseconds; the first retry of a failed
// call follows after a multiple of that. Further retries pause longer, up to
// about two seconds, as calls are billed.
constexpr core::milliseconds min_retry_pause{50};
constexpr core::milliseconds max_retry_pause{2000};
// Interval at which a mirror that doesn't read the store checks whether it has
// to; bounds the delay until the host that takes over reading for its zone
// begins to watch.
constexpr core::milliseconds idle_check{500};

} // namespace

mirror::mirror(boost::asio::io_context& loop, async_store& source,
               mirror_options options)
    : loop(loop), source(source), options(std::move(options)), timer(loop)
{
}

void mirror::on_change(change_callback changed)
{
    this->changed_callback = std::move(changed);
}

void mirror::start()
{
    this->list();
}

void mirror::stop()
{
    this->stopped = true;
    this->timer.cancel();
}

void mirror::list()
{
    this->call_pending = true;
    this->list_began = host::boot_now();
    this->source.list(this->options.prefix, [this](const listing& listed)
                      { this->on_listing(listed); });
}

void mirror::watch()
{
    if (!this->reads_store)
        return this->schedule(idle_check);
    this->call_pending = true;
    // A random wait time keeps the hosts' calls from ending all at once.
    auto wait = this->options.interval * (0.6 + 0.4 * host::uniform());
    this->source.watch(this->options.prefix, this->as_of_revision,
                       std::chrono::duration_cast<core::milliseconds>(wait),
                       [this](const listing& listed)
                       { this->on_watch(listed); });
}

void mirror::on_listing(const listing& listed)
{
    this->call_pending = false;
    if (this->stopped)
        return;
    if (listed.result != outcome::done)
        return this->retry();
    this->record_success();
    this->complete = true;
    this->read_times =
        read_span{this->read_times ? this->read_times->first : this->list_began,
                  this->list_began};
    if (listed.revision >= this->as_of_revision)
        this->replace(listed);
    if (this->options.mode == mirror_mode::watch)
        return this->watch();
    this->schedule(this->options.interval);
}

void mirror::on_watch(const listing& changes)
{
    this->call_pending = false;
    if (this->stopped)
        return;
    if (changes.result == outcome::history_lost)
    {
        logging::event(logging::level::warning, "store_history_lost")
            .with("prefix", this->options.prefix)
            .with("revision", static_cast<std::int64_t>(this->as_of_revision));
        return this->list();
    }
    if (changes.result != outcome::done)
        return this->retry();
    this->record_success();
    bool changed = false;
    std::vector<std::string> removed;
    for (const auto& event : changes.entries)
    {
        // This change may already be applied from another host's copy.
        if (event.revision <= this->as_of_revision)
            continue;
        auto found = this->current_entries.find(event.key);
        // Another host may hold an entry that was written and removed since
        // this host's last call, so its removal is recorded all the same.
        if (event.removed)
            removed.push_back(event.key);
        if (event.removed && found == this->current_entries.end())
            continue;
        changed = true;
        this->changed_revision =
            std::max(this->changed_revision, event.revision);
        if (event.removed)
            this->current_entries.erase(found);
        else
            this->current_entries[event.key] = this->limited(event);
    }
    this->history.record(this->as_of_revision, changes.revision,
                         std::move(removed), true);
    this->as_of_revision = std::max(this->as_of_revision, changes.revision);
    if (changed)
        this->report_change();
    auto pause = this->options.watch_pause_per_entry *
                 static_cast<int>(this->current_entries.size());
    if (changed && pause.count() > 0)
        return this->schedule(pause);
    this->watch();
}

// Returns whether an entry that the listing lacks is retained for the removal
// grace. Only an entry missing in the first listing after an outage can have
// expired because its owner couldn't renew it; one missing later was removed.
bool mirror::retain_expired(const std::string& key, const listing& listed,
                            core::instant now)
{
    auto known_expired = this->expired.find(key);
    if (known_expired != this->expired.end())
        return now < known_expired->second;
    bool expired_at_peer =
        std::find(listed.expired.begin(), listed.expired.end(), key) !=
        listed.expired.end();
    if (!expired_at_peer && !this->after_outage)
        return false;
    this->expired[key] = now + this->options.removal_grace;
    return true;
}

void mirror::replace(const listing& listed)
{
    bool changed = false;
    auto now = host::boot_now();
    std::map<std::string, entry, std::less<>> next_entries;
    std::vector<std::string> removed;
    for (const auto& listed_entry : listed.entries)
    {
        auto found = this->current_entries.find(listed_entry.key);
        bool unchanged = found != this->current_entries.end() &&
                         found->second.revision >= listed_entry.revision;
        changed = changed || !unchanged;
        this->changed_revision =
            std::max(this->changed_revision, listed_entry.revision);
        next_entries[listed_entry.key] =
            unchanged ? found->second : this->limited(listed_entry);
        this->expired.erase(listed_entry.key);
    }
    for (const auto& [key, old] : this->current_entries)
    {
        if (next_entries.contains(key))
            continue;
        if (!this->expired.contains(key))
            removed.push_back(key);
        if (this->retain_expired(key, listed, now))
        {
            next_entries[key] = old;
            continue;
        }
        changed = true;
        this->expired.erase(key);
        // Removals advance the revision, so that hosts which follow this copy
        // fetch it again.
        this->changed_revision =
            std::max(this->changed_revision, listed.revision);
    }
    this->after_outage = false;
    this->current_entries = std::move(next_entries);
    this->replaced_at = now;
    this->history.record(this->as_of_revision, listed.revision,
                         std::move(removed), false);
    this->as_of_revision = listed.revision;
    if (changed)
        this->report_change();
}

void mirror::remove_expired()
{
    auto now = host::boot_now();
    bool changed = false;
    for (auto position = this->expired.begin();
         position != this->expired.end();)
    {
        bool grace_ended = now >= position->second;
        if (grace_ended)
            this->current_entries.erase(position->first);
        changed = changed || grace_ended;
        position =
            grace_ended ? this->expired.erase(position) : std::next(position);
    }
    if (changed)
        this->report_change();
}

entry mirror::limited(const entry& received) const
{
    if (this->options.value_limit == 0 ||
        received.value.size() <= this->options.value_limit)
        return received;
    logging::event(logging::level::warning, "store_value_too_long")
        .with("key", received.key)
        .with("bytes", static_cast<std::int64_t>(received.value.size()))
        .with("limit", static_cast<std::int64_t>(this->options.value_limit));
    return {received.key, {}, received.revision, received.removed};
}

bool mirror::adopt(const listing& peer_copy)
{
    if (peer_copy.revision <= this->as_of_revision)
        return false;
    if (peer_copy.base != 0 && peer_copy.base != this->as_of_revision)
        return false;
    this->replace(peer_copy.base == 0 ? peer_copy : this->merged(peer_copy));
    return true;
}

// Entries that this host retains aren't in its copy as of the base, so that
// they expire here as after a complete copy.
listing mirror::merged(const listing& changes) const
{
    std::map<std::string, entry, std::less<>> entries = this->current_entries;
    for (const auto& [key, expires] : this->expired)
        entries.erase(key);
    for (const auto& key : changes.expired)
        entries.erase(key);
    for (const auto& key : changes.removed)
        entries.erase(key);
    for (const auto& changed : changes.entries)
        entries[changed.key] = changed;
    listing out{outcome::done, changes.revision, {}, changes.expired};
    for (auto& [key, merged_entry] : entries)
        out.entries.push_back(std::move(merged_entry));
    return out;
}

const entry* mirror::find(std::string_view key) const
{
    auto found = this->current_entries.find(key);
    return found == this->current_entries.end() ? nullptr : &found->second;
}

listing mirror::snapshot() const
{
    listing copy{outcome::done, this->as_of_revision, {}};
    for (const auto& [key, current_entry] : this->current_entries)
        if (this->expired.contains(key))
            copy.expired.push_back(key);
        else
            copy.entries.push_back(current_entry);
    return copy;
}

listing mirror::changes_since(std::uint64_t revision) const
{
    if (revision == 0 || !this->history.covers(revision))
        return this->snapshot();
    listing changes{outcome::done, this->as_of_revision, {}};
    changes.base = revision;
    for (const auto& [key, current_entry] : this->current_entries)
        if (this->expired.contains(key))
            changes.expired.push_back(key);
        else if (current_entry.revision > revision)
            changes.entries.push_back(current_entry);
    for (auto& key : this->history.removed_after(revision))
        if (!this->current_entries.contains(key))
            changes.removed.push_back(std::move(key));
    return changes;
}

void mirror::record_success()
{
    this->confirmed_at = host::boot_now();
    if (this->failures == 0)
        return;
    // The time without data ends with a copy from another host, as entries in
    // that copy can't have expired before it was made.
    auto now = host::boot_now();
    auto outage = now - this->failing_since;
    auto unread_time = now - std::max(this->failing_since, this->replaced_at);
    this->failures = 0;
    logging::event(logging::level::info, "store_regained")
        .with("prefix", this->options.prefix)
        .with("outage_ms", outage.count());
    this->after_outage = unread_time >= this->options.min_expiry_outage &&
                         this->options.removal_grace.count() > 0;
}

void mirror::retry()
{
    this->read_times.reset();
    if (this->failures == 0)
    {
        this->failing_since = host::boot_now();
        logging::event(logging::level::warning, "store_lost")
            .with("prefix", this->options.prefix);
    }
    this->failures++;
    auto pause = std::min(min_retry_pause * (1 << std::min(this->failures, 5)),
                          max_retry_pause);
    auto jitter = 0.5 + host::uniform();
    this->schedule(std::chrono::duration_cast<core::milliseconds>(
        std::chrono::duration<double, std::milli>(
            static_cast<double>(pause.count()) * jitter)));
}

void mirror::schedule(core::milliseconds after)
{
    this->timer.expires_after(after);
    this->timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (error || this->stopped || this->call_pending)
                return;
            this->remove_expired();
            if (this->options.mode == mirror_mode::watch && this->complete)
                return this->watch();
            if (!this->reads_store && this->complete)
                return this->schedule(this->options.interval / 4);
            this->list();
        });
}

void mirror::report_change()
{
    // The mirror reads on, whatever a reader of the entries makes of them.
    if (this->changed_callback)
        errors::contain("apply a change of the store", this->changed_callback);
}

} // namespace amaranthhatch::store
