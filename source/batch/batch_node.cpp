#include "batch/batch_node.hpp"

#include <thread>

#include "control/control_loop.hpp"
#include "logging/event.hpp"
#include "net/codec.hpp"

namespace amaranthhatch::batch
{

namespace
{

namespace messages = core::messages;

using messages::message_kind;

constexpr unsigned open_requests = 128;
constexpr unsigned caller_threads = 8;
constexpr unsigned peer_threads = 8;
constexpr std::size_t work_limit = 256;
constexpr double batch_retry_share = 1.0;
constexpr double budget_burst = 10;
constexpr std::size_t seal_part_bytes = 4u << 20;
constexpr core::milliseconds drain_limit{5000};
constexpr core::milliseconds drain_step{20};

messages::member own_member(const batch_settings& settings)
{
    messages::member self;
    self.name = settings.node.name;
    self.zone = settings.node.zone;
    self.region = settings.node.region;
    self.address = settings.listen;
    self.process_role = messages::role::batch;
    self.incarnation = static_cast<std::uint64_t>(control::unix_now_ms());
    self.start_id = process::random_text();
    return self;
}

} // namespace

const batch_node::route batch_node::routes[] = {
    {message_kind::ping, &batch_node::on_ping, true},
    {message_kind::file_put, &batch_node::on_file_put, false},
    {message_kind::file_get, &batch_node::on_file_get, true},
    {message_kind::journal_append, &batch_node::on_journal_append, true},
    {message_kind::journal_seal, &batch_node::on_journal_seal, true},
    {message_kind::job_submit, &batch_node::on_job_submit, false},
    {message_kind::job_request, &batch_node::on_job_request, false},
    {message_kind::output_request, &batch_node::on_output_request, false},
    {message_kind::jobs_request, &batch_node::on_jobs_request, false},
};

batch_settings read_settings(settings::document& from)
{
    batch_settings read;
    read.node = process::read_node(from);
    read.listen = from.address("batch.listen");
    read.metrics = from.address("batch.metrics");
    read.coordinators = from.addresses("batch.coordinators");
    read.folder = from.text("batch.folder");
    read.store = from.address("store.address");
    read.concurrency = static_cast<unsigned>(
        from.number_or("batch.concurrency", 64, {1, 1024}));
    from.finish();
    return read;
}

batch_node::batch_node(batch_settings settings, adapters::model_engine& engine,
                       adapters::key_value_store& store,
                       metrics::registry& metrics, net::rpc_client& peers)
    : settings(std::move(settings)), metrics(metrics),
      self(own_member(this->settings)),
      view(this->self, this->settings.coordinators, peers, metrics),
      slots(this->settings.node.name, this->settings.node.region, true,
            this->view, peers, metrics),
      cancels(engine), hedges(0, 0), retries(batch_retry_share, budget_burst),
      moves(0, 0), folder(this->settings.folder),
      peers(this->self, this->view, peers),
      views(this->folder, this->peers, this->owned, this->manifests),
      ownership(this->folder, this->peers, this->owned, this->manifests,
                this->views, store, metrics),
      runner(this->settings.concurrency, this->owned,
             {engine, this->slots, this->cancels, this->hedges, this->retries,
              this->moves, metrics},
             this->view, metrics),
      caller_work(caller_threads, work_limit),
      peer_work(peer_threads, work_limit)
{
}

void batch_node::start()
{
    this->view.start();
    this->slots.start();
    this->ownership.start();
    this->runner.start();
    this->server = std::make_unique<net::rpc_server>(
        this->settings.listen, open_requests,
        [this](std::string_view frame, net::reply_handle reply)
        { this->received(frame, std::move(reply)); });
    logging::event(logging::level::info, "started")
        .with("listen", this->settings.listen);
}

void batch_node::drain()
{
    logging::event(logging::level::info, "draining");
    this->runner.stop();
    auto end = control::monotonic_now() + drain_limit;
    while (this->runner.running() > 0 && control::monotonic_now() < end)
        std::this_thread::sleep_for(drain_step);
    for (const auto& job : this->owned.all())
        job->commit();
    this->view.leave();
    logging::event(logging::level::info, "stopped");
}

void batch_node::received(std::string_view frame, net::reply_handle reply)
{
    auto kind = net::kind_of(frame);
    for (const auto& one : routes)
    {
        if (one.kind != kind)
            continue;
        auto held = std::make_shared<net::reply_handle>(std::move(reply));
        auto& pool = one.from_peer ? this->peer_work : this->caller_work;
        bool taken = pool.post([this, &one, copy = std::string(frame), held]
                               { this->answer(one, copy, *held); });
        if (!taken)
            this->metrics.count("hatch_frames_dropped_total", "reason",
                                "overloaded");
        return;
    }
    this->metrics.count("hatch_frames_dropped_total", "reason", "unknown_kind");
}

void batch_node::answer(const route& by, const std::string& frame,
                        net::reply_handle& reply)
{
    try
    {
        reply.send((this->*by.handle)(frame));
    }
    catch (const net::codec_error&)
    {
        this->metrics.count("hatch_frames_dropped_total", "reason",
                            "malformed");
    }
    catch (const std::exception& error)
    {
        logging::event(logging::level::error, "request_failed")
            .with("reason", error.what());
    }
}

std::string batch_node::on_ping(std::string_view frame)
{
    net::decode<messages::ping>(frame);
    return net::encode(messages::pong{});
}

std::string batch_node::on_file_put(std::string_view frame)
{
    auto request = net::decode<messages::file_put>(frame);
    this->folder.put_file(request.file, request.content);
    messages::stored_answer answer;
    answer.stored = request.copy;
    if (!request.copy)
    {
        request.copy = true;
        for (const auto& host : this->peers.second_hosts(request.file, {}))
        {
            answer.stored = this->peers.put_file_copy(request, host.address);
            if (answer.stored)
                break;
        }
        if (!answer.stored)
            answer.reason = core::refusal::no_second_copy;
    }
    return net::encode(answer);
}

std::string batch_node::on_file_get(std::string_view frame)
{
    auto request = net::decode<messages::file_get>(frame);
    messages::file_answer answer;
    if (auto content = this->folder.get_file(request.file))
    {
        answer.found = true;
        answer.content = std::move(*content);
    }
    return net::encode(answer);
}

std::string batch_node::on_journal_append(std::string_view frame)
{
    auto request = net::decode<messages::journal_append>(frame);
    using verdict = messages::append_answer::verdict;
    auto journal = this->folder.find_journal(request.job);
    messages::append_answer answer;
    answer.result = verdict::behind;
    // A file that was made and never written remembers nothing either.
    bool blank = !journal || (journal->length() == 0 && journal->epoch() == 0);
    if (blank && request.position == 0)
    {
        answer.result =
            this->ownership.check_new_copy(request.job, request.epoch);
        if (answer.result != verdict::stored)
            return net::encode(answer);
        journal = this->folder.make_journal(request.job);
    }
    if (journal)
        answer = journal->append(request);
    return net::encode(answer);
}

std::string batch_node::on_journal_seal(std::string_view frame)
{
    auto request = net::decode<messages::journal_seal>(frame);
    messages::seal_answer answer;
    auto journal = this->folder.find_journal(request.job);
    answer.found = journal != nullptr && journal->length() > 0;
    if (answer.found)
    {
        answer.refused = !journal->seal(request.epoch);
        answer.records =
            journal->read(request.position, journal->length(), seal_part_bytes);
        answer.next = request.position + answer.records.size();
        answer.last = answer.next >= journal->length();
    }
    return net::encode(answer);
}

std::string batch_node::on_job_submit(std::string_view frame)
{
    return net::encode(
        this->ownership.submit(net::decode<messages::job_submit>(frame)));
}

std::string batch_node::on_job_request(std::string_view frame)
{
    return net::encode(
        this->ownership.job(net::decode<messages::job_request>(frame)));
}

std::string batch_node::on_output_request(std::string_view frame)
{
    return net::encode(
        this->views.output(net::decode<messages::output_request>(frame)));
}

std::string batch_node::on_jobs_request(std::string_view frame)
{
    return net::encode(
        this->views.jobs(net::decode<messages::jobs_request>(frame)));
}

} // namespace amaranthhatch::batch
