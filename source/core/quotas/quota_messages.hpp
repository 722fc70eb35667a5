#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/instant.hpp"

namespace amaranthhatch::core::quotas
{

/// @brief What one host counted of a workspace's requests.
struct usage_report
{
    /// Hash of the workspace's name.
    std::uint64_t workspace = 0;
    /// Requests since the start of the host's process.
    std::uint64_t asked = 0;
    /// Those that were admitted and not given back.
    std::int64_t admitted = 0;
    /// Admitted since the counts of which the owner has last told the host; an
    /// owner that has no earlier report of this process deducts these.
    std::int64_t unconfirmed = 0;
    /// The tokens that the host expects in the bucket; an owner that has no
    /// bucket of the workspace begins with these.
    double expected_tokens = 0;
};

/// @brief State of a workspace's bucket, as its owner tells the hosts.
struct bucket_state
{
    std::uint64_t workspace = 0;
    double tokens = 0;
    /// Requests of all hosts, per second.
    double asked_per_second = 0;
    double admitted_per_second = 0;
    /// The receiver's own count that the tokens include; 0 in a state that
    /// answers no report.
    std::int64_t included = 0;
    bool answers_report = false;
};

/// @brief Reports of one host to an owner.
struct report_message
{
    std::string sender;
    /// Identifies the start of the sender's process.
    std::uint64_t incarnation = 0;
    /// The sender's clock, which the answer repeats.
    std::int64_t sent_ms = 0;
    std::vector<usage_report> reports;
};

/// @brief Bucket states of one owner to a host.
struct state_message
{
    std::string sender;
    /// The receiver's process start, and its clock in the report that is
    /// answered; 0: no report is answered.
    std::uint64_t receiver_incarnation = 0;
    std::int64_t answered_ms = 0;
    std::vector<bucket_state> states;
    /// Hosts that own buckets which were reported to the sender by mistake;
    /// they were heard a moment ago.
    std::vector<std::string> owners;
};

} // namespace amaranthhatch::core::quotas
