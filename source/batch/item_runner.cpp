#include "batch/item_runner.hpp"

#include <nlohmann/json.hpp>

#include "openai/completion_request.hpp"

namespace amaranthhatch::batch
{

namespace
{

using core::milliseconds;
using core::refusal;
using core::jobs::run_end;
using nlohmann::json;
using routing::generation_run;

constexpr milliseconds item_wait{200};
constexpr milliseconds pump_wait{20};
constexpr milliseconds item_deadline{3'600'000};
constexpr milliseconds slot_patience{2000};
constexpr milliseconds pause_without_slot{100};

// Batch streams may be slow where online ones are many; only a long silence
// is a reason to go elsewhere.
constexpr std::uint32_t patient_token_gap_ms = 250;

/// @brief An item's input line, taken apart.
struct parsed_item
{
    std::string custom;
    openai::completion_request request;
};

parsed_item parse_item(const std::string& line)
{
    json item = json::parse(line);
    bool chat = item.value("url", "") == "/v1/chat/completions";
    return {item.value("custom_id", ""),
            openai::parse_completion(item.at("body").dump(), chat)};
}

std::string item_id(const board_item& item)
{
    return item.job->about().job + "-" + std::to_string(item.run.item);
}

std::string result_line(const std::string& id, const parsed_item& parsed,
                        const generation_run& run)
{
    auto body = json::parse(openai::completion_body(
        parsed.request, id, run.text(), run.received()));
    json line = {{"id", id},
                 {"custom_id", parsed.custom},
                 {"response",
                  {{"status_code", 200}, {"request_id", id}, {"body", body}}},
                 {"error", nullptr}};
    return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string error_line(const std::string& id, const std::string& custom,
                       std::string_view reason)
{
    json line = {
        {"id", id},
        {"custom_id", custom},
        {"response", nullptr},
        {"error", {{"code", "item_failed"}, {"message", std::string(reason)}}}};
    return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

// A run that never reached an endpoint says nothing about the item.
bool is_displaced(refusal reason)
{
    return reason == refusal::deadline_passed ||
           reason == refusal::queue_full || reason == refusal::no_endpoint ||
           reason == refusal::no_coordinator ||
           reason == refusal::connect_failed;
}

} // namespace

item_runner::item_runner(unsigned threads, owned_jobs& owned,
                         routing::generation_tools tools,
                         routing::view_client& view, metrics::registry& metrics)
    : thread_count(threads), owned(owned), tools(tools), view(view),
      metrics(metrics)
{
}

item_runner::~item_runner()
{
    this->stopping = true;
    for (auto& thread : this->threads)
        thread.join();
}

void item_runner::start()
{
    for (unsigned index = 0; index < this->thread_count; ++index)
        this->threads.emplace_back([this] { this->run(); });
}

void item_runner::stop()
{
    this->stopping = true;
}

void item_runner::run()
{
    while (!this->stopping)
    {
        auto item = this->owned.next(item_wait);
        if (!item)
            continue;
        ++this->running_items;
        this->run_item(std::move(*item));
        --this->running_items;
    }
}

void item_runner::run_item(board_item item)
{
    std::string id = item_id(item);
    parsed_item parsed;
    try
    {
        parsed = parse_item(item.run.input);
    }
    catch (const std::exception& error)
    {
        item.job->add_result(item.run.item, true,
                             error_line(id, "", error.what()));
        return;
    }
    adapters::generation asked;
    asked.request = id + "-" + std::to_string(item.job->epoch());
    asked.model = parsed.request.model;
    asked.prompt = parsed.request.prompt;
    asked.max_tokens = parsed.request.max_tokens;
    asked.resume_from = item.run.tokens;
    asked.resume_text = item.run.text;
    routing::slot_request wanted;
    wanted.serves = parsed.request.model;
    wanted.want.kind = core::messages::work_kind::batch;
    const auto* by =
        this->view.now()->declared.find_class(item.job->about().work_class);
    wanted.want.rank = by == nullptr ? 0 : by->rank;
    wanted.want.token_gap_ms = patient_token_gap_ms;
    wanted.want.expected_tokens = asked.max_tokens - asked.resume_from;
    generation_run run(this->tools, asked, wanted, item_deadline,
                       slot_patience);
    auto state = generation_run::state::running;
    while (state == generation_run::state::running && !this->stopping &&
           !item.job->is_stopped())
    {
        std::vector<adapters::token> ignored;
        state = run.pump(pump_wait, ignored);
    }
    item.run.text = run.text();
    item.run.tokens = run.received();
    if (state == generation_run::state::done)
    {
        item.job->add_result(item.run.item, false,
                             result_line(id, parsed, run));
        this->metrics.count("hatch_items_total", "result", "done");
        return;
    }
    if (run.impossible())
    {
        item.job->add_result(item.run.item, true,
                             error_line(id, parsed.custom, run.detail()));
        this->metrics.count("hatch_items_total", "result", "impossible");
        return;
    }
    bool failed = state == generation_run::state::failed;
    bool displaced = !failed || is_displaced(run.reason());
    this->metrics.count("hatch_item_returns_total", "reason",
                        failed ? name_of(run.reason()) : "yielded");
    item.job->put_back(item.run,
                       displaced ? run_end::displaced : run_end::failed,
                       name_of(run.reason()));
    if (failed && displaced)
        std::this_thread::sleep_for(pause_without_slot);
}

} // namespace amaranthhatch::batch
