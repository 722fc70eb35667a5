#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "core/endpoints/endpoint_table.hpp"
#include "core/routes/route_table.hpp"
#include "forward/call_names.hpp"
#include "forward/event_splitter.hpp"
#include "host/host_runtime.hpp"
#include "http/async_client.hpp"
#include "http/async_server.hpp"

namespace amaranthhatch::forward
{

/// @brief One online request on its way to an endpoint and back.
///
/// Whether the endpoint may have run the request is known at every moment; a
/// refusal that says "not run" is sent only where no endpoint can have.
class online_run : public http::call_listener,
                   public std::enable_shared_from_this<online_run>
{
public:
    online_run(host::host_runtime& runtime, const call_names& names,
               std::shared_ptr<const core::routes::route_table> table,
               const core::routes::route& matched,
               std::shared_ptr<http::server_exchange> exchange);

    void start();

    bool on_head(int status, const http::header_list& headers) override;
    void on_body(std::string_view piece) override;
    void on_end(http::call_end how, std::string_view detail) override;

private:
    enum class state : std::uint8_t
    {
        waiting,
        running,
        ended
    };

    void attempt();
    void attempt_later();
    void send_to(const core::endpoints::endpoint& chosen);
    http::client_request compose(const core::endpoints::endpoint& chosen) const;
    void hear_event_bytes(std::string_view piece);
    void on_complete();
    void on_not_run();
    void on_broken(std::string_view detail);
    bool may_repeat() const;
    bool time_left() const;
    void end_run(core::endpoints::run_outcome how);
    void drop_call(core::endpoints::run_outcome how);
    void on_timer();
    void schedule_timer();
    void on_disconnect();
    void refuse(std::string_view reason, core::milliseconds retry_after);
    void fail(int status, std::string_view reason);
    void finish(std::string_view outcome, int status, std::string_view reason);

    host::host_runtime& runtime;
    const call_names& names;
    std::shared_ptr<const core::routes::route_table> table;
    const core::routes::route& route;
    std::shared_ptr<http::server_exchange> exchange;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer retry_timer;
    std::string request_id;
    std::string service;
    core::instant arrived;
    core::instant deadline;
    core::instant first_event{};
    core::instant last_event{};
    core::instant sent{};
    core::milliseconds longest_gap{};
    state phase = state::waiting;
    std::shared_ptr<http::client_call> call;
    core::endpoints::run_key run;
    std::vector<std::string> excluded;
    std::string last_endpoint;
    std::shared_ptr<const std::string> body;
    /// Endpoints that may have run the request.
    std::uint32_t ran = 0;
    std::uint32_t sends = 0;
    bool begun = false;
    bool displaced = false;
    int status = 0;
    http::header_list headers;
    bool not_run = false;
    std::string unusable;
    std::string answer;
    event_splitter events;
};

} // namespace amaranthhatch::forward
