#pragma once

#include <memory>
#include <string>

#include "batches/item_scheduler.hpp"
#include "forward/event_splitter.hpp"
#include "http/async_client.hpp"
#include "http/response_budget.hpp"

namespace amaranthhatch::batches
{

/// @brief One run of an item at one endpoint.
class item_run : public http::call_listener,
                 public std::enable_shared_from_this<item_run>
{
public:
    /// @brief The state of a run, and after its end the outcome for its item.
    enum class run_state : std::uint8_t
    {
        running,
        complete,
        /// The endpoint responded that the item failed; counted as an attempt.
        failed,
        /// The endpoint responded that it can never run this item.
        impossible,
        /// The item is run again and resumes after its last event. Not counted
        /// as an attempt.
        retry
    };

    item_run(item_scheduler& scheduler, std::string job, std::uint32_t item,
             const core::batches::item& content, std::string authority,
             const core::endpoints::endpoint& chosen, int patience,
             std::shared_ptr<host::trial_permit> trial);

    void start();

    /// @brief Cancels the run. The events received so far stay stored, so that
    /// the next run of the item resumes after them.
    void interrupt(std::string_view reason);

    /// @brief Cancels a run that has stalled, which its endpoint answers for.
    void interrupt_stalled();

    bool on_head(int status, const http::header_list& headers) override;
    void on_other_head(const http::header_list& headers) override;
    void on_body(std::string_view piece) override;
    void on_end(http::call_end call_result, std::string_view detail) override;

    /// @brief True if the endpoint has sent no event for so long that the run
    /// is interrupted and the item run again.
    bool stalled(core::instant now) const;

    /// @brief True until a run that tries a quarantined part has shown whether
    /// it crashes its endpoint.
    bool on_trial() const
    {
        return this->trial && this->state == run_state::running &&
               this->prompt.events < host::events_of_sound_run;
    }

    const std::string& job() const { return this->job_id; }
    std::uint32_t item() const { return this->item_number; }
    const std::string& endpoint() const { return this->endpoint_id; }
    const std::string& service() const { return this->prompt.service; }
    /// @brief The time for which the run has held its slot.
    core::milliseconds running_for(core::instant now) const
    {
        return now - this->started;
    }
    run_state result() const { return this->state; }
    /// @brief True if the endpoint responded that it didn't run the item.
    bool refused() const { return this->not_run; }
    /// @brief True if the endpoint closed the connection before it had
    /// generated anything, as when it crashes.
    bool closed_at_start() const { return this->ended_at_start; }
    /// @brief True if the endpoint responded with an error that says nothing
    /// of the item.
    bool endpoint_failed() const { return this->endpoint_error; }
    /// @brief True if the run was interrupted as it had stalled.
    bool ended_stalled() const { return this->has_stalled; }

private:
    bool is_replaced(std::string_view header) const;
    void abandon_call(std::string_view reason);
    void end_over_limit(std::string_view reason);
    void drop_events(std::string_view reason);
    void update_flow();
    core::endpoints::run_outcome broken_outcome() const;
    void finish(run_state final_state,
                core::endpoints::run_outcome endpoint_outcome,
                std::string_view reason);

    item_scheduler& scheduler;
    std::string job_id;
    std::uint32_t item_number;
    const core::batches::item& content;
    std::string authority;
    std::string endpoint_id;
    std::string address;
    /// Factor of the time for which the run may send no event.
    int patience;
    std::shared_ptr<http::client_call> call;
    core::endpoints::run_key run;
    /// This run, for the quarantine of prompt parts.
    host::prompt_run prompt;
    /// Set if the item has quarantined parts.
    std::shared_ptr<host::trial_permit> trial;
    forward::event_splitter events;
    core::instant started{};
    core::instant last_event{};
    std::size_t event_count = 0;
    /// Memory of the item's events, those of earlier runs included.
    std::size_t event_bytes = 0;
    /// What the item holds of the process' memory during the run.
    std::unique_ptr<http::response_budget::share> held_bytes;
    /// True while the endpoint's connection isn't read.
    bool paused = false;
    int status = 0;
    /// True if the response shows its end by a length or chunks.
    bool framed = false;
    bool not_run = false;
    bool endpoint_error = false;
    bool has_stalled = false;
    bool ended_at_start = false;
    run_state state = run_state::running;
    // Owns the item that `content` refers to, as the job may be removed from
    // the store during the run.
    core::batches::record_ptr accepted_record;
};

} // namespace amaranthhatch::batches
