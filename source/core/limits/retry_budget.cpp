#include "core/limits/retry_budget.hpp"

#include <algorithm>

namespace amaranthhatch::core::limits
{

retry_budget::retry_budget(double share, double burst)
    : share(share), burst(burst), tokens(burst)
{
}

void retry_budget::earn()
{
    this->tokens = std::min(this->burst, this->tokens + this->share);
}

bool retry_budget::spend()
{
    if (this->tokens < 1)
        return false;
    this->tokens -= 1;
    return true;
}

} // namespace amaranthhatch::core::limits
