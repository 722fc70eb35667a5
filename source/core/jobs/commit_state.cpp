#include "core/jobs/commit_state.hpp"

#include <algorithm>

namespace amaranthhatch::core::jobs
{

using verdict = messages::append_answer::verdict;

void commit_state::choose_second(std::string_view chosen, std::uint64_t length)
{
    this->second_host = chosen;
    this->second_listed = false;
    this->confirmed_length = length;
}

void commit_state::list_second()
{
    if (!this->second_host || this->superseded)
        return;
    this->second_listed = true;
    this->committed_length =
        std::max(this->committed_length, this->confirmed_length);
}

void commit_state::handle_append_result(verdict result, std::uint64_t length)
{
    if (result == verdict::stored)
    {
        this->confirmed_length = std::max(this->confirmed_length, length);
        if (this->second_listed && !this->superseded)
            this->committed_length =
                std::max(this->committed_length, this->confirmed_length);
        return;
    }
    this->second_host.reset();
    this->second_listed = false;
    this->superseded = this->superseded || result == verdict::sealed;
}

void commit_state::supersede()
{
    this->superseded = true;
}

bool commit_state::needs_second() const
{
    return !this->second_host && !this->superseded;
}

} // namespace amaranthhatch::core::jobs
