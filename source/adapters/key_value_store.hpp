#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhatch::adapters
{

/// @brief How a call to the platform's key-value service ended.
enum class store_result : std::uint8_t
{
    done,
    /// Another version stands; nothing was written.
    conflict,
    /// The call can't have taken effect.
    unreachable,
    /// The call may have taken effect; read back to find out.
    unknown
};

/// @brief One key with its version; version 0 stands for a missing key.
struct store_entry
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

/// @brief The answer to a read or a write: the entry as it now stands.
struct store_answer
{
    store_result result = store_result::unreachable;
    store_entry entry;
};

/// @brief The entries below a prefix that are newer than a revision.
struct store_changes
{
    store_result result = store_result::unreachable;
    std::uint64_t revision = 0;
    std::vector<store_entry> entries;
};

/// @brief The platform's key-value service: compare-and-swap and watches.
class key_value_store
{
public:
    virtual ~key_value_store() = default;

    virtual store_answer read(std::string_view key) = 0;

    /// @brief Writes where the key still has the expected version.
    ///
    /// With a time to live the key is removed after it; 0 keeps it for good.
    virtual store_answer write(std::string_view key, std::string_view value,
                               std::uint64_t expected_version,
                               std::chrono::milliseconds time_to_live = {}) = 0;

    /// @brief Waits for changes below a prefix, up to a time limit.
    virtual store_changes watch(std::string_view prefix,
                                std::uint64_t after_revision,
                                std::chrono::milliseconds wait) = 0;
};

/// @brief Writes and, where the answer was lost, reads back what happened.
///
/// The value must differ from every other writer's, so that reading it back
/// proves that this write took effect. Gives done, conflict or unreachable;
/// unknown only where reading back failed too.
store_answer write_resolved(key_value_store& store, std::string_view key,
                            std::string_view value,
                            std::uint64_t expected_version,
                            std::chrono::milliseconds time_to_live = {});

} // namespace amaranthhatch::adapters
