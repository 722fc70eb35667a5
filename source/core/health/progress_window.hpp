#pragma once

#include "core/instant.hpp"

namespace amaranthhatch::core::health
{

/// @brief Recent tokens and generating time of an endpoint, with exponential
/// decay.
class progress_window
{
public:
    explicit progress_window(milliseconds half_life) : half_life(half_life) {}

    void add(instant now, double tokens, double stream_ms);

    /// @brief Returns milliseconds per token; it keeps growing while streams
    /// run without sending tokens.
    double gap_ms() const;

    /// @brief Returns the generating time that gap_ms() is based on.
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
