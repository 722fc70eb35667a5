#include "batch/job_ownership.hpp"

#include <algorithm>

#include "batch/manifest_text.hpp"
#include "batch/owned_job.hpp"
#include "control/control_loop.hpp"
#include "logging/event.hpp"
#include "net/codec.hpp"
#include "process/program.hpp"

namespace amaranthhatch::batch
{

namespace
{

namespace messages = core::messages;

using adapters::store_result;
using core::outcome;
using core::refusal;
using core::jobs::job_manifest;
using core::jobs::manifest_action;
using core::jobs::manifest_state;
using messages::job_state;
using std::chrono::milliseconds;

constexpr milliseconds watch_time{1000};
constexpr milliseconds pause_after_failure{500};
constexpr milliseconds manage_interval{200};
constexpr milliseconds commit_interval{10};

messages::submit_answer refused(refusal reason, outcome known,
                                std::string_view detail)
{
    messages::submit_answer answer;
    answer.execution = known;
    answer.reason = reason;
    answer.detail = detail;
    return answer;
}

messages::submit_answer accepted()
{
    messages::submit_answer answer;
    answer.accepted = true;
    answer.execution = outcome::done;
    return answer;
}

std::optional<messages::job_submit> description_of(const journal_file& journal)
{
    auto first = journal.read(0, 1, 1);
    if (first.empty())
        return std::nullopt;
    return net::decode<messages::journal_record>(first.front()).description;
}

} // namespace

job_ownership::job_ownership(batch_folder& folder, batch_peers& peers,
                             owned_jobs& owned, manifest_cache& manifests,
                             job_views& views, adapters::key_value_store& store,
                             metrics::registry& metrics)
    : folder(folder), peers(peers), owned(owned), manifests(manifests),
      views(views), store(store), metrics(metrics)
{
}

job_ownership::~job_ownership()
{
    this->stop();
}

void job_ownership::start()
{
    this->threads.emplace_back([this] { this->watch(); });
    this->threads.emplace_back([this] { this->manage(); });
    this->threads.emplace_back([this] { this->commit_loop(); });
}

void job_ownership::stop()
{
    this->stopping = true;
    for (auto& thread : this->threads)
        thread.join();
    this->threads.clear();
}

void job_ownership::watch()
{
    std::uint64_t revision = 0;
    while (!this->stopping)
    {
        auto changes = this->store.watch(manifest_prefix, revision, watch_time);
        if (changes.result != store_result::done)
        {
            this->metrics.count("hatch_store_failures_total", "call", "watch");
            std::this_thread::sleep_for(pause_after_failure);
            continue;
        }
        revision = changes.revision;
        for (const auto& entry : changes.entries)
            this->take(entry);
    }
}

void job_ownership::take(const adapters::store_entry& entry)
{
    if (auto news = this->manifests.take(entry))
        this->obey(*news);
}

void job_ownership::obey(const job_manifest& manifest)
{
    auto job = this->owned.find(manifest.job);
    if (!job)
        return;
    bool other = manifest.owner != this->peers.self().name ||
                 manifest.epoch > job->epoch();
    if (other || manifest.state == manifest_state::cancelled)
        job->stop();
    if (other)
        this->owned.remove(manifest.job);
}

std::shared_ptr<std::mutex> job_ownership::lock_of(const std::string& job)
{
    std::lock_guard lock(this->guard);
    auto& found = this->locks[job];
    if (!found)
        found = std::make_shared<std::mutex>();
    return found;
}

job_ownership::write_result job_ownership::write(job_manifest manifest,
                                                 std::uint64_t version)
{
    manifest.write = process::random_text();
    auto answer =
        adapters::write_resolved(this->store, manifest_key(manifest.job),
                                 write_manifest(manifest), version);
    write_result result;
    result.result = answer.result;
    if (answer.result == store_result::done ||
        answer.result == store_result::conflict)
    {
        this->take(answer.entry);
        if (auto now = read_manifest(answer.entry.value))
            result.now = {*now, answer.entry.version};
    }
    return result;
}

messages::submit_answer
job_ownership::submit(const messages::job_submit& request)
{
    auto lock = this->lock_of(request.job);
    std::lock_guard turn(*lock);
    auto answer = this->store.read(manifest_key(request.job));
    if (answer.result != store_result::done)
        return refused(refusal::store_unreachable, outcome::not_run, {});
    known_manifest standing;
    if (answer.entry.version > 0)
    {
        auto manifest = read_manifest(answer.entry.value);
        if (!manifest)
            return refused(refusal::bad_request, outcome::unknown,
                           "the job's manifest can't be read");
        if (manifest->state != manifest_state::preparing)
            return accepted();
        bool other_prepares = manifest->owner != this->peers.self().name &&
                              this->peers.is_alive(manifest->owner);
        if (other_prepares)
            return refused(refusal::moved, outcome::unknown,
                           "another batch host is accepting this job");
        standing = {*manifest, answer.entry.version};
    }
    auto input = this->folder.get_file(request.input_file);
    if (!input)
        input = this->peers.get_file(request.input_file);
    if (!input)
        return refused(refusal::unknown_job, outcome::not_run,
                       "the input file isn't there; upload it again");
    job_manifest reserved;
    reserved.job = request.job;
    reserved.workspace = request.workspace;
    reserved.epoch = standing.manifest.epoch + 1;
    reserved.owner = this->peers.self().name;
    auto written = this->write(reserved, standing.version);
    if (written.result == store_result::conflict)
        return refused(refusal::moved, outcome::unknown,
                       "another batch host is accepting this job");
    if (written.result != store_result::done)
        return refused(refusal::store_unreachable, outcome::unknown, {});
    return this->prepare(request, written.now, *input);
}

messages::submit_answer
job_ownership::prepare(const messages::job_submit& request,
                       known_manifest reserved, const std::string& input)
{
    auto journal = this->folder.make_journal(request.job);
    messages::journal_append first;
    first.job = request.job;
    first.epoch = reserved.manifest.epoch;
    first.records = initial_records(request, input);
    auto stored = journal->append(first);
    if (stored.result != messages::append_answer::verdict::stored)
        return refused(refusal::moved, outcome::unknown,
                       "a later epoch has sealed this host's copy");
    auto job = std::make_shared<owned_job>(request, reserved.manifest.epoch,
                                           journal, this->peers);
    if (!this->find_second(job))
        return refused(refusal::no_second_copy, outcome::not_run, {});
    job_manifest manifest = reserved.manifest;
    manifest.state = manifest_state::running;
    manifest.copies = {this->peers.self().name, job->second_name()};
    auto written = this->write(manifest, reserved.version);
    if (written.result == store_result::conflict)
        return refused(refusal::moved, outcome::unknown,
                       "another batch host is accepting this job");
    if (written.result != store_result::done)
        return refused(refusal::store_unreachable, outcome::unknown, {});
    job->settle_second();
    this->owned.add(job);
    logging::event(logging::level::info, "job_accepted")
        .with("job", request.job)
        .with("items", static_cast<std::int64_t>(job->describe().total))
        .with("second", job->second_name());
    return accepted();
}

bool job_ownership::find_second(const std::shared_ptr<owned_job>& job)
{
    auto preferred = this->manifests.find(job->about().job).manifest.copies;
    for (const auto& host :
         this->peers.second_hosts(job->about().job, preferred))
    {
        if (job->set_second(host))
            return true;
        if (job->is_deposed())
            return false;
    }
    return false;
}

void job_ownership::manage()
{
    while (!this->stopping)
    {
        this->peers.look();
        for (const auto& one : this->manifests.all())
        {
            if (this->stopping)
                return;
            const auto& manifest = one.manifest;
            bool owning = this->owned.find(manifest.job) != nullptr;
            auto action = core::jobs::decide_action(
                manifest, this->peers.self().name, owning, this->peers);
            if (action == manifest_action::take_over)
                this->take_over(one);
            else if (action == manifest_action::repair)
                this->repair_over(one);
        }
        for (const auto& job : this->owned.all())
            this->care_for(job);
        std::this_thread::sleep_for(manage_interval);
    }
}

job_ownership::local_copy
job_ownership::ensure_local(const job_manifest& manifest, journal_file& journal)
{
    if (journal.length() > 0)
        return journal.seal(manifest.epoch) ? local_copy::ready
                                            : local_copy::not_yet;
    bool all_absent = true;
    for (const auto& host : manifest.copies)
    {
        if (host == this->peers.self().name)
            continue;
        auto found = this->peers.find(host);
        auto result = found ? this->peers.fetch(journal, manifest.job,
                                                manifest.epoch, found->address)
                            : fetch_result::failed;
        if (result == fetch_result::fetched)
            return local_copy::ready;
        all_absent = all_absent && result == fetch_result::absent;
    }
    // Both hosts are there and neither has the job: it is gone for good.
    return all_absent ? local_copy::lost : local_copy::not_yet;
}

bool job_ownership::win_epoch(known_manifest& from)
{
    const auto& job = from.manifest.job;
    bool won_before = from.manifest.owner == this->peers.self().name &&
                      this->won_epochs[job] == from.manifest.epoch;
    // A takeover that waits for a copy needs no further epoch.
    if (won_before)
        return true;
    job_manifest next = from.manifest;
    ++next.epoch;
    next.owner = this->peers.self().name;
    auto written = this->write(next, from.version);
    if (written.result != store_result::done)
        return false;
    from = written.now;
    this->won_epochs[job] = from.manifest.epoch;
    return true;
}

void job_ownership::take_over(known_manifest from)
{
    auto lock = this->lock_of(from.manifest.job);
    std::lock_guard turn(*lock);
    std::string old_owner = from.manifest.owner;
    if (this->owned.find(from.manifest.job) != nullptr ||
        !this->win_epoch(from))
        return;
    const auto& next = from.manifest;
    auto journal = this->folder.make_journal(next.job);
    auto copy = this->ensure_local(next, *journal);
    if (copy == local_copy::lost)
        this->give_up(from);
    if (copy != local_copy::ready)
    {
        this->metrics.count("hatch_takeovers_total", "result", "no_copy");
        return;
    }
    auto description = description_of(*journal);
    if (!description)
        return;
    auto job = std::make_shared<owned_job>(*description, next.epoch, journal,
                                           this->peers);
    job->recover();
    this->owned.add(job);
    this->metrics.count("hatch_takeovers_total", "result", "done");
    logging::event(logging::level::info, "job_taken_over")
        .with("job", next.job)
        .with("epoch", static_cast<std::int64_t>(next.epoch))
        .with("from", old_owner);
}

void job_ownership::give_up(const known_manifest& from)
{
    job_manifest lost = from.manifest;
    lost.state = manifest_state::lost;
    this->write(lost, from.version);
    this->metrics.count("hatch_jobs_lost_total", "workspace", lost.workspace);
    logging::event(logging::level::error, "job_lost")
        .with("job", lost.job)
        .with("workspace", lost.workspace);
}

// A finished or cancelled job has no owner that runs; its results stay
// readable as long as there are two copies.
void job_ownership::repair_over(known_manifest from)
{
    auto lock = this->lock_of(from.manifest.job);
    std::lock_guard turn(*lock);
    auto journal = this->folder.find_journal(from.manifest.job);
    if (!journal || journal->length() == 0)
        return;
    job_manifest next = from.manifest;
    ++next.epoch;
    next.owner = this->peers.self().name;
    for (const auto& host : this->peers.second_hosts(next.job, next.copies))
    {
        auto result = this->peers.replicate(*journal, next.job, next.epoch, 0,
                                            host.address);
        if (result != messages::append_answer::verdict::stored)
            continue;
        next.copies = {this->peers.self().name, host.name};
        this->write(next, from.version);
        this->metrics.count("hatch_repairs_total", "kind", "over");
        return;
    }
}

void job_ownership::care_for(const std::shared_ptr<owned_job>& job)
{
    if (job->is_deposed())
    {
        this->owned.remove(job->about().job);
        return;
    }
    auto standing = this->manifests.find(job->about().job);
    if (standing.manifest.epoch != job->epoch())
        return;
    if (job->needs_second())
    {
        if (!this->find_second(job))
            return;
        this->metrics.count("hatch_repairs_total", "kind", "running");
    }
    job_manifest wanted = standing.manifest;
    wanted.copies = {this->peers.self().name, job->second_name()};
    if (job->is_over())
    {
        bool cancelled =
            job->describe().state == messages::job_state::cancelled;
        wanted.state =
            cancelled ? manifest_state::cancelled : manifest_state::finished;
    }
    bool changed = wanted.copies != standing.manifest.copies ||
                   wanted.state != standing.manifest.state;
    if (changed)
    {
        auto written = this->write(wanted, standing.version);
        if (written.result != store_result::done)
            return;
    }
    job->settle_second();
    if (wanted.is_over() && job->is_over())
        this->owned.remove(job->about().job);
}

void job_ownership::commit_loop()
{
    while (!this->stopping)
    {
        for (const auto& job : this->owned.all())
        {
            if (!job->needs_second())
                job->commit();
        }
        std::this_thread::sleep_for(commit_interval);
    }
}

// A host that lost its disk has forgotten which epochs were sealed out, so an
// owner that was deposed long ago could find it and commit with it. The
// manifest remembers.
messages::append_answer::verdict
job_ownership::check_new_copy(const std::string& job, std::uint64_t epoch)
{
    using verdict = messages::append_answer::verdict;
    auto answer = this->store.read(manifest_key(job));
    if (answer.result != store_result::done || answer.entry.version == 0)
        return verdict::failed;
    this->take(answer.entry);
    auto manifest = read_manifest(answer.entry.value);
    if (!manifest)
        return verdict::failed;
    return manifest->epoch > epoch ? verdict::sealed : verdict::stored;
}

messages::job_answer job_ownership::job(const messages::job_request& request)
{
    auto owned = this->owned.find(request.job);
    if (owned && request.cancel && !owned->cancel())
    {
        auto answer = owned->describe();
        answer.authoritative = false;
        answer.state = job_state::waiting;
        return answer;
    }
    if (owned)
        return owned->describe();
    known_manifest standing;
    auto read = this->store.read(manifest_key(request.job));
    if (read.result == store_result::done && read.entry.version > 0)
    {
        this->take(read.entry);
        if (auto manifest = read_manifest(read.entry.value))
            standing = {*manifest, read.entry.version};
    }
    else
    {
        standing = this->manifests.find(request.job);
    }
    // The owner stops a job itself; only for one whose owner is gone does the
    // word in the platform's service have to do.
    bool tombstone = request.cancel && standing.version > 0 &&
                     !standing.manifest.is_over() &&
                     standing.manifest.state != manifest_state::preparing &&
                     !this->peers.find(standing.manifest.owner) &&
                     standing.manifest.owner != this->peers.self().name;
    if (tombstone)
    {
        job_manifest cancelled = standing.manifest;
        cancelled.state = manifest_state::cancelled;
        auto written = this->write(cancelled, standing.version);
        if (written.now.version > 0)
            standing = written.now;
    }
    return this->views.describe_unowned(standing);
}

} // namespace amaranthhatch::batch
