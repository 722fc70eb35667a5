#include "store/mirror.hpp"

#include <algorithm>

#include "host/boot_clock.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::store
{

namespace
{

// The store answers in some milliseconds; a failed call is tried again after
// a few times that, and every two seconds in a long outage: each is priced.
constexpr core::milliseconds first_retry{50};
constexpr core::milliseconds last_retry{2000};
// How soon a host that became its zone's reader begins to watch.
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
    this->calling = true;
    this->source.list(this->options.prefix,
                      [this](const listing& got) { this->on_listing(got); });
}

void mirror::watch()
{
    if (!this->active)
        return this->schedule(idle_check);
    this->calling = true;
    // Hosts end their waiting calls at different times.
    auto wait = this->options.interval * (0.6 + 0.4 * host::uniform());
    this->source.watch(this->options.prefix, this->as_of_revision,
                       std::chrono::duration_cast<core::milliseconds>(wait),
                       [this](const listing& got) { this->on_watch(got); });
}

void mirror::on_listing(const listing& got)
{
    this->calling = false;
    if (this->stopped)
        return;
    if (got.result != outcome::done)
        return this->retry();
    this->note_success();
    this->complete = true;
    if (got.revision >= this->as_of_revision)
        this->replace(got);
    if (this->options.mode == mirror_mode::watch)
        return this->watch();
    this->schedule(this->options.interval);
}

void mirror::on_watch(const listing& got)
{
    this->calling = false;
    if (this->stopped)
        return;
    if (got.result == outcome::history_lost)
    {
        logging::event(logging::level::warning, "store_history_lost")
            .with("prefix", this->options.prefix)
            .with("revision", static_cast<std::int64_t>(this->as_of_revision));
        return this->list();
    }
    if (got.result != outcome::done)
        return this->retry();
    this->note_success();
    bool changed = false;
    for (const auto& event : got.entries)
    {
        // Another host's copy may have brought this change before.
        if (event.revision <= this->as_of_revision)
            continue;
        auto found = this->known.find(event.key);
        if (event.removed && found == this->known.end())
            continue;
        changed = true;
        this->changed_revision =
            std::max(this->changed_revision, event.revision);
        if (event.removed)
            this->known.erase(found);
        else
            this->known[event.key] = event;
    }
    this->as_of_revision = std::max(this->as_of_revision, got.revision);
    if (changed)
        this->report_change();
    this->watch();
}

// Only what was gone right after an outage can have lapsed in it; what goes
// later was removed.
bool mirror::keeps(const std::string& key, const listing& got,
                   core::instant now)
{
    auto known_lapsed = this->lapsed.find(key);
    if (known_lapsed != this->lapsed.end())
        return now < known_lapsed->second;
    bool told = std::find(got.lapsed.begin(), got.lapsed.end(), key) !=
                got.lapsed.end();
    if (!told && !this->after_outage)
        return false;
    this->lapsed[key] = now + this->options.removal_grace;
    return true;
}

void mirror::replace(const listing& got)
{
    bool changed = false;
    auto now = host::boot_now();
    std::map<std::string, entry, std::less<>> next;
    for (const auto& each : got.entries)
    {
        auto found = this->known.find(each.key);
        bool same = found != this->known.end() &&
                    found->second.revision >= each.revision;
        changed = changed || !same;
        this->changed_revision =
            std::max(this->changed_revision, each.revision);
        next[each.key] = same ? found->second : each;
        this->lapsed.erase(each.key);
    }
    for (const auto& [key, old] : this->known)
    {
        if (next.contains(key))
            continue;
        if (this->keeps(key, got, now))
        {
            next[key] = old;
            continue;
        }
        changed = true;
        this->lapsed.erase(key);
        // Hosts that follow this copy learn of removals by this revision.
        this->changed_revision = std::max(this->changed_revision, got.revision);
    }
    this->after_outage = false;
    this->known = std::move(next);
    this->fresh_at = now;
    this->as_of_revision = got.revision;
    if (changed)
        this->report_change();
}

void mirror::drop_lapsed()
{
    auto now = host::boot_now();
    bool changed = false;
    for (auto at = this->lapsed.begin(); at != this->lapsed.end();)
    {
        bool over = now >= at->second;
        if (over)
            this->known.erase(at->first);
        changed = changed || over;
        at = over ? this->lapsed.erase(at) : std::next(at);
    }
    if (changed)
        this->report_change();
}

bool mirror::adopt(const listing& theirs)
{
    if (theirs.revision <= this->as_of_revision)
        return false;
    this->replace(theirs);
    return true;
}

const entry* mirror::find(std::string_view key) const
{
    auto found = this->known.find(key);
    return found == this->known.end() ? nullptr : &found->second;
}

listing mirror::snapshot() const
{
    listing out{outcome::done, this->as_of_revision, {}};
    for (const auto& [key, each] : this->known)
        if (this->lapsed.contains(key))
            out.lapsed.push_back(key);
        else
            out.entries.push_back(each);
    return out;
}

void mirror::note_success()
{
    if (this->failures == 0)
        return;
    // What another host's copy brought meanwhile can't have lapsed before.
    auto now = host::boot_now();
    auto outage = now - this->failing_since;
    auto unknown = now - std::max(this->failing_since, this->fresh_at);
    this->failures = 0;
    logging::event(logging::level::info, "store_regained")
        .with("prefix", this->options.prefix)
        .with("outage_ms", outage.count());
    this->after_outage = unknown >= this->options.lapse_outage &&
                         this->options.removal_grace.count() > 0;
}

void mirror::retry()
{
    if (this->failures == 0)
    {
        this->failing_since = host::boot_now();
        logging::event(logging::level::warning, "store_lost")
            .with("prefix", this->options.prefix);
    }
    this->failures++;
    auto pause =
        std::min(first_retry * (1 << std::min(this->failures, 5)), last_retry);
    auto spread = 0.5 + host::uniform();
    this->schedule(std::chrono::duration_cast<core::milliseconds>(
        std::chrono::duration<double, std::milli>(
            static_cast<double>(pause.count()) * spread)));
}

void mirror::schedule(core::milliseconds after)
{
    this->timer.expires_after(after);
    this->timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (error || this->stopped || this->calling)
                return;
            this->drop_lapsed();
            if (this->options.mode == mirror_mode::watch && this->complete)
                return this->watch();
            if (!this->active && this->complete)
                return this->schedule(this->options.interval / 4);
            this->list();
        });
}

void mirror::report_change()
{
    if (this->changed_callback)
        this->changed_callback();
}

} // namespace amaranthhatch::store
