#include "routing/generation_run.hpp"

#include <algorithm>

#include "control/control_loop.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::routing
{

namespace
{

using adapters::stream_end;
using control::monotonic_now;
using core::milliseconds;
using core::outcome;
using core::refusal;

constexpr unsigned attempts_limit = 6;
constexpr milliseconds second_patience{60};
constexpr milliseconds second_interval{20};
constexpr milliseconds least_idle_limit{400};
constexpr int idle_limit_in_gaps = 12;
constexpr std::uint32_t least_tokens_to_move = 4;
constexpr std::uint32_t least_tokens_to_judge = 3;
constexpr double gap_smoothing = 0.2;
constexpr double late_factor = 2.5;
constexpr double least_late_ms = 35;

// How long a stream may pause before it is resumed on another endpoint.
milliseconds idle_limit(const core::messages::want_slot& want)
{
    return std::max(least_idle_limit,
                    milliseconds(want.token_gap_ms * idle_limit_in_gaps));
}

} // namespace

generation_run::generation_run(generation_tools tools,
                               adapters::generation asked, slot_request wanted,
                               milliseconds deadline,
                               milliseconds slot_patience)
    : tools(tools), asked(std::move(asked)), wanted(std::move(wanted)),
      end(monotonic_now() + deadline), slot_patience(slot_patience),
      next(this->asked.resume_from), text_so_far(this->asked.resume_text)
{
    this->tools.hedges.earn();
    this->tools.retries.earn();
    this->tools.moves.earn();
}

generation_run::~generation_run()
{
    while (!this->attempts.empty())
        this->end_attempt(this->attempts.size() - 1, false);
}

milliseconds generation_run::left() const
{
    return std::max(milliseconds(0), this->end - monotonic_now());
}

outcome generation_run::known() const
{
    return this->bytes_sent ? outcome::unknown : outcome::not_run;
}

bool generation_run::start_attempt(milliseconds patience)
{
    slot_request request = this->wanted;
    auto waited = std::min(patience, this->left());
    request.want.wait_timeout_ms = static_cast<std::uint32_t>(waited.count());
    request.want.request = this->asked.request;
    for (const auto& running : this->attempts)
        request.want.excluded.push_back(running.slot->endpoint);
    auto result = this->tools.slots.acquire(request);
    if (!result.slot)
    {
        this->failure = result.reason;
        this->retry_pause = result.retry_after;
        return false;
    }
    attempt made;
    made.slot = std::move(result.slot);
    // Each attempt has an identifier of its own, so that a late token of an
    // earlier attempt can't be taken for one of this.
    made.request =
        this->asked.request + "." + std::to_string(++this->attempts_started);
    made.started = monotonic_now();
    made.last_token = made.started;
    adapters::generation sent = this->asked;
    sent.request = made.request;
    sent.resume_from = this->next;
    sent.resume_text = this->text_so_far;
    made.stream =
        this->tools.engine.generate(made.slot->address, sent, this->left());
    this->attempts.push_back(std::move(made));
    return true;
}

generation_run::state generation_run::fail(refusal reason)
{
    this->failure = reason;
    return state::failed;
}

generation_run::state
generation_run::pump(milliseconds wait, std::vector<adapters::token>& arrived)
{
    if (this->attempts.empty() && !this->start_attempt(this->slot_patience))
        return state::failed;
    if (this->left().count() == 0)
        return this->fail(refusal::deadline_passed);
    for (const auto& running : this->attempts)
    {
        if (running.slot->yielded)
            return state::yielded;
    }
    this->consider_second();
    return this->pump_attempts(wait, arrived);
}

generation_run::state
generation_run::pump_attempts(milliseconds wait,
                              std::vector<adapters::token>& arrived)
{
    // Two streams share the wait in short turns, so that neither holds up the
    // other's tokens.
    constexpr milliseconds shared_turn{4};
    auto turn = this->attempts.size() > 1 ? std::min(wait, shared_turn) : wait;
    for (std::size_t index = 0; index < this->attempts.size(); ++index)
    {
        std::vector<adapters::token> got;
        stream_end end = this->attempts[index].stream->pump(turn, got);
        if (!got.empty() && this->take_tokens(index, got, arrived))
            index = 0;
        if (end == stream_end::open)
            continue;
        return this->handle_end(index, end);
    }
    return state::running;
}

bool generation_run::take_tokens(std::size_t index,
                                 std::vector<adapters::token>& got,
                                 std::vector<adapters::token>& arrived)
{
    attempt& running = this->attempts[index];
    auto now = monotonic_now();
    bool news = false;
    for (auto& one : got)
    {
        // A stream that started earlier may bring positions that the other one
        // has already delivered.
        if (one.position != this->next)
            continue;
        news = true;
        ++this->next;
        this->text_so_far += one.text;
        arrived.push_back(std::move(one));
    }
    auto count = static_cast<std::uint32_t>(got.size());
    if (running.has_token)
    {
        double gap = static_cast<double>((now - running.last_token).count()) /
                     std::max(count, 1u);
        double weight = std::max(gap_smoothing, 1.0 / (running.tokens + 1));
        running.usual_gap_ms += (gap - running.usual_gap_ms) * weight;
    }
    running.tokens += count;
    running.slot->tokens += count;
    running.last_token = now;
    if (!running.has_token)
        running.first_token = now - running.started;
    running.has_token = true;
    if (running.slot->counted_from_ms == 0)
        running.slot->counted_from_ms = now.count();
    this->bytes_sent = true;
    if (!news || this->attempts.size() < 2)
        return false;
    this->drop_others(index);
    return true;
}

void generation_run::drop_others(std::size_t winner)
{
    for (std::size_t index = this->attempts.size(); index-- > 0;)
    {
        if (index != winner)
            this->end_attempt(index, false);
    }
}

void generation_run::end_attempt(std::size_t index, bool failed)
{
    attempt ended = std::move(this->attempts[index]);
    this->attempts.erase(this->attempts.begin() + static_cast<long>(index));
    std::vector<adapters::token> ignored;
    bool open =
        ended.stream->pump(milliseconds(0), ignored) == stream_end::open;
    if (open)
        this->tools.cancels.cancel(ended.slot->address, ended.request);
    ended.stream.reset();
    this->tools.slots.release(ended.slot, failed, ended.first_token);
}

// The next token is late by the stream's own measure. Callers see this a few
// hundred milliseconds before the coordinator has evidence enough.
bool generation_run::is_late(const attempt& running) const
{
    if (running.tokens < least_tokens_to_judge)
        return false;
    double waited =
        static_cast<double>((monotonic_now() - running.last_token).count());
    double limit = std::max(running.usual_gap_ms * late_factor, least_late_ms);
    return waited > limit;
}

bool generation_run::wants_second(const attempt& running,
                                  std::string_view& why) const
{
    auto now = monotonic_now();
    if (!running.has_token)
    {
        why = "late_first_token";
        return running.slot->hedge_after.count() > 0 &&
               now - running.started > running.slot->hedge_after;
    }
    if (now - running.last_token > idle_limit(this->wanted.want))
    {
        why = "silent";
        return true;
    }
    // A process without a budget of moves, such as a batch host, waits on.
    bool worth = this->asked.max_tokens - this->next >= least_tokens_to_move;
    why = running.slot->leave ? "slow_endpoint" : "late_token";
    return worth && (running.slot->leave || this->is_late(running));
}

void generation_run::consider_second()
{
    if (this->attempts.size() != 1 || this->attempts_started >= attempts_limit)
        return;
    auto now = monotonic_now();
    if (now - this->second_considered < second_interval)
        return;
    attempt& running = this->attempts.front();
    std::string_view why;
    // From here on the wait for a first token counts against the endpoint.
    bool late = !running.has_token && running.slot->hedge_after.count() > 0 &&
                now - running.started > running.slot->hedge_after;
    if (late && running.slot->counted_from_ms == 0)
        running.slot->counted_from_ms =
            (running.started + running.slot->hedge_after).count();
    if (!this->wants_second(running, why))
        return;
    this->second_considered = now;
    // Resuming elsewhere repeats no generated token, only the prompt's work,
    // so it has a budget of its own.
    auto& budget = why == "late_first_token" ? this->tools.hedges
                   : why == "silent"         ? this->tools.retries
                                             : this->tools.moves;
    if (!budget.spend())
    {
        this->tools.metrics.count("hatch_repeats_denied_total", "reason", why);
        return;
    }
    if (this->start_attempt(second_patience))
        this->tools.metrics.count("hatch_repeats_total", "reason", why);
}

generation_run::state generation_run::handle_end(std::size_t index,
                                                 stream_end end)
{
    attempt& ended = this->attempts[index];
    bool others = this->attempts.size() > 1;
    if (end == stream_end::whole)
    {
        // The adapter has checked that the end mark counts every token.
        this->drop_others(index);
        this->end_attempt(0, false);
        return state::done;
    }
    this->bytes_sent = this->bytes_sent || end != stream_end::not_sent;
    this->words = ended.stream->detail();
    if (end == stream_end::refused)
    {
        this->never = true;
        this->end_attempt(index, false);
        return this->fail(refusal::bad_request);
    }
    std::string endpoint = ended.slot->endpoint;
    this->end_attempt(index, true);
    this->wanted.want.excluded.push_back(endpoint);
    if (others)
        return state::running;
    this->failure = end == stream_end::not_sent ? refusal::connect_failed
                    : end == stream_end::failed ? refusal::endpoint_failed
                                                : refusal::stream_cut;
    if (this->attempts_started >= attempts_limit ||
        !this->tools.retries.spend())
    {
        this->tools.metrics.count("hatch_repeats_denied_total", "reason",
                                  name_of(this->failure));
        return state::failed;
    }
    this->tools.metrics.count("hatch_repeats_total", "reason",
                              name_of(this->failure));
    auto first_reason = this->failure;
    if (this->start_attempt(this->slot_patience))
        return state::running;
    // Endpoints that failed once are better than none.
    this->wanted.want.excluded.clear();
    if (this->start_attempt(this->slot_patience))
        return state::running;
    this->failure = first_reason;
    return state::failed;
}

} // namespace amaranthhatch::routing
