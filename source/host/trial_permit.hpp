#pragma once

#include <memory>
#include <vector>

#include "core/quarantine/trial_schedule.hpp"
#include "host/shared_quarantine.hpp"

namespace amaranthhatch::host
{

/// @brief Permits one run of a request with quarantined parts. Returned for
/// another request unless the run may have reached an endpoint.
class trial_permit
{
public:
    trial_permit(std::weak_ptr<core::quarantine::trial_schedule> schedule,
                 std::vector<core::quarantine::part_id> parts);
    ~trial_permit();
    trial_permit(const trial_permit&) = delete;
    trial_permit& operator=(const trial_permit&) = delete;

    /// @brief Records that the run was sent, and logs it.
    void begin(const prompt_run& run);

    /// @brief Records the run's end, and whether its endpoint hasn't run it.
    void end(const prompt_run& run, bool not_run);

    /// @brief True if the run may have reached an endpoint.
    bool used() const { return this->reached; }

private:
    std::weak_ptr<core::quarantine::trial_schedule> schedule;
    std::vector<core::quarantine::part_id> parts;
    bool reached = false;
};

} // namespace amaranthhatch::host
