#include "core/configuration/declarations.hpp"

#include <algorithm>

namespace amaranthhatch::core::configuration
{

namespace
{

template <typename Declared>
const Declared* find(const std::vector<Declared>& all, std::string_view name)
{
    auto found =
        std::find_if(all.begin(), all.end(),
                     [&](const Declared& one) { return one.name == name; });
    return found == all.end() ? nullptr : &*found;
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
