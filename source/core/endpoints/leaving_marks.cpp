#include "core/endpoints/leaving_marks.hpp"

#include <algorithm>

namespace amaranthhatch::core::endpoints
{

leaving_marks::leaving_marks(std::size_t limit) : limit(limit) {}

bool leaving_marks::add(std::string_view id, incarnation marked)
{
    if (this->covers(id, marked))
        return false;
    this->marks.insert_or_assign(std::string(id),
                                 mark{std::move(marked), this->next_order++});
    if (this->marks.size() > this->limit)
        this->forget_first();
    return true;
}

bool leaving_marks::covers(std::string_view id, const incarnation& asked) const
{
    auto found = this->marks.find(id);
    if (found == this->marks.end())
        return false;
    const auto& known = found->second.marked;
    if (known.started_ms == 0 || asked.started_ms == 0)
        return known.address == asked.address;
    return asked.started_ms <= known.started_ms;
}

void leaving_marks::forget_first()
{
    auto first =
        std::min_element(this->marks.begin(), this->marks.end(),
                         [](const auto& left, const auto& right)
                         { return left.second.order < right.second.order; });
    this->marks.erase(first);
}

} // namespace amaranthhatch::core::endpoints
