#pragma once

namespace amaranthhatch::core::limits
{

/// @brief Lets repeated calls be at most a share of the first calls.
///
/// Each first call earns a share of a token, each repeat spends one. When all
/// endpoints slow down at once, the tokens run out and no storm of repeats
/// can build up.
class retry_budget
{
public:
    /// @brief share: repeats per first call; burst: tokens held at most.
    retry_budget(double share, double burst);

    void earn();

    /// @brief Spends a token; false where none is left.
    bool spend();

private:
    double share;
    double burst;
    double tokens;
};

} // namespace amaranthhatch::core::limits
