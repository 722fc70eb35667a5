#include "entry/workspace_limits.hpp"

#include <utility>

namespace amaranthhatch::entry
{

namespace
{

// A workspace that isn't declared may run this many requests on each entry.
constexpr std::uint32_t undeclared_limit = 1000;

} // namespace

workspace_limits::place::place(place&& other) noexcept
    : owner(std::exchange(other.owner, nullptr)),
      workspace(std::move(other.workspace))
{
}

workspace_limits::place&
workspace_limits::place::operator=(place&& other) noexcept
{
    std::swap(this->owner, other.owner);
    std::swap(this->workspace, other.workspace);
    return *this;
}

workspace_limits::place::~place()
{
    if (this->owner != nullptr)
        this->owner->leave(this->workspace);
}

workspace_limits::place
workspace_limits::enter(const core::configuration::declarations& declared,
                        std::string_view workspace)
{
    const auto* known = declared.find_workspace(workspace);
    std::uint32_t limit =
        known == nullptr ? undeclared_limit : known->max_concurrent;
    std::lock_guard lock(this->guard);
    auto [found, added] = this->running.try_emplace(std::string(workspace), 0);
    if (found->second >= limit)
        return {};
    ++found->second;
    return {*this, std::string(workspace)};
}

void workspace_limits::leave(const std::string& workspace)
{
    std::lock_guard lock(this->guard);
    auto found = this->running.find(workspace);
    // Names come from callers, so idle ones aren't kept.
    if (found != this->running.end() && --found->second == 0)
        this->running.erase(found);
}

} // namespace amaranthhatch::entry
