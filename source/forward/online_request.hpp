#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "core/endpoints/endpoint_table.hpp"
#include "core/routes/route_table.hpp"
#include "forward/event_splitter.hpp"
#include "forward/header_names.hpp"
#include "forward/request_hedge.hpp"
#include "host/host_runtime.hpp"
#include "http/async_client.hpp"
#include "http/async_server.hpp"
#include "http/response_budget.hpp"

namespace amaranthhatch::forward
{

/// @brief Forwards one online request to endpoints and the response back to
/// the caller.
///
/// Tracks whether an endpoint may have run the request. The caller gets a
/// "not run" response only if no endpoint can have run it.
class online_request : public http::call_listener,
                       public std::enable_shared_from_this<online_request>
{
public:
    online_request(host::host_runtime& runtime, const header_names& names,
                   core::hedging::hedge_policy& hedging,
                   std::shared_ptr<const core::routes::route_table> table,
                   const core::routes::route& matched,
                   const core::workspaces::workspace* workspace,
                   std::shared_ptr<http::server_exchange> exchange);

    void start();

    bool on_head(int status_code,
                 const http::header_list& response_headers) override;
    void on_other_head(const http::header_list& headers) override;
    void on_body(std::string_view piece) override;
    void on_end(http::call_end end, std::string_view detail) override;

private:
    enum class call_state : std::uint8_t
    {
        waiting,
        running,
        ended
    };

    void attempt();
    void attempt_later();
    void send_to(const core::endpoints::endpoint& chosen);
    bool is_replaced(std::string_view header) const;
    std::string_view workspace_name() const;
    http::client_request
    compose_request(const core::endpoints::endpoint& chosen) const;
    void record_event(core::instant now);
    void abandon_call(std::string_view reason);
    bool continues_response() const;
    bool closed_inside_event(http::call_end end) const;
    void log_run(http::call_end end, std::string_view detail) const;
    void forward_events(std::string_view piece);
    void update_flow();
    void record_pause();
    void on_evicted();
    void count_over_limit(std::string_view reason);
    void on_complete();
    void on_not_run();
    void on_failure(std::string_view detail);
    bool repeatable() const;
    bool may_retry() const;
    bool ends_before_stop() const;
    bool has_time_left() const;
    core::endpoints::run_outcome outcome_of_run(bool complete,
                                                std::string_view reason) const;
    void end_run(core::endpoints::run_outcome result);
    void drop_call(core::endpoints::run_outcome result);
    void on_timer();
    void move_if_stalled(core::instant now);
    void hedge_if_slow(core::instant now);
    void schedule_timer();
    void on_disconnect();
    void give_up(core::endpoints::run_outcome result, std::string_view reason);
    void refuse(std::string_view reason, core::milliseconds retry_after);
    void fail(int status_code, std::string_view reason);
    void finish(std::string_view outcome, int status_code,
                std::string_view reason);

    host::host_runtime& runtime;
    const header_names& names;
    std::shared_ptr<const core::routes::route_table> table;
    const core::routes::route& route;
    /// The caller's workspace, which the table holds; null without one.
    const core::workspaces::workspace* workspace;
    std::shared_ptr<http::server_exchange> exchange;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer retry_timer;
    std::string request_id;
    std::string service;
    request_hedge hedge;
    core::instant arrived_at;
    core::instant deadline;
    /// Time of the first complete event; zero: none was received.
    core::instant first_event_at{};
    /// Time of the last complete event, or of the current call's start if it
    /// has sent none.
    core::instant last_event_at{};
    core::instant sent{};
    core::milliseconds longest_gap{};
    call_state phase = call_state::waiting;
    std::shared_ptr<http::client_call> call;
    core::endpoints::run_key run;
    /// The current or last run, for the quarantine of prompt parts.
    host::prompt_run prompt;
    /// Set if the request has quarantined parts and is run all the same.
    std::shared_ptr<host::trial_permit> trial;
    /// Endpoints that refused or failed this request. They are tried again only
    /// if no other endpoint is left.
    std::vector<std::string> excluded_endpoints;
    /// Until then the request isn't repeated while it may have caused crashes.
    core::instant suspected_until{};
    std::string last_endpoint;
    std::shared_ptr<const std::string> body;
    /// The id of the event after which the current or last run resumed.
    std::string resumed_after;
    /// Number of calls in which an endpoint may have run the request.
    std::uint32_t possible_runs = 0;
    /// Number of calls to endpoints, including those that were refused.
    std::uint32_t sends = 0;
    bool response_started = false;
    bool preempts_batch = false;
    int status = 0;
    /// The status that the caller has received; 0 before the response begins.
    int response_status = 0;
    http::header_list headers;
    /// True if the response shows its end by a length or chunks; without them
    /// the end of the connection ends it.
    bool framed = false;
    /// True if the endpoint responded that it did not run the request.
    bool not_run = false;
    /// Why the response can't be forwarded to the caller; empty if it can.
    std::string unusable_reason;
    std::string response_body;
    event_splitter events;
    /// What the response holds of the process' memory; set once it starts.
    std::unique_ptr<http::response_budget::share> held_bytes;
    /// True while the endpoint's connection isn't read.
    bool paused = false;
};

} // namespace amaranthhatch::forward
