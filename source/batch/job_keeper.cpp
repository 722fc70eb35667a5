#include "batch/job_keeper.hpp"

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

using core::outcome;
using core::refusal;
using core::jobs::job_manifest;
using core::jobs::manifest_action;
using core::jobs::manifest_state;
using messages::job_state;
using platform::store_result;
using std::chrono::milliseconds;

constexpr milliseconds watch_time{1000};
constexpr milliseconds pause_after_failure{500};
constexpr milliseconds manage_interval{200};
constexpr milliseconds commit_interval{10};
constexpr std::size_t output_part_bytes = 2u << 20;

messages::submit_answer refused(refusal reason, outcome known,
                                std::string_view detail)
{
    messages::submit_answer answer;
    answer.known = known;
    answer.reason = reason;
    answer.detail = detail;
    return answer;
}

messages::submit_answer accepted()
{
    messages::submit_answer answer;
    answer.accepted = true;
    answer.known = outcome::done;
    return answer;
}

job_state state_of(manifest_state state)
{
    switch (state)
    {
    case manifest_state::cancelled:
        return job_state::cancelled;
    case manifest_state::finished:
        return job_state::finished;
    case manifest_state::lost:
        return job_state::lost;
    default:
        return job_state::waiting;
    }
}

std::optional<messages::job_submit> description_of(const journal_file& journal)
{
    auto first = journal.read(0, 1, 1);
    if (first.empty())
        return std::nullopt;
    return net::decode<messages::journal_record>(first.front()).description;
}

} // namespace

job_keeper::job_keeper(batch_folder& folder, batch_peers& peers,
                       job_board& board, platform::key_value_store& store,
                       metrics::registry& metrics)
    : folder(folder), peers(peers), board(board), store(store), metrics(metrics)
{
}

job_keeper::~job_keeper()
{
    this->stop();
}

void job_keeper::start()
{
    this->threads.emplace_back([this] { this->watch(); });
    this->threads.emplace_back([this] { this->manage(); });
    this->threads.emplace_back([this] { this->commit_loop(); });
}

void job_keeper::stop()
{
    this->stopping = true;
    for (auto& thread : this->threads)
        thread.join();
    this->threads.clear();
}

void job_keeper::watch()
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

void job_keeper::take(const platform::store_entry& entry)
{
    auto manifest = read_manifest(entry.value);
    if (!manifest)
        return;
    {
        std::lock_guard lock(this->guard);
        auto& known = this->manifests[manifest->job];
        if (entry.version <= known.version)
            return;
        known = {*manifest, entry.version};
    }
    this->obey(*manifest);
}

void job_keeper::obey(const job_manifest& manifest)
{
    auto job = this->board.find(manifest.job);
    if (!job)
        return;
    bool other = manifest.owner != this->peers.self().name ||
                 manifest.epoch > job->epoch();
    if (other || manifest.state == manifest_state::cancelled)
        job->stop();
    if (other)
        this->board.remove(manifest.job);
}

std::vector<job_keeper::known_manifest> job_keeper::known() const
{
    std::lock_guard lock(this->guard);
    std::vector<known_manifest> list;
    for (const auto& [name, one] : this->manifests)
        list.push_back(one);
    return list;
}

std::shared_ptr<std::mutex> job_keeper::lock_of(const std::string& job)
{
    std::lock_guard lock(this->guard);
    auto& found = this->locks[job];
    if (!found)
        found = std::make_shared<std::mutex>();
    return found;
}

