#include "adapters/key_value_store.hpp"

namespace amaranthhatch::adapters
{

store_answer write_resolved(key_value_store& store, std::string_view key,
                            std::string_view value,
                            std::uint64_t expected_version,
                            std::chrono::milliseconds time_to_live)
{
    constexpr int read_tries = 3;
    store_answer written =
        store.write(key, value, expected_version, time_to_live);
    if (written.result != store_result::unknown)
        return written;
    for (int attempt = 0; attempt < read_tries; ++attempt)
    {
        store_answer found = store.read(key);
        if (found.result != store_result::done)
            continue;
        if (found.entry.value == value)
            return found;
        if (found.entry.version == expected_version)
        {
            // The write may still be on its way, so its fate stays unknown.
            continue;
        }
        found.result = store_result::conflict;
        return found;
    }
    return written;
}

} // namespace amaranthhatch::adapters
