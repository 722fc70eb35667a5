#include "coordinator/shared_watcher.hpp"

#include <chrono>

#include "logging/event.hpp"

namespace amaranthhatch::coordinator
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds watch_time{1000};
constexpr milliseconds pause_after_failure{500};
constexpr milliseconds idle_pause{1000};
constexpr milliseconds sleep_step{50};

} // namespace

shared_watcher::shared_watcher(adapters::key_value_store& store,
                               shared_state_owner& owner)
    : store(store), owner(owner)
{
}

shared_watcher::~shared_watcher()
{
    this->stopping = true;
    if (this->thread.joinable())
        this->thread.join();
}

void shared_watcher::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void shared_watcher::sleep(milliseconds time) const
{
    for (milliseconds slept{0}; slept < time && !this->stopping;
         slept += sleep_step)
        std::this_thread::sleep_for(sleep_step);
}

void shared_watcher::run()
{
    bool first = true;
    while (!this->stopping)
    {
        bool watch = first || this->watching;
        if (!watch)
        {
            this->sleep(idle_pause);
            continue;
        }
        auto changes =
            this->store.watch(shared_prefix, first ? 0 : this->seen_revision,
                              first ? milliseconds(0) : watch_time);
        bool done = changes.result == adapters::store_result::done;
        if (done != this->store_reachable)
            logging::event(logging::level::warning, "store_reachable")
                .with("reachable", done ? "true" : "false");
        this->store_reachable = done;
        if (!done)
        {
            this->sleep(pause_after_failure);
            continue;
        }
        first = false;
        this->seen_revision = changes.revision;
        for (const auto& entry : changes.entries)
            this->take(entry);
    }
}

void shared_watcher::take(const adapters::store_entry& entry)
{
    if (entry.key != configuration_key)
        return;
    if (auto value = read_configuration(entry.value))
        this->owner.found_configuration(*value);
}

} // namespace amaranthhatch::coordinator
