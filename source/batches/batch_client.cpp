#include "batches/batch_client.hpp"

#include <boost/asio/steady_timer.hpp>

#include "host/boot_clock.hpp"
#include "http/buffered_call.hpp"
#include "logging/event.hpp"

namespace amaranthhatch::batches
{

namespace
{

// Longer than the owner's own limit for a commit, which is 2.5 s.
constexpr core::milliseconds call_timeout{3000};
constexpr core::milliseconds retry_delay{60};
// A takeover takes about this long. A job that is submitted in the meantime is
// retried until the new owner can accept it; a read fails early, as readers
// retry by themselves.
constexpr core::milliseconds submit_retry_limit{2200};
constexpr core::milliseconds read_retry_limit{300};
// Longest answer that says no more than its status.
constexpr std::size_t status_answer_bytes = 64u << 10;

} // namespace

struct batch_client::pending_request
{
    std::string job;
    http::client_request http;
    core::milliseconds timeout{};
    response_callback done;
    std::string owner_disk;
    core::instant retry_deadline{};
};

batch_client::batch_client(host::host_runtime& runtime) : runtime(runtime) {}

const core::peers::peer* batch_client::owner_of(const std::string& job)
{
    const auto* entry = this->runtime.mirror_of(host::mirrored_part::placement)
                            .find(this->runtime.placement_key());
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

void batch_client::retry(std::shared_ptr<pending_request> pending,
                         job_outcome failure_outcome)
{
    if (host::boot_now() >= pending->retry_deadline)
    {
        logging::event(logging::level::warning, "job_owner_unreached")
            .with("job", pending->job)
            .with("placement", static_cast<std::int64_t>(this->revision))
            .with("owner", pending->owner_disk);
        return pending->done(failure_outcome, {});
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
        this->runtime.event_loop(), retry_delay);
    timer->async_wait([this, pending = std::move(pending), timer](
                          boost::system::error_code) { this->send(pending); });
}

void batch_client::send(std::shared_ptr<pending_request> pending)
{
    const auto* owner = this->owner_of(pending->job);
    pending->owner_disk = owner == nullptr ? "" : owner->disk;
    if (owner == nullptr)
        return this->retry(std::move(pending), job_outcome::unavailable);
    auto key = owner->name + "/" + std::to_string(owner->incarnation);
    http::start_buffered_call(
        this->runtime.http_client(), this->runtime.event_loop(), key,
        owner->address, pending->http, pending->timeout,
        [this, pending,
         owner_name = owner->name](const http::buffered_response& response)
        {
            if (response.result == http::call_end::not_sent)
                return this->retry(pending, job_outcome::unavailable);
            if (response.result == http::call_end::broken)
                this->runtime.record_broken_answer("job call", owner_name,
                                                   response.detail);
            if (response.result != http::call_end::complete)
                return pending->done(job_outcome::unknown, {});
            switch (response.status)
            {
            case 200:
            case 202:
                return pending->done(job_outcome::done, response.body);
            case 404:
                return pending->done(job_outcome::missing, {});
            case 421:
                return this->retry(pending, job_outcome::unavailable);
            case 429:
                return pending->done(job_outcome::over_limit, {});
            case 503:
                return pending->done(job_outcome::unavailable, {});
            default:
                return pending->done(job_outcome::unknown, {});
            }
        });
}

void batch_client::submit(const core::batches::job& job, outcome_callback done)
{
    auto pending = std::make_shared<pending_request>();
    pending->retry_deadline = host::boot_now() + submit_retry_limit;
    pending->job = job.id;
    pending->http.method = "POST";
    pending->http.body_limit = status_answer_bytes;
    pending->http.target = "/jobs";
    pending->http.body = std::make_shared<const std::string>(pack(job));
    pending->timeout = call_timeout;
    pending->done =
        [done = std::move(done)](job_outcome outcome, const std::string&)
    { done(outcome); };
    this->send(std::move(pending));
}

void batch_client::add_visibility(pending_request& pending,
                                  const visibility& visible)
{
    if (visible)
        pending.http.headers.add(workspace_header, *visible);
}

void batch_client::read(const std::string& job, const visibility& visible,
                        std::uint32_t after, core::milliseconds wait,
                        read_callback done)
{
    auto pending = std::make_shared<pending_request>();
    add_visibility(*pending, visible);
    pending->retry_deadline = host::boot_now() + read_retry_limit;
    pending->job = job;
    pending->http.target = "/jobs/" + job +
                           "/results?after=" + std::to_string(after) +
                           "&wait=" + std::to_string(wait.count());
    pending->http.body_limit = this->runtime.settings().response_bytes;
    pending->timeout = call_timeout + wait;
    pending->done =
        [done = std::move(done)](job_outcome outcome, const std::string& body)
    {
        auto page = outcome == job_outcome::done ? unpack_result_page(body)
                                                 : std::nullopt;
        if (outcome == job_outcome::done && !page)
            outcome = job_outcome::unavailable;
        done(outcome, page ? *page : result_page());
    };
    this->send(std::move(pending));
}

void batch_client::read_body(const std::string& job, const visibility& visible,
                             const std::string& item, body_callback done)
{
    auto pending = std::make_shared<pending_request>();
    add_visibility(*pending, visible);
    pending->retry_deadline = host::boot_now() + read_retry_limit;
    pending->job = job;
    pending->http.target = "/jobs/" + job + "/body?item=" + item;
    pending->http.body_limit = this->runtime.settings().response_bytes;
    pending->timeout = call_timeout;
    pending->done = std::move(done);
    this->send(std::move(pending));
}

void batch_client::end(const std::string& job, const visibility& visible,
                       outcome_callback done)
{
    auto pending = std::make_shared<pending_request>();
    add_visibility(*pending, visible);
    pending->retry_deadline = host::boot_now() + read_retry_limit;
    pending->job = job;
    pending->http.method = "DELETE";
    pending->http.body_limit = status_answer_bytes;
    pending->http.target = "/jobs/" + job;
    pending->timeout = call_timeout;
    pending->done =
        [done = std::move(done)](job_outcome outcome, const std::string&)
    { done(outcome); };
    this->send(std::move(pending));
}

} // namespace amaranthhatch::batches
