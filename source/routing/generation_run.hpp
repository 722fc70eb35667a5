#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "adapters/model_engine.hpp"
#include "core/instant.hpp"
#include "core/limits/retry_budget.hpp"
#include "core/outcome.hpp"
#include "metrics/registry.hpp"
#include "routing/cancellation_queue.hpp"
#include "routing/slot_client.hpp"

namespace amaranthhatch::routing
{

/// @brief Repeats of calls, shared by all requests of a process.
class shared_budget
{
public:
    shared_budget(double share, double burst) : budget(share, burst) {}

    void earn()
    {
        std::lock_guard lock(this->guard);
        this->budget.earn();
    }

    bool spend()
    {
        std::lock_guard lock(this->guard);
        return this->budget.spend();
    }

private:
    std::mutex guard;
    core::limits::retry_budget budget;
};

/// @brief What a generation runs with.
struct generation_tools
{
    adapters::model_engine& engine;
    slot_source& slots;
    cancellation_queue& cancels;
    shared_budget& hedges;
    shared_budget& retries;
    /// Resuming a stream elsewhere because its endpoint has become slow.
    shared_budget& moves;
    metrics::registry& metrics;
};

/// @brief One caller's generation, across as many endpoints as it takes.
///
/// At most two endpoints work on the next token at once: after a late first
/// token, a pause, a break or the coordinator's word that an endpoint is slow,
/// the generation is started or resumed elsewhere, and whichever stream brings
/// the next token first goes on. Tokens are handed out once and in order.
class generation_run
{
public:
    enum class state
    {
        running,
        done,
        failed,
        /// The slot was taken back; the tokens so far are kept.
        yielded
    };

    generation_run(generation_tools tools, adapters::generation asked,
                   slot_request wanted, core::milliseconds deadline,
                   core::milliseconds slot_patience);
    ~generation_run();
    generation_run(const generation_run&) = delete;
    generation_run& operator=(const generation_run&) = delete;

    /// @brief Appends the tokens that arrive within a time.
    state pump(core::milliseconds wait, std::vector<adapters::token>& arrived);

    /// @brief What is known where the run has failed.
    core::outcome known() const;
    core::refusal reason() const { return this->failure; }
    core::milliseconds retry_after() const { return this->retry_pause; }
    const std::string& detail() const { return this->words; }

    /// @brief True where the engine said that this can never be done.
    bool impossible() const { return this->never; }

    /// @brief Tokens received so far, and their text.
    std::uint32_t received() const { return this->next; }
    const std::string& text() const { return this->text_so_far; }

private:
    struct attempt
    {
        slot_ptr slot;
        std::unique_ptr<adapters::token_stream> stream;
        std::string request;
        core::instant started{};
        core::instant last_token{};
        bool has_token = false;
        core::milliseconds first_token{};
        /// The stream's usual gap between tokens, learned as it goes.
        double usual_gap_ms = 0;
        std::uint32_t tokens = 0;
    };

    bool start_attempt(core::milliseconds patience);
    state pump_attempts(core::milliseconds wait,
                        std::vector<adapters::token>& arrived);
    bool take_tokens(std::size_t index, std::vector<adapters::token>& got,
                     std::vector<adapters::token>& arrived);
    void end_attempt(std::size_t index, bool failed);
    void drop_others(std::size_t winner);
    void consider_second();
    bool is_late(const attempt& running) const;
    bool wants_second(const attempt& running, std::string_view& why) const;
    state handle_end(std::size_t index, adapters::stream_end end);
    state fail(core::refusal reason);
    core::milliseconds left() const;

    generation_tools tools;
    adapters::generation asked;
    slot_request wanted;
    core::instant end;
    core::milliseconds slot_patience;
    std::vector<attempt> attempts;
    std::uint32_t next = 0;
    std::string text_so_far;
    unsigned attempts_started = 0;
    bool bytes_sent = false;
    bool never = false;
    core::instant second_considered{};
    core::refusal failure = core::refusal::none;
    core::milliseconds retry_pause{};
    std::string words;
};

} // namespace amaranthhatch::routing
