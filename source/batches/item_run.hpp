#pragma once

#include <memory>
#include <string>

#include "batches/item_scheduler.hpp"
#include "forward/event_splitter.hpp"
#include "http/async_client.hpp"

namespace amaranthhatch::batches
{

/// @brief One item at one endpoint.
class item_run : public http::call_listener,
                 public std::enable_shared_from_this<item_run>
{
public:
    /// @brief How a run ended, as far as the item goes.
    enum class ending : std::uint8_t
    {
        running,
        whole,
        /// The endpoint failed the item; this counts as an attempt.
        failed,
        /// The item can never be done.
        impossible,
        /// To be run again, from the last event on.
        again
    };

    item_run(item_scheduler& owner, std::string job, std::uint32_t item,
             const core::batches::item& content, std::string authority,
             const core::endpoints::endpoint& chosen);

    void start();

    /// @brief Closes the run; its events so far are kept.
    void yield(std::string_view reason);

    bool on_head(int status, const http::header_list& headers) override;
    void on_body(std::string_view piece) override;
    void on_end(http::call_end how, std::string_view detail) override;

    /// @brief True where nothing has arrived for too long.
    bool stalled(core::instant now) const;

    const std::string& job() const { return this->job_id; }
    std::uint32_t item() const { return this->item_number; }
    const std::string& endpoint() const { return this->endpoint_id; }
    std::size_t new_events() const { return this->event_count; }
    ending result() const { return this->ended; }

private:
    void finish(ending how, core::endpoints::run_outcome health,
                std::string_view reason);

    item_scheduler& owner;
    std::string job_id;
    std::uint32_t item_number;
    const core::batches::item& content;
    std::string authority;
    std::string endpoint_id;
    std::string address;
    std::shared_ptr<http::client_call> call;
    core::endpoints::run_key run;
    forward::event_splitter events;
    core::instant started{};
    core::instant last_event{};
    std::size_t event_count = 0;
    int status = 0;
    bool not_run = false;
    bool signed_answer = false;
    ending ended = ending::running;
    // Keeps the item's content while the job may be forgotten.
    core::batches::record_ptr held;
};

} // namespace amaranthhatch::batches
