#include "routing/claim_client.hpp"

#include "core/hash.hpp"
#include "host/boot_clock.hpp"
#include "logging/event.hpp"
#include "process/program.hpp"

namespace amaranthhatch::routing
{

using adapters::store_result;

namespace
{

// The value of a key that was given back; the next caller may take it.
constexpr std::string_view free_value = "free";
// A key that was given back is forgotten soon, as nobody needs it.
constexpr std::chrono::milliseconds free_time{1000};

constexpr std::string_view state_names[] = {"granted", "taken", "unreachable"};

} // namespace

std::string claim_client::store_key(const std::string& key)
{
    return "claims/" + core::hash_hex(key);
}

claim_client::claim_client(adapters::key_value_store& store,
                           std::chrono::milliseconds window,
                           metrics::registry& metrics)
    : store(store), window(window), metrics(metrics)
{
}

claim_result claim_client::claim(const std::string& key)
{
    auto began = host::boot_now();
    auto attempt = process::random_text();
    auto place = store_key(key);
    auto answer =
        adapters::write_resolved(this->store, place, attempt, 0, this->window);
    bool given_back = answer.result == store_result::conflict &&
                      answer.entry.value == free_value;
    if (given_back)
        answer = adapters::write_resolved(this->store, place, attempt,
                                          answer.entry.version, this->window);
    claim_result out;
    if (answer.result == store_result::done)
    {
        // A process that was frozen over half of its lease doesn't use it.
        bool fresh = host::boot_now() - began < this->window / 2;
        out = {fresh ? claim_state::granted : claim_state::unreachable,
               answer.entry.version};
    }
    else if (answer.result == store_result::conflict)
        out.state = claim_state::taken;
    auto name = state_names[static_cast<std::size_t>(out.state)];
    this->metrics.count("hatch_claims_total", "result", name);
    logging::event(logging::level::info, "claim")
        .with("claim", place)
        .with("result", name)
        .with("version", static_cast<std::int64_t>(answer.entry.version))
        .with("after_release", given_back ? 1 : 0)
        .with("took_ms", (host::boot_now() - began).count());
    return out;
}

void claim_client::release(const std::string& key, const claim_result& held)
{
    auto answer =
        this->store.write(store_key(key), free_value, held.version, free_time);
    bool released = answer.result == store_result::done;
    // A claim that can't be given back ends with its window.
    if (!released)
        this->metrics.count("hatch_claims_total", "result", "kept");
    logging::event(logging::level::info, "claim_released")
        .with("claim", store_key(key))
        .with("result", released ? "released" : "kept")
        .with("version", static_cast<std::int64_t>(held.version));
}

} // namespace amaranthhatch::routing
