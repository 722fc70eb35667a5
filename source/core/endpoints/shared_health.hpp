#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/instant.hpp"
#include "core/peers/beacon.hpp"

namespace amaranthhatch::core::endpoints
{

/// @brief A change of an endpoint's state, with the evidence for it.
struct health_change
{
    enum class kind : std::uint8_t
    {
        ejected,
        on_trial,
        readmitted
    };

    kind what = kind::ejected;
    std::uint64_t endpoint = 0;
    /// The kind of the newest failure.
    peers::failure_kind reason = peers::failure_kind::broken;
    /// True if only the hosts of this host's zone see failures.
    bool zone_only = false;
    std::uint32_t failed = 0;
    std::uint32_t answered = 0;
    /// Hosts of this zone and other zones that report failures, by hash.
    std::vector<std::uint64_t> reporters;
    /// Time since the newest failure became known here.
    milliseconds age{};
    /// Time until the next trial.
    milliseconds pause{};
};

/// @brief Judges endpoints by the runs of all hosts.
///
/// Each endpoint has a score (a cumulative sum): a failure adds one, an answer
/// subtracts a part of that, never below zero, and the score halves with time.
/// An endpoint over the threshold is ejected, and readmitted when trial runs
/// are answered. Hosts report cumulative counts, so that lost and repeated
/// beacons don't matter, and only of endpoints with recent failures.
class shared_health
{
public:
    /// @brief Requests that may run as trials, the preferred first.
    enum class trial_work : std::uint8_t
    {
        batch_item,
        repeatable,
        /// Only where no other work has come for seconds.
        once_only
    };

    shared_health(std::string_view own_name, std::uint64_t incarnation,
                  std::string_view own_zone);

    /// @brief The number of a host in reports.
    static std::uint64_t reporter_key(std::string_view name,
                                      std::uint64_t incarnation);
    /// @brief The number of a zone in reports.
    static std::uint64_t zone_key(std::string_view zone);

    /// @brief The number of an endpoint's incarnation in reports.
    static std::uint64_t key(std::string_view id, std::int64_t started_ms);

    /// @brief Sets the listed endpoints with their services.
    void set_listed(std::map<std::uint64_t, std::string> services);

    /// @brief Records a run of this host that the endpoint answered.
    void record_answer(std::uint64_t endpoint, bool trial, instant started,
                       instant now);
    /// @brief Records a run of this host that failed at the endpoint.
    void record_failure(std::uint64_t endpoint, peers::failure_kind reason,
                        instant now);
    /// @brief Records that this host sends a run; true if it is a trial, as the
    /// endpoint is ejected.
    bool record_begin(std::uint64_t endpoint, instant now);
    /// @brief Records that a trial couldn't be sent or was refused.
    void record_missed_trial(std::uint64_t endpoint, instant now);

    /// @brief Merges the reports of another host's beacon.
    void receive(const peers::beacon& message, instant now);

    /// @brief The reports for a beacon: a host's own runs, the sums of its
    /// zone, or the reports of its zone's hosts and the other zones' sums.
    std::vector<peers::endpoint_evidence> evidence(peers::beacon_scope scope,
                                                   instant now) const;

    /// @brief Applies the rules for ejection and removes expired records.
    void update(instant now);

    bool is_ejected(std::uint64_t endpoint) const;
    /// @brief True if requests that may run once only should go elsewhere where
    /// a slot is free: after one failure that no answer has followed.
    bool is_suspected(std::uint64_t endpoint, instant now) const;
    /// @brief True if they should go elsewhere also where they wait a little:
    /// after two failures.
    bool is_strongly_suspected(std::uint64_t endpoint, instant now) const;
    /// @brief True if this host may send a trial run now; hosts is the number
    /// of hosts, load what all of them run at the endpoint.
    bool may_try(std::uint64_t endpoint, trial_work work, double load,
                 std::size_t hosts, instant now) const;

    /// @brief True if any endpoint has failed recently.
    bool active() const { return !this->records.empty(); }
    std::size_t ejected_count() const;
    std::size_t suspected_count(instant now) const;
    std::vector<health_change> take_changes();

private:
    /// Time after its last failure, or its readmission, for which an endpoint's
    /// record is kept, so that an ejection soon after is a repeated one.
    static constexpr milliseconds record_time{10000};

    struct counts
    {
        std::uint32_t failed = 0;
        std::uint32_t answered = 0;
        /// Trials that were answered.
        std::uint32_t cleared = 0;
    };

    struct report : counts
    {
        std::uint64_t zone = 0;
        instant changed{};
    };

    struct score
    {
        double value = 0;
        instant changed{};
        std::uint32_t answers_since_failure = 0;
        instant last_answer{};

        double at(instant now) const;
        void fail(instant now);
        void answer(instant now, std::uint32_t count);
    };

    struct record
    {
        score total;
        std::map<std::uint64_t, score> zones;
        std::map<std::uint64_t, report> reports;
        report own;
        report zone_sum;
        instant last_failure{};
        peers::failure_kind reason = peers::failure_kind::broken;
        std::uint64_t last_reporter = 0;
        std::uint32_t same_reporter = 0;
        bool ejected = false;
        /// True while too many endpoints of the service fail.
        bool overruled = false;
        /// True if only the own zone saw failures when it was ejected.
        bool zone_only = false;
        instant ejected_at{};
        instant trial_at{};
        /// When this host last sent a trial.
        instant own_trial_at{-record_time};
        instant readmitted_at{-record_time};
        milliseconds pause{};
        std::uint32_t ejections = 0;
        std::uint32_t successes = 0;
        /// Answers since a trial was due, without a failure.
        std::uint32_t answers = 0;
        std::uint32_t needed = 1;
    };

    record& begin_record(std::uint64_t endpoint, instant now);
    void apply(std::uint64_t endpoint, record& to, std::uint64_t reporter,
               std::uint64_t zone, counts added, instant now);
    void fail_trial(record& to, instant now) const;
    void readmit(std::uint64_t endpoint, record& to, instant now);
    void eject(std::uint64_t endpoint, record& to, instant now);
    bool scores(std::uint64_t endpoint, double least, instant now) const;
    bool qualifies(const record& of, instant now) const;
    double threshold() const;
    void count_own(bool failed, double score_before, instant now);
    health_change describe(std::uint64_t endpoint, const record& of,
                           health_change::kind what, instant now) const;

    std::uint64_t own_reporter;
    std::uint64_t own_zone;
    std::map<std::uint64_t, std::string> services;
    std::map<std::string, std::size_t, std::less<>> service_sizes;
    std::map<std::uint64_t, record> records;
    std::vector<health_change> changes;
    /// Isolated failures and all runs of this host, which lose weight.
    double base_failed;
    double base_runs;
    instant base_changed{};
};

} // namespace amaranthhatch::core::endpoints