job_keeper::write_result job_keeper::write(job_manifest manifest,
                                           std::uint64_t version)
{
    manifest.write = process::random_text();
    auto answer =
        platform::write_resolved(this->store, manifest_key(manifest.job),
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

messages::submit_answer job_keeper::submit(const messages::job_submit& request)
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

messages::submit_answer job_keeper::prepare(const messages::job_submit& request,
                                            known_manifest reserved,
                                            const std::string& input)
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
    this->board.add(job);
    logging::event(logging::level::info, "job_accepted")
        .with("job", request.job)
        .with("items", static_cast<std::int64_t>(job->describe().total))
        .with("second", job->second_name());
    return accepted();
}

bool job_keeper::find_second(const std::shared_ptr<owned_job>& job)
{
    std::vector<std::string> preferred;
    for (const auto& one : this->known())
    {
        if (one.manifest.job == job->about().job)
            preferred = one.manifest.copies;
    }
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

void job_keeper::manage()
{
    while (!this->stopping)
    {
        this->peers.look();
        for (const auto& one : this->known())
        {
            if (this->stopping)
                return;
            const auto& manifest = one.manifest;
            bool owning = this->board.find(manifest.job) != nullptr;
            auto action = core::jobs::decide_action(
                manifest, this->peers.self().name, owning, this->peers);
            if (action == manifest_action::take_over)
                this->take_over(one);
            else if (action == manifest_action::repair)
                this->repair_over(one);
        }
        for (const auto& job : this->board.all())
            this->care_for(job);
        std::this_thread::sleep_for(manage_interval);
    }
}

bool job_keeper::ensure_local(const job_manifest& manifest,
                              journal_file& journal)
{
    if (journal.length() > 0)
        return journal.seal(manifest.epoch);
    for (const auto& host : manifest.copies)
    {
        auto found = this->peers.find(host);
        if (found && this->peers.fetch(journal, manifest.job, manifest.epoch,
                                       found->address))
            return true;
    }
    return false;
}

void job_keeper::take_over(known_manifest from)
{
    auto lock = this->lock_of(from.manifest.job);
    std::lock_guard turn(*lock);
    if (this->board.find(from.manifest.job) != nullptr)
        return;
    job_manifest next = from.manifest;
    ++next.epoch;
    next.owner = this->peers.self().name;
    auto won = this->write(next, from.version);
    if (won.result != store_result::done)
        return;
    auto journal = this->folder.make_journal(next.job);
    if (!this->ensure_local(next, *journal))
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
    this->board.add(job);
    this->metrics.count("hatch_takeovers_total", "result", "done");
    logging::event(logging::level::info, "job_taken_over")
        .with("job", next.job)
        .with("epoch", static_cast<std::int64_t>(next.epoch))
        .with("from", from.manifest.owner);
}

// A finished or cancelled job has no owner that runs; its results stay
// readable as long as there are two copies.
void job_keeper::repair_over(known_manifest from)
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

void job_keeper::care_for(const std::shared_ptr<owned_job>& job)
{
    if (job->is_deposed())
    {
        this->board.remove(job->about().job);
        return;
    }
    known_manifest standing;
    {
        std::lock_guard lock(this->guard);
        standing = this->manifests[job->about().job];
    }
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
        this->board.remove(job->about().job);
}

void job_keeper::commit_loop()
{
    while (!this->stopping)
    {
        for (const auto& job : this->board.all())
        {
            if (!job->needs_second())
                job->commit();
        }
        std::this_thread::sleep_for(commit_interval);
    }
}

messages::job_answer job_keeper::describe_unowned(const known_manifest& from)
{
    messages::job_answer answer;
    answer.found =
        from.version > 0 && from.manifest.state != manifest_state::preparing;
    answer.owner = from.manifest.owner;
    answer.state = state_of(from.manifest.state);
    answer.authoritative = answer.found && from.manifest.is_over();
    answer.description.job = from.manifest.job;
    auto journal = this->folder.find_journal(from.manifest.job);
    if (!journal || journal->length() == 0)
    {
        // A host without a copy leaves the counts to one that has it.
        answer.authoritative = false;
        return answer;
    }
    for (std::uint64_t at = 0; at < journal->length();)
    {
        auto part = journal->read(at, journal->length(), output_part_bytes);
        at += part.size();
        for (const auto& text : part)
        {
            auto record = net::decode<messages::journal_record>(text);
            if (record.kind == messages::record_kind::description)
                answer.description = record.description;
            answer.total += record.kind == messages::record_kind::input ? 1 : 0;
            if (record.kind != messages::record_kind::result)
                continue;
            ++(record.failed ? answer.failed : answer.completed);
        }
    }
    return answer;
}

messages::job_answer job_keeper::job(const messages::job_request& request)
{
    auto owned = this->board.find(request.job);
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
        std::lock_guard lock(this->guard);
        auto found = this->manifests.find(request.job);
        if (found != this->manifests.end())
            standing = found->second;
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
    return this->describe_unowned(standing);
}

std::uint64_t job_keeper::committed_end(const std::string& job,
                                        const journal_file& journal) const
{
    if (this->board.find(job) != nullptr)
        return journal.committed();
    std::lock_guard lock(this->guard);
    auto found = this->manifests.find(job);
    bool over = found != this->manifests.end() &&
                found->second.manifest.is_over() &&
                found->second.manifest.holds_copy(this->peers.self().name);
    if (!over)
        return 0;
    auto last = journal.read(journal.length() - 1, journal.length(), 1);
    auto kind = net::decode<messages::journal_record>(last.front()).kind;
    bool ended = kind == messages::record_kind::finish ||
                 kind == messages::record_kind::cancel;
    // Behind the last commit of an owner that died, copies may differ.
    return ended ? journal.length()
                 : std::max<std::uint64_t>(journal.committed(), 1);
}

messages::output_answer
job_keeper::output(const messages::output_request& request)
{
    messages::output_answer answer;
    auto journal = this->folder.find_journal(request.job);
    if (!journal || journal->length() == 0)
        return answer;
    std::uint64_t end = this->committed_end(request.job, *journal);
    // Only the owner knows how far a running job is, so the other copy leaves
    // the answer to it: a short output must not be taken for the whole.
    answer.found = end > 0;
    answer.next = request.from;
    while (answer.next < end && answer.lines.size() < output_part_bytes)
    {
        auto part = journal->read(answer.next, end, output_part_bytes);
        if (part.empty())
            break;
        answer.next += part.size();
        for (const auto& text : part)
        {
            auto record = net::decode<messages::journal_record>(text);
            if (record.kind == messages::record_kind::result)
                answer.lines += record.text + "\n";
        }
    }
    answer.last = answer.next >= end;
    return answer;
}

messages::jobs_answer job_keeper::jobs(const messages::jobs_request& request)
{
    messages::jobs_answer answer;
    for (const auto& one : this->known())
    {
        bool wanted = request.workspace.empty() ||
                      one.manifest.workspace == request.workspace;
        if (!wanted || one.manifest.state == manifest_state::preparing)
            continue;
        auto owned = this->board.find(one.manifest.job);
        if (owned)
            answer.jobs.push_back(owned->describe());
        else if (one.manifest.holds_copy(this->peers.self().name))
            answer.jobs.push_back(this->describe_unowned(one));
    }
    return answer;
}

} // namespace amaranthhatch::batch
