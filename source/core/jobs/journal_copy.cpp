#include "core/jobs/journal_copy.hpp"

#include <algorithm>

#include "core/hash.hpp"

namespace amaranthhatch::core::jobs
{

using verdict = messages::append_answer::verdict;

append_decision
journal_copy::decide(const messages::journal_append& request) const
{
    append_decision decision;
    decision.keep = this->length();
    if (request.epoch < this->sealed_epoch)
    {
        decision.verdict = verdict::sealed;
        return decision;
    }
    if (request.position > this->length())
    {
        decision.verdict = verdict::behind;
        return decision;
    }
    decision.verdict = verdict::stored;
    while (decision.skip < request.records.size())
    {
        std::uint64_t record_position = request.position + decision.skip;
        bool identical = record_position < this->length() &&
                         this->hashes[record_position] ==
                             hash(request.records[decision.skip]);
        if (!identical)
            break;
        ++decision.skip;
    }
    std::uint64_t first_new = request.position + decision.skip;
    bool conflict =
        decision.skip < request.records.size() && first_new < this->length();
    if (!conflict)
        return decision;
    // A committed record is identical in every copy; a request that would
    // replace one is refused, whichever host sends it.
    if (first_new < this->committed_length)
        decision.verdict = verdict::failed;
    else
        decision.keep = first_new;
    return decision;
}

bool journal_copy::seal(std::uint64_t epoch)
{
    if (epoch < this->sealed_epoch)
        return false;
    this->sealed_epoch = epoch;
    return true;
}

void journal_copy::applied(std::uint64_t keep,
                           std::span<const std::string> added)
{
    this->hashes.resize(std::min<std::uint64_t>(keep, this->length()));
    for (const auto& record : added)
        this->hashes.push_back(hash(record));
}

void journal_copy::advance_committed(std::uint64_t position)
{
    this->committed_length =
        std::max(this->committed_length, std::min(position, this->length()));
}

} // namespace amaranthhatch::core::jobs
