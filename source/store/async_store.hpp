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
    /// A condition did not hold; nothing was written.
    conflict,
    /// The key or lease doesn't exist.
    missing,
    /// The changes after the asked revision are no longer kept.
    history_lost,
    /// The call can't have taken effect.
    refused,
    /// The call may have taken effect or may do so later.
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

/// @brief Entries as of a revision of the store.
struct listing
{
    outcome result = outcome::refused;
    /// The store's revision when it answered; later changes are newer.
    std::uint64_t revision = 0;
    std::vector<entry> entries;
    /// Keys that were gone after an outage and may come back; only copies of
    /// other hosts say so.
    std::vector<std::string> expired = {};
};

/// @brief A key that must stand at a revision; 0 says it must not exist.
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

/// @brief Writes that take effect together, if all conditions hold.
struct change
{
    std::vector<condition> conditions;
    std::vector<assignment> writes;
    std::vector<std::string> removals;
};

/// @brief The end of a change or of a call on a lease.
struct change_result
{
    outcome result = outcome::refused;
    std::uint64_t revision = 0;
};

/// @brief The end of a call on a lease.
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

    /// @brief Reads all entries below a prefix.
    virtual void list(std::string_view prefix, listing_callback done) = 0;

    /// @brief Waits for changes below a prefix after a revision.
    ///
    /// Ends with done and no entries where nothing changed in time.
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
