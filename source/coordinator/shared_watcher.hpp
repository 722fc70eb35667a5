#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "adapters/key_value_store.hpp"
#include "coordinator/shared_state.hpp"

namespace amaranthhatch::coordinator
{

/// @brief What the watcher asks of the control state, from its own thread.
class shared_state_owner
{
public:
    virtual ~shared_state_owner() = default;

    virtual void found_configuration(const stored_configuration& value) = 0;
};

/// @brief Watches the configuration in the platform's service.
///
/// Only a few nodes of each zone watch; every node reads once at its start. In
/// an outage it tries on, slowly.
class shared_watcher
{
public:
    shared_watcher(adapters::key_value_store& store, shared_state_owner& owner);
    ~shared_watcher();

    void start();

    /// @brief Whether this node is one of those that watch.
    void set_watching(bool watching) { this->watching = watching; }

    bool reachable() const { return this->store_reachable; }

private:
    void run();
    void take(const adapters::store_entry& entry);
    void sleep(std::chrono::milliseconds time) const;

    adapters::key_value_store& store;
    shared_state_owner& owner;
    std::atomic<bool> watching{true};
    std::atomic<bool> stopping{false};
    std::atomic<bool> store_reachable{false};
    std::uint64_t seen_revision = 0;
    std::thread thread;
};

} // namespace amaranthhatch::coordinator
