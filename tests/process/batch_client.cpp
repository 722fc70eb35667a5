#include "batch_client.hpp"

#include <sstream>
#include <thread>

#include "load/expected_tokens.hpp"

namespace amaranthhatch::tests
{

namespace
{

using nlohmann::json;

constexpr std::uint32_t impossible_every = 25;

std::string prompt_of(std::uint32_t item)
{
    std::string prompt = "supply summary of station " + std::to_string(item);
    return item % impossible_every == 3 ? prompt + " [impossible]" : prompt;
}

} // namespace

batch_client::batch_client(fleet::fleet& running, std::uint32_t items,
                           std::uint32_t tokens)
    : running(running), items(items), tokens(tokens)
{
}

void batch_client::upload()
{
    std::string content;
    for (std::uint32_t item = 0; item < this->items; ++item)
    {
        json line = {{"custom_id", "c" + std::to_string(item)},
                     {"method", "POST"},
                     {"url", "/v1/completions"},
                     {"body",
                      {{"model", this->running.plan.model},
                       {"prompt", prompt_of(item)},
                       {"max_tokens", this->tokens}}}};
        content += line.dump() + "\n";
    }
    fleet::eventually(
        [&]
        {
            for (const auto& entry : this->running.entries)
            {
                auto reply = fleet::post(entry.address, "/v1/files", content);
                if (reply.status != 200)
                    continue;
                this->file = json::parse(reply.body).at("id");
                return true;
            }
            return false;
        });
}

json batch_client::create(std::size_t entry, const std::string& key)
{
    json body = {{"input_file_id", this->file},
                 {"endpoint", "/v1/completions"},
                 {"completion_window", "24h"}};
    auto reply =
        fleet::post(this->running.entries[entry].address, "/v1/batches",
                    body.dump(), {{"Idempotency-Key", key}});
    json answer = json::parse(reply.body, nullptr, false);
    if (reply.status == 200)
        this->job_name = answer.at("id");
    return answer;
}

void batch_client::create_until_accepted(const std::string& key)
{
    std::size_t entry = 0;
    fleet::eventually(
        [&]
        {
            this->create(entry++ % this->running.entries.size(), key);
            return !this->job_name.empty();
        });
}

json batch_client::status(std::size_t entry) const
{
    auto reply = fleet::get(this->running.entries[entry].address,
                            "/v1/batches/" + this->job_name);
    json answer = json::parse(reply.body, nullptr, false);
    return reply.status == 200 ? answer : json();
}

bool batch_client::cancel(std::size_t entry) const
{
    auto reply = fleet::post(this->running.entries[entry].address,
                             "/v1/batches/" + this->job_name + "/cancel", "");
    return reply.status == 200;
}

std::string batch_client::output(std::size_t entry) const
{
    auto reply = fleet::get(this->running.entries[entry].address,
                            "/v1/files/output-" + this->job_name + "/content");
    bool whole =
        reply.reached == http::progress::answered && reply.status == 200;
    return whole ? reply.body : "";
}

json batch_client::manifest() const
{
    auto reply = fleet::get(this->running.store.address,
                            "/v1/kv/jobs/" + this->job_name);
    json entry = json::parse(reply.body, nullptr, false);
    if (!entry.is_object() || !entry.contains("value"))
        return json::object();
    return json::parse(entry["value"].get<std::string>(), nullptr, false);
}

std::string batch_client::check_output(const std::string& output) const
{
    std::map<std::string, int> seen;
    std::istringstream lines(output);
    for (std::string text; std::getline(lines, text);)
    {
        json line = json::parse(text, nullptr, false);
        if (!line.is_object())
            return "a line is no JSON: " + text;
        std::string custom = line.value("custom_id", "");
        if (++seen[custom] > 1)
            return custom + " stands twice";
        auto item =
            static_cast<std::uint32_t>(std::stoul("0" + custom.substr(1)));
        bool impossible = item % impossible_every == 3;
        if (impossible != line["response"].is_null())
            return custom + " has the wrong kind of result: " + text;
        if (impossible)
            continue;
        std::string got =
            line["response"]["body"]["choices"][0].value("text", "");
        if (got != load::expected_text(prompt_of(item), this->tokens))
            return custom + " has the wrong text";
    }
    if (seen.size() != this->items)
        return std::to_string(seen.size()) + " of " +
               std::to_string(this->items) + " items";
    return "";
}

} // namespace amaranthhatch::tests
