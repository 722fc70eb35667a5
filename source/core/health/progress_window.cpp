#include "core/health/progress_window.hpp"

#include <algorithm>
#include <cmath>

namespace amaranthhatch::core::health
{

void progress_window::add(instant now, double added_tokens, double added_ms)
{
    double age = static_cast<double>((now - this->updated).count());
    double retained_share = std::exp2(
        -std::max(age, 0.0) / static_cast<double>(this->half_life.count()));
    this->tokens = this->tokens * retained_share + added_tokens;
    this->stream_ms = this->stream_ms * retained_share + added_ms;
    this->updated = now;
}

double progress_window::gap_ms() const
{
    // Half a token stands for the one that is under way.
    return this->stream_ms / (this->tokens + 0.5);
}

void progress_window::clear()
{
    this->tokens = 0;
    this->stream_ms = 0;
}

} // namespace amaranthhatch::core::health
