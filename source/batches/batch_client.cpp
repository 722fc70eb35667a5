#include "batches/batch_client.hpp"

#include <boost/asio/steady_timer.hpp>

#include "host/boot_clock.hpp"
#include "http/buffered_call.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::batches
{

namespace
{

// The owner itself gives up a commit after 2.5 s.
constexpr core::milliseconds call_limit{3000};
constexpr core::milliseconds retry_pause{60};
// A takeover takes about this long; a job that is submitted meanwhile is kept
// for the new owner, a reader asks again by itself.
constexpr core::milliseconds submit_patience{2200};
constexpr core::milliseconds read_patience{300};

} // namespace

struct batch_client::request
{
    std::string job;
    http::client_request http;
    core::milliseconds limit{};
    answer_callback done;
    std::string owner_disk;
    core::instant give_up_at{};
};

batch_client::batch_client(host::host_runtime& runtime) : runtime(runtime) {}

const core::peers::peer* batch_client::owner_of(const std::string& job)
{
    const auto* entry = this->runtime.copy(host::copied_part::own)
                            .find(this->runtime.own_prefix() + "placement");
    if (entry == nullptr)
        return nullptr;
    if (entry->revision != this->revision)
    {
        this->placement = parse_placement(entry->value);
        this->revision = entry->revision;
    }
    if (!this->placement || this->placement->partitions.empty())
        return nullptr;
    const auto& place =
        this->placement->partitions[this->placement->partition_of(job)];
    return this->runtime.peers().last_disk_host(place.owner_disk);
}

void batch_client::retry(std::shared_ptr<request> asked, job_outcome otherwise)
{
    if (host::boot_now() >= asked->give_up_at)
    {
        logging::event(logging::level::warning, "job_owner_unreached")
            .with("job", asked->job)
            .with("placement", static_cast<std::int64_t>(this->revision))
            .with("owner", asked->owner_disk);
        return asked->done(otherwise, {});
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
        this->runtime.event_loop(), retry_pause);
    timer->async_wait([this, asked = std::move(asked), timer](
                          boost::system::error_code) { this->call(asked); });
}

void batch_client::call(std::shared_ptr<request> asked)
{
    const auto* owner = this->owner_of(asked->job);
    asked->owner_disk = owner == nullptr ? "" : owner->disk;
    if (owner == nullptr)
        return this->retry(std::move(asked), job_outcome::unavailable);
    auto key = owner->name + "/" + std::to_string(owner->incarnation);
    http::start_buffered_call(
        this->runtime.http_client(), this->runtime.event_loop(), key,
        owner->address, asked->http, asked->limit,
        [this, asked](const http::buffered_response& answer)
        {
            if (answer.result == http::call_end::not_sent)
                return this->retry(asked, job_outcome::unavailable);
            if (answer.result == http::call_end::broken)
                return asked->done(job_outcome::unknown, {});
            switch (answer.status)
            {
            case 200:
            case 202:
                return asked->done(job_outcome::done, answer.body);
            case 404:
                return asked->done(job_outcome::missing, {});
            case 421:
                return this->retry(asked, job_outcome::unavailable);
            case 429:
                return asked->done(job_outcome::over_limit, {});
            case 503:
                return asked->done(job_outcome::unavailable, {});
            default:
                return asked->done(job_outcome::unknown, {});
            }
        });
}

void batch_client::submit(const core::batches::job& job, outcome_callback done)
{
    auto asked = std::make_shared<request>();
    asked->give_up_at = host::boot_now() + submit_patience;
    asked->job = job.id;
    asked->http.method = "POST";
    asked->http.target = "/jobs";
    asked->http.body = std::make_shared<const std::string>(pack(job));
    asked->limit = call_limit;
    asked->done = [done = std::move(done)](job_outcome how, const std::string&)
    { done(how); };
    this->call(std::move(asked));
}

void batch_client::read(const std::string& job, std::uint32_t after,
                        core::milliseconds wait, read_callback done)
{
    auto asked = std::make_shared<request>();
    asked->give_up_at = host::boot_now() + read_patience;
    asked->job = job;
    asked->http.target = "/jobs/" + job +
                         "/results?after=" + std::to_string(after) +
                         "&wait=" + std::to_string(wait.count());
    asked->limit = call_limit + wait;
    asked->done =
        [done = std::move(done)](job_outcome how, const std::string& body)
    {
        auto answer =
            how == job_outcome::done ? unpack_read_answer(body) : std::nullopt;
        if (how == job_outcome::done && !answer)
            how = job_outcome::unavailable;
        done(how, answer ? *answer : read_answer());
    };
    this->call(std::move(asked));
}

void batch_client::read_body(const std::string& job, const std::string& item,
                             body_callback done)
{
    auto asked = std::make_shared<request>();
    asked->give_up_at = host::boot_now() + read_patience;
    asked->job = job;
    asked->http.target = "/jobs/" + job + "/body?item=" + item;
    asked->limit = call_limit;
    asked->done = std::move(done);
    this->call(std::move(asked));
}

void batch_client::end(const std::string& job, outcome_callback done)
{
    auto asked = std::make_shared<request>();
    asked->give_up_at = host::boot_now() + read_patience;
    asked->job = job;
    asked->http.method = "DELETE";
    asked->http.target = "/jobs/" + job;
    asked->limit = call_limit;
    asked->done = [done = std::move(done)](job_outcome how, const std::string&)
    { done(how); };
    this->call(std::move(asked));
}

} // namespace amaranthhatch::batches
