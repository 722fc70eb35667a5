#include "host/trial_permit.hpp"

#include "logging/event.hpp"

namespace amaranthhatch::host
{

trial_permit::trial_permit(
    std::weak_ptr<core::quarantine::trial_schedule> schedule,
    std::vector<core::quarantine::part_id> parts)
    : schedule(std::move(schedule)), parts(std::move(parts))
{
    if (auto running = this->schedule.lock())
        for (auto part : this->parts)
            running->use(part);
}

void trial_permit::begin(const prompt_run& run)
{
    this->reached = true;
    logging::event(logging::level::info, "trial_begun")
        .with("id", run.request)
        .with("endpoint", run.endpoint)
        .with("parts", hex_list(this->parts));
}

void trial_permit::end(const prompt_run& run, bool not_run)
{
    if (not_run)
        this->reached = false;
    auto running = this->schedule.lock();
    if (running && run.events >= events_of_sound_run)
        for (auto part : this->parts)
            running->record_answer(part);
    logging::event(logging::level::info, "trial_ended")
        .with("id", run.request)
        .with("endpoint", run.endpoint)
        .with("reached", not_run ? 0 : 1)
        .with("events", run.events)
        .with("parts", hex_list(this->parts));
}

trial_permit::~trial_permit()
{
    auto running = this->schedule.lock();
    if (this->reached || !running)
        return;
    for (auto part : this->parts)
        running->give_back(part);
}

} // namespace amaranthhatch::host
