#pragma once

#include <string>

#include "adapters/key_value_store.hpp"

namespace amaranthhatch::adapters
{

/// @brief The key-value service over its HTTP interface.
///
/// Keys are read and written under /v1/kv/KEY; a write names the expected
/// version in its query; /v1/watch waits for changes below a prefix.
class http_key_value_store : public key_value_store
{
public:
    explicit http_key_value_store(std::string address);

    store_answer read(std::string_view key) override;
    store_answer write(std::string_view key, std::string_view value,
                       std::uint64_t expected_version,
                       std::chrono::milliseconds time_to_live = {}) override;
    store_changes watch(std::string_view prefix, std::uint64_t after_revision,
                        std::chrono::milliseconds wait) override;

private:
    std::string address;
};

} // namespace amaranthhatch::adapters
