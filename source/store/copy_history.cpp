#include "store/copy_history.hpp"

#include <algorithm>

namespace amaranthhatch::store
{

namespace
{

// At one read of the endpoint entries in 1.3 seconds, the shortest interval in
// use, these are the revisions of 20 minutes.
constexpr std::size_t step_limit = 1024;
// Twice the endpoints of the largest fleet; a key takes some 100 bytes.
constexpr std::size_t key_limit = 8192;

} // namespace

void copy_history::record(std::uint64_t from, std::uint64_t until,
                          std::vector<std::string> removed, bool every_removal)
{
    if (until <= from)
        return;
    this->key_count += removed.size();
    this->steps.push_back({from, until, std::move(removed), every_removal});
    while (this->steps.size() > step_limit || this->key_count > key_limit)
    {
        this->key_count -= this->steps.front().removed.size();
        this->steps.pop_front();
    }
}

bool copy_history::covers(std::uint64_t revision) const
{
    if (this->steps.empty() || revision < this->steps.front().from ||
        revision > this->steps.back().until)
        return false;
    return std::none_of(this->steps.begin(), this->steps.end(),
                        [&](const step& each)
                        {
                            return !each.every_removal &&
                                   each.from < revision &&
                                   revision < each.until;
                        });
}

std::vector<std::string>
copy_history::removed_after(std::uint64_t revision) const
{
    std::vector<std::string> out;
    for (const auto& each : this->steps)
        if (each.until > revision)
            out.insert(out.end(), each.removed.begin(), each.removed.end());
    std::sort(out.begin(), out.end());
    out.erase(std::unique(out.begin(), out.end()), out.end());
    return out;
}

} // namespace amaranthhatch::store
