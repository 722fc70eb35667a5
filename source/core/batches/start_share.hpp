#pragma once

#include <cstdint>

namespace amaranthhatch::core::batches
{

/// @brief How many runs one owner starts on a view of the loads that all owners
/// share.
///
/// Answers the load at which a crest of online requests ends and hundreds of
/// slots become free: every owner sees all of them in the same view, some 150
/// ms late, and has items for all. Each takes its share; what one leaves over
/// shows in the next view.
class start_share
{
public:
    /// @brief Begins a view with so many free slots; does nothing where the
    /// view is still the same. The fraction of a share is rounded at random:
    /// uniform lies in [0, 1).
    void begin_view(std::uint64_t number, double free_slots, std::size_t owners,
                    double uniform);

    bool may_start() const { return this->runs_left >= 1; }
    void on_start() { this->runs_left -= 1; }

    /// @brief Records that a run has ended by itself: its slot is free, and
    /// only this owner knows it yet.
    void on_complete() { this->runs_left += 1; }

    /// @brief True where a view hasn't been begun yet.
    bool is_new(std::uint64_t number) const { return number != this->view; }

private:
    double runs_left = 0;
    std::uint64_t view = 0;
};

} // namespace amaranthhatch::core::batches
