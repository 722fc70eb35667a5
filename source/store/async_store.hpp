#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhatch::store
{

/// @brief How a call to the shared store ended.
enum class outcome : std::uint8_t
{
    done,
    /// A condition was not met; nothing was written.
    conflict,
    /// The key or lease doesn't exist.
    missing,
    /// The store no longer retains the changes after the requested revision.
    history_lost,
    /// The call failed and can't have taken effect.
    refused,
    /// The call may have taken effect or may still take effect.
    unknown
};

/// @brief The name of an outcome, for logs and metrics.
std::string_view outcome_name(outcome value);

/// @brief One key with its last change; a removed key has no value.
struct entry
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
};

/// @brief Entries of the store at one revision, or changes up to it.
struct listing
{
    outcome result = outcome::refused;
    /// The store's revision at the time of the response.
    std::uint64_t revision = 0;
    std::vector<entry> entries;
    /// Keys whose entries were missing after an outage of the store and may be
    /// written again. Set only in copies that come from other hosts.
    std::vector<std::string> expired = {};
    /// 0: all entries. Else only those that changed after this revision;
    /// applies to a copy of exactly this revision. Set only by other hosts.
    std::uint64_t base = 0;
    /// Keys that were removed after base.
    std::vector<std::string> removed = {};
};

/// @brief Requires that a key's last change is at this revision; 0: that the
/// key doesn't exist.
struct condition
{
    std::string key;
    std::uint64_t revision = 0;
};

/// @brief A key to write, bound to a lease unless that is 0.
struct assignment
{
    std::string key;
    std::string value;
    std::uint64_t lease = 0;
};

/// @brief A transaction: all writes and removals take effect if all conditions
/// are met, else none.
struct change
{
    std::vector<condition> conditions;
    std::vector<assignment> writes;
    std::vector<std::string> removals;
};

/// @brief The result of a commit.
struct change_result
{
    outcome result = outcome::refused;
    std::uint64_t revision = 0;
};

/// @brief The result of a call that grants, renews or revokes a lease.
struct lease_result
{
    outcome result = outcome::refused;
    std::uint64_t lease = 0;
    std::chrono::milliseconds time_to_live{};
};

/// @brief The platform's key-value service, called from one event loop.
///
/// Every call ends within its time limit; callbacks run on the loop's thread.
class async_store
{
public:
    using listing_callback = std::function<void(const listing&)>;
    using change_callback = std::function<void(const change_result&)>;
    using lease_callback = std::function<void(const lease_result&)>;

    virtual ~async_store() = default;

    /// @brief Reads all entries whose keys start with a prefix.
    virtual void list(std::string_view prefix, listing_callback done) = 0;

    /// @brief Waits for changes of keys with a prefix after a revision.
    ///
    /// Ends with done and no entries if nothing changed within the wait time.
    virtual void watch(std::string_view prefix, std::uint64_t after_revision,
                       std::chrono::milliseconds wait,
                       listing_callback done) = 0;

    virtual void commit(const change& wanted, change_callback done) = 0;
    virtual void grant(std::chrono::milliseconds time_to_live,
                       lease_callback done) = 0;
    virtual void renew(std::uint64_t lease, lease_callback done) = 0;
    virtual void revoke(std::uint64_t lease, lease_callback done) = 0;
};

} // namespace amaranthhatch::store
