#include "batch/owned_job.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "control/control_loop.hpp"
#include "logging/event.hpp"
#include "net/codec.hpp"

namespace amaranthhatch::batch
{

namespace
{

namespace messages = core::messages;

using messages::record_kind;
using verdict = messages::append_answer::verdict;

constexpr std::size_t read_part_bytes = 1u << 20;

std::uint32_t count_inputs(const journal_file& journal)
{
    // The input follows the description and ends at the first result.
    std::uint32_t count = 0;
    std::uint64_t at = 1;
    while (true)
    {
        auto part = journal.read(at, journal.length(), read_part_bytes);
        if (part.empty())
            return count;
        for (const auto& text : part)
        {
            auto record = net::decode<messages::journal_record>(text);
            if (record.kind != record_kind::input)
                return count;
            ++count;
        }
        at += part.size();
    }
}

std::string error_line(const std::string& job, std::uint32_t item,
                       const std::string& input, std::string_view reason)
{
    using nlohmann::json;
    json parsed = json::parse(input, nullptr, false);
    std::string custom =
        parsed.is_object() ? parsed.value("custom_id", "") : "";
    json line = {
        {"id", job + "-" + std::to_string(item)},
        {"custom_id", custom},
        {"response", nullptr},
        {"error", {{"code", "item_failed"}, {"message", std::string(reason)}}}};
    return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::vector<std::string> initial_records(const messages::job_submit& submit,
                                         std::string_view input)
{
    std::vector<std::string> records;
    messages::journal_record first;
    first.kind = record_kind::description;
    first.description = submit;
    records.push_back(net::encode(first));
    std::uint32_t item = 0;
    while (!input.empty())
    {
        auto end = input.find('\n');
        auto line = input.substr(0, end);
        input = end == input.npos ? std::string_view() : input.substr(end + 1);
        if (line.empty() || line == "\r")
            continue;
        messages::journal_record record;
        record.kind = record_kind::input;
        record.item = item++;
        record.text = line;
        records.push_back(net::encode(record));
    }
    return records;
}

owned_job::owned_job(messages::job_submit description, std::uint64_t epoch,
                     std::shared_ptr<journal_file> journal, batch_peers& peers)
    : submit(std::move(description)), own_epoch(epoch),
      journal(std::move(journal)), peers(peers),
      items(count_inputs(*this->journal)), started(control::monotonic_now())
{
}

void owned_job::recover()
{
    std::lock_guard lock(this->guard);
    std::uint64_t at = 1 + this->items.count();
    while (true)
    {
        auto part =
            this->journal->read(at, this->journal->length(), read_part_bytes);
        if (part.empty())
            break;
        for (const auto& text : part)
        {
            auto record = net::decode<messages::journal_record>(text);
            if (record.kind == record_kind::result)
                this->items.finish(record.item, record.failed);
            this->cancelled =
                this->cancelled || record.kind == record_kind::cancel;
            this->finish_recorded =
                this->finish_recorded || record.kind == record_kind::finish;
        }
        at += part.size();
    }
    this->cancel_recorded = this->cancelled;
    this->settled_at_start = this->items.finished_count();
}

std::optional<item_run> owned_job::next()
{
    std::lock_guard lock(this->guard);
    if (this->cancelled || this->commits.is_superseded())
        return std::nullopt;
    auto item = this->items.next();
    if (!item)
        return std::nullopt;
    item_run run;
    run.item = *item;
    auto text = this->journal->read(1 + *item, 2 + *item, 1);
    run.input = net::decode<messages::journal_record>(text.front()).text;
    auto begun = this->partials.find(*item);
    if (begun != this->partials.end())
    {
        run.text = begun->second.text;
        run.tokens = begun->second.tokens;
    }
    return run;
}

void owned_job::put_back(const item_run& run, core::jobs::run_end why,
                         std::string_view last_error)
{
    bool again = false;
    {
        std::lock_guard lock(this->guard);
        if (run.tokens > 0)
            this->partials[run.item] = {run.text, run.tokens};
        again = this->items.requeue(run.item, why);
    }
    if (!again)
        this->add_result(
            run.item, true,
            error_line(this->submit.job, run.item, run.input, last_error));
}

void owned_job::add_result(std::uint32_t item, bool failed, std::string line)
{
    std::lock_guard lock(this->guard);
    if (this->cancelled || this->commits.is_superseded() ||
        !this->items.finish(item, failed))
        return;
    this->partials.erase(item);
    messages::journal_record record;
    record.kind = record_kind::result;
    record.item = item;
    record.failed = failed;
    record.text = std::move(line);
    this->pending.push_back(net::encode(record));
}

bool owned_job::append_locally(std::vector<std::string> records)
{
    messages::journal_append request;
    request.job = this->submit.job;
    request.epoch = this->own_epoch;
    request.position = this->journal->length();
    request.records = std::move(records);
    auto answer = this->journal->append(request);
    if (answer.result == verdict::stored)
        return true;
    std::lock_guard lock(this->guard);
    this->commits.supersede();
    return false;
}

bool owned_job::replicate()
{
    std::string address;
    std::uint64_t from = 0;
    {
        std::lock_guard lock(this->guard);
        if (this->commits.is_superseded() || !this->commits.second())
            return false;
        address = this->second_address;
        from = this->commits.confirmed();
    }
    auto length = this->journal->length();
    auto result = verdict::stored;
    if (from < length)
        result = this->peers.replicate(*this->journal, this->submit.job,
                                       this->own_epoch, from, address);
    std::lock_guard lock(this->guard);
    this->commits.handle_append_result(result, length);
    this->journal->learn_committed(this->commits.committed());
    if (result == verdict::stored)
        return this->commits.is_second_listed();
    logging::event(logging::level::warning, "second_copy_lost")
        .with("job", this->submit.job)
        .with("peer", address)
        .with("deposed", this->commits.is_superseded() ? "true" : "false");
    return false;
}

void owned_job::commit()
{
    std::lock_guard turn(this->committing);
    std::vector<std::string> records;
    bool finish = false;
    {
        std::lock_guard lock(this->guard);
        if (this->commits.is_superseded())
            return;
        records.swap(this->pending);
        finish = this->items.all_finished() && !this->finish_recorded &&
                 !this->cancelled;
        this->finish_recorded = this->finish_recorded || finish;
    }
    if (finish)
    {
        messages::journal_record last;
        last.kind = record_kind::finish;
        records.push_back(net::encode(last));
    }
    if (!records.empty() && !this->append_locally(std::move(records)))
        return;
    this->replicate();
}

bool owned_job::cancel()
{
    this->stop();
    std::lock_guard turn(this->committing);
    bool record = false;
    {
        std::lock_guard lock(this->guard);
        record = !this->cancel_recorded && !this->finish_recorded;
    }
    if (record)
    {
        messages::journal_record stop;
        stop.kind = record_kind::cancel;
        if (!this->append_locally({net::encode(stop)}))
            return false;
        std::lock_guard lock(this->guard);
        this->cancel_recorded = true;
    }
    return this->replicate();
}

void owned_job::stop()
{
    std::lock_guard lock(this->guard);
    if (!this->finish_recorded)
        this->cancelled = true;
}

bool owned_job::set_second(const messages::member& host)
{
    std::lock_guard turn(this->committing);
    auto result = this->peers.replicate(*this->journal, this->submit.job,
                                        this->own_epoch, 0, host.address);
    std::lock_guard lock(this->guard);
    if (result == verdict::sealed)
        this->commits.supersede();
    if (result != verdict::stored)
        return false;
    this->commits.choose_second(host.name, this->journal->length());
    this->second_address = host.address;
    return true;
}

void owned_job::settle_second()
{
    std::lock_guard lock(this->guard);
    this->commits.list_second();
    this->journal->learn_committed(this->commits.committed());
}

bool owned_job::needs_second() const
{
    std::lock_guard lock(this->guard);
    return this->commits.needs_second();
}

std::string owned_job::second_name() const
{
    std::lock_guard lock(this->guard);
    return this->commits.second().value_or("");
}

bool owned_job::is_deposed() const
{
    std::lock_guard lock(this->guard);
    return this->commits.is_superseded();
}

bool owned_job::is_stopped() const
{
    std::lock_guard lock(this->guard);
    return this->cancelled || this->commits.is_superseded();
}

bool owned_job::is_over() const
{
    std::lock_guard lock(this->guard);
    bool recorded = this->finish_recorded || this->cancel_recorded;
    return recorded && this->journal->committed() == this->journal->length();
}

double owned_job::items_per_second() const
{
    constexpr double ms_per_second = 1000;
    auto elapsed = control::monotonic_now() - this->started;
    auto done = this->items.finished_count() - this->settled_at_start;
    if (elapsed.count() <= 0)
        return 0;
    return done * ms_per_second / static_cast<double>(elapsed.count());
}

messages::job_answer owned_job::describe() const
{
    std::lock_guard lock(this->guard);
    messages::job_answer answer;
    answer.found = true;
    answer.authoritative = !this->commits.is_superseded();
    answer.total = this->items.count();
    answer.failed = this->items.failed_count();
    answer.completed = this->items.finished_count() - answer.failed;
    answer.owner = this->peers.self().name;
    answer.description = this->submit;
    bool committed = this->journal->committed() == this->journal->length();
    if (this->cancelled)
        answer.state = messages::job_state::cancelled;
    else if (this->finish_recorded && committed)
        answer.state = messages::job_state::finished;
    else
        answer.state = this->commits.second() ? messages::job_state::running
                                              : messages::job_state::waiting;
    auto forecast = core::jobs::forecast_deadline(
        answer.total - answer.completed - answer.failed,
        this->items_per_second(), control::unix_now_ms(),
        this->submit.due_unix_ms);
    answer.deadline_forecast = forecast.verdict;
    answer.forecast_unix_ms = forecast.end_unix_ms;
    return answer;
}

} // namespace amaranthhatch::batch
