#include "core/batches/start_share.hpp"

#include <algorithm>

namespace amaranthhatch::core::batches
{

namespace
{

// Share of the free slots that all owners together take on one view. The next
// views don't show their runs yet and are shared out likewise.
constexpr double part_per_view = 0.5;

} // namespace

void start_share::begin_view(std::uint64_t number, double free_slots,
                             std::size_t owners, double uniform)
{
    if (!this->is_new(number))
        return;
    this->view = number;
    auto sharing = static_cast<double>(std::max<std::size_t>(owners, 1));
    this->runs_left = free_slots * part_per_view / sharing + uniform;
}

} // namespace amaranthhatch::core::batches
