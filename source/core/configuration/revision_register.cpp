#include "core/configuration/revision_register.hpp"

namespace amaranthhatch::core::configuration
{

bool revision_register::adopt(std::uint64_t revision, std::string_view text)
{
    if (revision <= this->held_revision)
        return false;
    this->held_revision = revision;
    this->held_text = text;
    return true;
}

} // namespace amaranthhatch::core::configuration
