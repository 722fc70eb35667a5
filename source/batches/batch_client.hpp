#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "batches/records.hpp"
#include "batches/results.hpp"
#include "host/host_runtime.hpp"

namespace amaranthhatch::batches
{

/// @brief The outcome of a request for a job.
enum class job_outcome : std::uint8_t
{
    done,
    /// The job or the item doesn't exist.
    missing,
    /// The job was refused, as it would exceed the route's limit of tokens in
    /// open items.
    over_limit,
    /// Nothing was changed; the request can be retried.
    unavailable,
    /// The request may or may not have taken effect.
    unknown
};

/// @brief Sends the requests of an entry to the hosts that own the jobs.
class batch_client
{
public:
    using outcome_callback = std::function<void(job_outcome)>;
    using read_callback =
        std::function<void(job_outcome, const result_page& page)>;
    using body_callback =
        std::function<void(job_outcome, const std::string& body)>;

    explicit batch_client(host::host_runtime& runtime);

    /// Whose jobs a caller may see: those of a workspace and those that belong
    /// to none; nothing: all.
    using visibility = std::optional<std::string>;

    void submit(const core::batches::job& job, outcome_callback done);

    /// @brief Requests the results of a job that follow the first `after` ones.
    ///
    /// If there are none yet and the job isn't complete, the owner waits for
    /// up to `wait` for new results before it responds.
    void read(const std::string& job, const visibility& visible,
              std::uint32_t after, core::milliseconds wait, read_callback done);
    void read_body(const std::string& job, const visibility& visible,
                   const std::string& item, body_callback done);
    void end(const std::string& job, const visibility& visible,
             outcome_callback done);

private:
    struct pending_request;
    using response_callback =
        std::function<void(job_outcome, const std::string& body)>;

    static void add_visibility(pending_request& pending,
                               const visibility& visible);
    const core::peers::peer* owner_of(const std::string& job);
    void send(std::shared_ptr<pending_request> pending);
    void retry(std::shared_ptr<pending_request> pending,
               job_outcome failure_outcome);

    host::host_runtime& runtime;
    std::optional<core::batches::placement> placement;
    std::uint64_t revision = 0;
};

} // namespace amaranthhatch::batches
