#include "core/configuration/declarations.hpp"

#include <algorithm>

namespace amaranthhatch::core::configuration
{

namespace
{

template <typename Declared>
const Declared* find(const std::vector<Declared>& declared,
                     std::string_view name)
{
    auto found = std::find_if(declared.begin(), declared.end(),
                              [&](const Declared& candidate)
                              { return candidate.name == name; });
    return found == declared.end() ? nullptr : &*found;
}

} // namespace

const work_class* declarations::find_class(std::string_view name) const
{
    return find(this->classes, name);
}

const model* declarations::find_model(std::string_view name) const
{
    return find(this->models, name);
}

const service* declarations::find_service(std::string_view name) const
{
    return find(this->services, name);
}

const workspace* declarations::find_workspace(std::string_view name) const
{
    return find(this->workspaces, name);
}

} // namespace amaranthhatch::core::configuration
