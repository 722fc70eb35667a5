#pragma once

namespace amaranthhatch::core::limits
{

/// @brief Limits repeated calls to a share of the first calls.
///
/// Each first call adds a share of a token, each repeat removes one token. When
/// all endpoints slow down at once, the tokens run out, which prevents a retry
/// storm.
class retry_budget
{
public:
    /// @brief share: repeats per first call; burst: largest number of tokens,
    /// which is also the initial number.
    retry_budget(double share, double burst);

    /// @brief Adds the share for a first call.
    void earn();

    /// @brief Removes a token for a repeat; returns false if none is left.
    bool spend();

private:
    double share;
    double burst;
    double tokens;
};

} // namespace amaranthhatch::core::limits
