#include "core/jobs/commit_state.hpp"

#include <algorithm>

namespace amaranthhatch::core::jobs
{

using verdict = messages::append_answer::verdict;

void commit_state::choose_second(std::string_view chosen, std::uint64_t length)
{
    this->host = chosen;
    this->settled = false;
    this->confirmed_length = length;
}

void commit_state::settle_second()
{
    if (!this->host || this->deposed)
        return;
    this->settled = true;
    this->committed_length =
        std::max(this->committed_length, this->confirmed_length);
}

void commit_state::replicated(verdict result, std::uint64_t length)
{
    if (result == verdict::stored)
    {
        this->confirmed_length = std::max(this->confirmed_length, length);
        if (this->settled && !this->deposed)
            this->committed_length =
                std::max(this->committed_length, this->confirmed_length);
        return;
    }
    this->host.reset();
    this->settled = false;
    this->deposed = this->deposed || result == verdict::sealed;
}

void commit_state::depose()
{
    this->deposed = true;
}

bool commit_state::needs_second() const
{
    return !this->host && !this->deposed;
}

} // namespace amaranthhatch::core::jobs
