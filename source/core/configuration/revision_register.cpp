#include "core/configuration/revision_register.hpp"

namespace amaranthhatch::core::configuration
{

bool revision_register::adopt(std::uint64_t revision, std::string_view text)
{
    if (revision <= this->current_revision)
        return false;
    this->current_revision = revision;
    this->current_text = text;
    return true;
}

} // namespace amaranthhatch::core::configuration
