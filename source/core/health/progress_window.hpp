#pragma once

#include "core/instant.hpp"

namespace amaranthhatch::core::health
{

/// @brief Recent tokens and generating time of an endpoint, fading with age.
class progress_window
{
public:
    explicit progress_window(milliseconds half_life) : half_life(half_life) {}

    void add(instant now, double tokens, double stream_ms);

    /// @brief Milliseconds per token; a silent endpoint's value keeps growing.
    double gap_ms() const;

    /// @brief Generating time behind the value, which tells its weight.
    double evidence_ms() const { return this->stream_ms; }

    double recent_tokens() const { return this->tokens; }

    void clear();

private:
    milliseconds half_life;
    double tokens = 0;
    double stream_ms = 0;
    instant updated{};
};

} // namespace amaranthhatch::core::health
