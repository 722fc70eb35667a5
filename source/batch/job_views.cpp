#include "batch/job_views.hpp"

#include <algorithm>

#include "net/codec.hpp"

namespace amaranthhatch::batch
{

namespace
{

namespace messages = core::messages;

using core::jobs::manifest_state;
using messages::job_state;

constexpr std::size_t output_part_bytes = 2u << 20;

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

} // namespace

job_views::job_views(batch_folder& folder, batch_peers& peers,
                     owned_jobs& owned, manifest_cache& manifests)
    : folder(folder), peers(peers), owned(owned), manifests(manifests)
{
}

messages::job_answer job_views::describe_unowned(const known_manifest& from)
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
        answer.authoritative = from.manifest.state == manifest_state::lost;
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

std::uint64_t job_views::committed_end(const std::string& job,
                                       const journal_file& journal) const
{
    if (this->owned.find(job) != nullptr)
        return journal.committed();
    auto known = this->manifests.find(job);
    bool over = known.manifest.is_over() &&
                known.manifest.holds_copy(this->peers.self().name);
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
job_views::output(const messages::output_request& request)
{
    messages::output_answer answer;
    auto journal = this->folder.find_journal(request.job);
    if (!journal || journal->length() == 0)
        return answer;
    std::uint64_t end = this->committed_end(request.job, *journal);
    // Only the owner knows how far a running job is, so the other copy leaves
    // the answer to it: a short output must not be taken for the whole.
    answer.found = end > 0;
    answer.next = request.position;
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

messages::jobs_answer job_views::jobs(const messages::jobs_request& request)
{
    messages::jobs_answer answer;
    for (const auto& one : this->manifests.all())
    {
        bool wanted = request.workspace.empty() ||
                      one.manifest.workspace == request.workspace;
        if (!wanted || one.manifest.state == manifest_state::preparing)
            continue;
        auto owned = this->owned.find(one.manifest.job);
        if (owned)
            answer.jobs.push_back(owned->describe());
        else if (one.manifest.holds_copy(this->peers.self().name))
            answer.jobs.push_back(this->describe_unowned(one));
    }
    return answer;
}

} // namespace amaranthhatch::batch
